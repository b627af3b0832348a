"""The load tool: seeded arrivals, checked answers, percentiles."""
