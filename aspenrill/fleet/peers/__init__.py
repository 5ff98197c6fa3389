"""Who is in the fleet, and what each tells of itself. Decisions are free of I/O; `link` has the sockets."""
