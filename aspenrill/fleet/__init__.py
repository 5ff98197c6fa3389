"""Coordination between front ends. Off unless configured: `run` on the platform imports none of it."""
