"""Stand-ins on loopback for what the program speaks to: engines, clients, name servers."""
