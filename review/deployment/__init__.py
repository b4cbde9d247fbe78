"""Stand-ins and process control for the cases of this review; standard library only."""
