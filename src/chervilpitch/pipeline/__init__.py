"""Request path of the first interface as pipes and filters."""
