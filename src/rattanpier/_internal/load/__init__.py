"""Load generator: seeded arrivals, answer checks, latency percentiles."""
