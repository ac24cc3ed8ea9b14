"""The bounds that the platform's settings promise to its users."""

from typing import NamedTuple

from result import Err, Ok, Result

from .units import DecodeError, seconds

__all__ = ["SETTINGS_VARIABLE", "Bounds", "decode_bounds"]

SETTINGS_VARIABLE = "CHERVILPITCH_CONFIG"
"""Environment variable with the path of the settings file."""


class Bounds(NamedTuple):
    """Time limits and shares that the system has to keep.

    Parameters
    ----------
    drain_s : float
        Time within which a leaving upstream gets no new request.
    stop_s : float
        Time between SIGTERM and the end of the process.
    configuration_s : float
        Time within which an accepted configuration is in force.
    revocation_s : float
        Time after which a withdrawn key must not work anywhere.
    retry_ratio, retry_window_s, retry_slack : float
        Repeats allowed per request of a service, the window in seconds over
        which they are counted, and a number that is allowed besides.
    rate_excess, rate_slack : float
        Share of its rate, and number of requests, by which a client account may
        exceed what it may send in a window.
    address_lifetime_s : float
        Longest time that callers keep a list of addresses.
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


DECODERS = {
    "drain": ("drain_s", seconds),
    "grace": ("stop_s", seconds),
    "config_apply": ("configuration_s", seconds),
    "revoke": ("revocation_s", seconds),
    "budget_ratio": ("retry_ratio", float),
    "budget_window": ("retry_window_s", seconds),
    "budget_slack": ("retry_slack", float),
    "quota_excess": ("rate_excess", float),
    "quota_slack": ("rate_slack", float),
    "ttl_max": ("address_lifetime_s", seconds),
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
        The bounds, or every text that cannot be read.

    Examples
    --------
    >>> decode_bounds(("drain=1500ms",)).unwrap().drain_s
    1.5
    """
    values = {}
    problems = []
    for text in texts:
        name, _, value = text.partition("=")
        if name not in DECODERS:
            continue
        field, decode = DECODERS[name]
        try:
            values[field] = decode(value)
        except (DecodeError, ValueError):
            problems.append(text)
    return Err(tuple(problems)) if problems else Ok(Bounds(**values))
