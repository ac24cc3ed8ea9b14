"""Command-line interface."""

from .main import build_application, main

__all__ = ["build_application", "main"]
