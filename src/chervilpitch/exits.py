"""Exit codes of the program."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """How a command ended."""

    SUCCESS = 0
    USAGE_ERROR = 1
    BAD_SETTINGS = 2
    BAD_NOTE = 3
    UNREACHABLE = 4
    REFUSED = 5
