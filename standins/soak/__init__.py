"""Soak test: real front ends on loopback with seeded faults, checked by client and engine records."""
