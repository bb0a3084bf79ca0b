"""Benchmarks, the service emulator and the load generator."""
