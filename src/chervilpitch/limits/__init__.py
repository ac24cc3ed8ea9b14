"""Rates and bursts of client accounts over all instances together."""

from .homes import home_seats

__all__ = ["home_seats"]
