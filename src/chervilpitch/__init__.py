"""A proxy fleet for upstreams with gray failures."""

__all__ = ["__version__"]

__version__ = "0.1.0"
