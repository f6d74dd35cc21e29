"""Benches: measurements that run on one machine."""
