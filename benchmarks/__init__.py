"""Measured comparisons; none of them is a test."""
