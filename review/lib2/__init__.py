"""Stand-ins of the second review: clients, engines, bulletin, fleets. Standard library only."""
