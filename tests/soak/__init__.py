"""Randomized soak of the platform's programs under stops and faults."""
