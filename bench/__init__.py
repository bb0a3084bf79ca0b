"""Measurements, the service emulator and the load tool."""
