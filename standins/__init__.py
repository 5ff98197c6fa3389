"""Test doubles and simulators: engines, clients, name servers, links and fleets, on loopback or simulated."""
