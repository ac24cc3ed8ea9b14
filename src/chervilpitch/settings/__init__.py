"""Settings of an instance, read from an INI file and validated."""

from chervilpitch.ini import SettingsProblem

from .load import load, parse, read_secret
from .schema import Settings

__all__ = [
    "Settings",
    "SettingsProblem",
    "load",
    "parse",
    "read_secret",
]
