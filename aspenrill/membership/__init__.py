"""Merges what any number of sources say of engines into one list. No I/O: see `rule` for what counts."""
