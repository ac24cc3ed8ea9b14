"""Decoding of what the platform writes: JSON and durations."""

import json
import re
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from chervilpitch.errors import ChervilpitchError

__all__ = ["DecodeError", "decode_json", "seconds"]

DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_PER_S = 1_000

Decoded = TypeVar("Decoded")


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


def decode_json(
    content: bytes, build: Callable[[Any], Decoded]
) -> Result[Decoded, DecodeError]:
    """Decode JSON into a type of the project.

    Parameters
    ----------
    content : bytes
        What the platform published.
    build : callable
        Takes the plain data and returns the value; what it raises for data that is
        not in the documented form becomes the error.

    Returns
    -------
    Result
        The value, or why it cannot be read.
    """
    try:
        return Ok(build(json.loads(content)))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Err(DecodeError(f"{type(error).__name__}: {error}"))
