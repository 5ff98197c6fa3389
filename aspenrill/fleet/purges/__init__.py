"""Cache purges down the tree of places with acknowledgements, and leases for serving cached answers."""
