"""Stand-ins of the second review: clients, engines, bulletin, name server. Standard library only."""
