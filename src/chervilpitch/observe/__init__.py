"""Metrics, logs and the time line of events."""
