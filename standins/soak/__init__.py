"""Seeded days on real front ends over loopback, with faults, judged by the records of clients and engines."""
