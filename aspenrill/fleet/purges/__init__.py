"""Purges through the tree of places, with acknowledgements, and the leases under which answers are kept."""
