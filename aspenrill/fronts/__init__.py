"""Speaking to clients: requests in, one final answer each out."""
