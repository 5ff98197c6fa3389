"""Stand-ins and a harness for the cases of the review. They use the standard library only."""
