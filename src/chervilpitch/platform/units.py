"""Durations as the platform writes them."""

import re

from chervilpitch.errors import ChervilpitchError

__all__ = ["DecodeError", "seconds"]

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_PER_S = 1_000


class DecodeError(ChervilpitchError, ValueError):
    """Something that the platform published is not in its documented form."""


def seconds(value: object) -> float:
    """Return a duration in seconds.

    Parameters
    ----------
    value : object
        A text like ``"1500ms"`` or ``"2.5s"``.

    Returns
    -------
    float
        Seconds.

    Raises
    ------
    DecodeError
        The value is not such a text.

    Examples
    --------
    >>> seconds("1500ms"), seconds("2.5s")
    (1.5, 2.5)
    """
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise DecodeError("a duration like 1500ms or 2.5s was expected")
    number = float(match[1])
    return number / MS_PER_S if match[2] == "ms" else number
