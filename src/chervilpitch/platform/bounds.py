"""Bounds that the platform's settings promise to its users."""

import re
from typing import NamedTuple

from result import Err, Ok, Result

from .decoding import DecodeError, parse_duration_s

__all__ = ["SETTINGS_VARIABLE", "Bounds", "decode_bounds"]

SETTINGS_VARIABLE = "CHERVILPITCH_CONFIG"
"""Environment variable with the path of the settings file."""


class Bounds(NamedTuple):
    """Time limits, ratios and tolerances that the instances have to keep.

    Parameters
    ----------
    drain_s : float
        Seconds after which a draining upstream gets no new request.
    stop_s : float
        Seconds between SIGTERM and the end of the process.
    configuration_s : float
        Seconds within which an accepted configuration is in force.
    revocation_s : float
        Seconds after which no instance accepts a withdrawn key.
    retry_ratio, retry_window_s, retry_slack : float
        Retries allowed per request of a service, the window in seconds over
        which they are counted, and the number of retries allowed in addition.
    rate_excess, rate_slack : float
        Fraction of its rate, and number of requests, by which a client account
        may exceed its rate in a window.
    address_lifetime_s : float
        Maximum time in seconds that callers keep a list of addresses.
    """

    drain_s: float = 2.0
    stop_s: float = 6.0
    configuration_s: float = 2.0
    revocation_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    rate_excess: float = 0.25
    rate_slack: float = 20.0
    address_lifetime_s: float = 5.0


NAME_PATTERN = re.compile(r"[a-z][a-z0-9_]*")
DECODERS = {
    "drain": ("drain_s", parse_duration_s),
    "grace": ("stop_s", parse_duration_s),
    "config_apply": ("configuration_s", parse_duration_s),
    "revoke": ("revocation_s", parse_duration_s),
    "budget_ratio": ("retry_ratio", float),
    "budget_window": ("retry_window_s", parse_duration_s),
    "budget_slack": ("retry_slack", float),
    "quota_excess": ("rate_excess", float),
    "quota_slack": ("rate_slack", float),
    "ttl_max": ("address_lifetime_s", parse_duration_s),
}


def decode_bounds(texts: tuple[str, ...]) -> Result[Bounds, tuple[str, ...]]:
    """Decode texts of the form ``name=value``; unknown names are ignored.

    Parameters
    ----------
    texts : tuple of str
        For example ``("drain=2000ms", "grace=6s")``.

    Returns
    -------
    Result
        The bounds, or every text that has another form or a value that can't be
        decoded.

    Examples
    --------
    >>> decode_bounds(("drain=1500ms",)).unwrap().drain_s
    1.5
    """
    values = {}
    problems = []
    for text in texts:
        name, separator, value = text.partition("=")
        if not NAME_PATTERN.fullmatch(name) or not separator:
            problems.append(text)
            continue
        if name not in DECODERS:
            continue
        field, decode = DECODERS[name]
        try:
            values[field] = decode(value)
        except (DecodeError, ValueError):
            problems.append(text)
    return Err(tuple(problems)) if problems else Ok(Bounds(**values))
