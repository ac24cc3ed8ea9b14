"""Settings of one instance, read from INI."""

from .load import SettingsProblem, load, parse, read_secret
from .schema import Settings

__all__ = ["Settings", "SettingsProblem", "load", "parse", "read_secret"]
