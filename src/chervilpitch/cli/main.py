"""The ``chervilpitch`` program."""

import sys

from cleo.application import Application

import chervilpitch

__all__ = ["build_application", "main"]


def build_application() -> Application:
    """Return the command-line application with every command added.

    Returns
    -------
    cleo.application.Application
        The application, ready to run.
    """
    return Application("chervilpitch", chervilpitch.__version__)


def main() -> None:
    """Run the program and exit with the command's exit code."""
    sys.exit(build_application().run())
