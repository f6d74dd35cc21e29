"""Benchmarks that run on one machine."""
