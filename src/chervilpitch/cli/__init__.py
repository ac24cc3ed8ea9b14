"""Command line of the program."""

from .main import build_application, main

__all__ = ["build_application", "main"]
