"""Detection and ejection of upstreams with gray failures."""
