"""Settings of an instance, read from an INI file and validated."""

from .gateway import GatewaySettings, load_gateway
from .load import SettingsProblem, load, parse, read_secret
from .schema import Settings

__all__ = [
    "GatewaySettings",
    "Settings",
    "SettingsProblem",
    "load",
    "load_gateway",
    "parse",
    "read_secret",
]
