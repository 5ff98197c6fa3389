"""Speaking to engines: attempts, their notes and answers, cancels and probes."""
