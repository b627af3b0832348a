"""Benchmarks: seeded, each with its baselines in the same run."""
