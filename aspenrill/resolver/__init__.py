"""A small caching resolver: what is fresh, whom to ask next and when, and the sockets apart from that."""
