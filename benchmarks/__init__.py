"""Benchmarks, each run as a command: python -m benchmarks.NAME. They need the development requirements."""
