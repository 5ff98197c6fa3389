"""Measurements, as commands: python -m benchmarks.NAME. They need the development requirements."""
