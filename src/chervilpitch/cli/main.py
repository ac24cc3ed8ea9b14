"""Entry point of the ``chervilpitch`` command."""

import sys

from cleo.application import Application

import chervilpitch

from .fleet import AddressCommand, StatusCommand
from .notes import CheckCommand, DiffCommand
from .serve import GatewayCommand, ServeCommand, SettingsCommand
from .timeline import TimelineCommand
from .versions import VersionsCommand

__all__ = ["build_application", "main"]

COMMANDS = (
    AddressCommand,
    CheckCommand,
    DiffCommand,
    GatewayCommand,
    ServeCommand,
    SettingsCommand,
    StatusCommand,
    TimelineCommand,
    VersionsCommand,
)


def build_application() -> Application:
    """Build the command-line application with all commands.

    Returns
    -------
    cleo.application.Application
        The application.
    """
    application = Application("chervilpitch", chervilpitch.__version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the program and exit with the command's exit code."""
    sys.exit(build_application().run())
