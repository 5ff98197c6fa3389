"""The engine protocols, HTTP and TDS: attempts, their notes and answers, cancels and probes."""
