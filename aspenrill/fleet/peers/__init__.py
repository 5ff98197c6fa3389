"""Fleet membership, failure detection and gossip. The protocol code does no I/O; `link` owns the sockets."""
