"""Detection of gray failures by the decision cores, in simulated time."""
