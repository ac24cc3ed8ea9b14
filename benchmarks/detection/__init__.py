"""Simulate how the decision cores detect gray failures."""
