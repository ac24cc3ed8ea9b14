"""Exit codes of the command line."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit code of a command."""

    SUCCESS = 0
    USAGE_ERROR = 1
    BAD_SETTINGS = 2
    BAD_NOTE = 3
    UNREACHABLE = 4
    REFUSED = 5
    DISAGREEMENT = 6
