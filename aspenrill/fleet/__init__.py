"""Front ends that know of each other. Off unless configured: `run` on the platform imports none of it."""
