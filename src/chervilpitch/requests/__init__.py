"""Outcomes of requests and at-most-once execution."""
