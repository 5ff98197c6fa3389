"""Cache of answers, served only under a lease and until a purge invalidates them."""
