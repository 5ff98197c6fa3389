"""A small caching DNS resolver. Cache, server selection and look-up logic are separate from the sockets."""
