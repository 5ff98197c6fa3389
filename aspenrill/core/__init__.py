"""Requests, attempts and outcomes: what is open, and the one task that owns the decision module."""
