"""Open requests, attempts and outcomes, and the task that runs the decision module."""
