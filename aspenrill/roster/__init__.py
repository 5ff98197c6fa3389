"""Where the list of engines comes from."""
