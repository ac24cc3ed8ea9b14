"""Instances of the fleet: who is there and what is placed where."""

from .placement import rank, weight

__all__ = ["rank", "weight"]
