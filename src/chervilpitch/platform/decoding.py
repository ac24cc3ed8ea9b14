"""Decoding of JSON and durations that the platform publishes."""

import json
import re
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from chervilpitch.errors import ChervilpitchError

__all__ = [
    "MALFORMED_ERRORS",
    "DecodeError",
    "decode_json",
    "parse_duration_s",
    "whole_number",
]

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
MAX_DURATION_S = 10_000_000.0
MAX_CAUSE_CHARACTERS = 200
MS_PER_S = 1_000
MALFORMED_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Exceptions that data of an unexpected form causes while it is parsed."""

Decoded = TypeVar("Decoded")


class DecodeError(ChervilpitchError, ValueError):
    """Data that the platform published doesn't have its documented form."""


def parse_duration_s(value: object) -> float:
    """Return a duration text in seconds.

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
        The value is not a text of this form, or longer than ``MAX_DURATION_S``.

    Examples
    --------
    >>> parse_duration_s("1500ms"), parse_duration_s("2.5s")
    (1.5, 2.5)
    """
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise DecodeError("expected a duration such as 1500ms or 2.5s")
    number = float(match[1])
    seconds = number / MS_PER_S if match[2] == "ms" else number
    if seconds > MAX_DURATION_S:
        raise DecodeError(f"expected a duration of up to {MAX_DURATION_S} s")
    return seconds


def whole_number(value: object, maximum: int) -> int:
    """Return a whole number, which JSON may also hold as a float such as ``2.0``.

    Parameters
    ----------
    value : object
        A parsed value.
    maximum : int
        Largest number accepted; the smallest one is 0.

    Raises
    ------
    DecodeError
        The value is something else.

    Examples
    --------
    >>> whole_number(2.0, 9)
    2
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise DecodeError("expected a whole number")
    if not 0 <= value <= maximum or value != int(value):
        raise DecodeError(f"expected a whole number from 0 to {maximum}")
    return int(value)


def decode_json(
    content: bytes, build: Callable[[Any], Decoded]
) -> Result[Decoded, DecodeError]:
    """Decode JSON into a type of the project.

    Parameters
    ----------
    content : bytes
        JSON that the platform published.
    build : callable
        Takes the parsed JSON and returns the value. An AttributeError, KeyError,
        OverflowError, TypeError or ValueError that it raises becomes the
        DecodeError, as does a RecursionError for JSON that is nested too deeply.

    Returns
    -------
    Result
        The value, or a DecodeError that says why it is malformed.
    """
    try:
        return Ok(build(json.loads(content)))
    except MALFORMED_ERRORS as error:
        cause = f"{type(error).__name__}: {error}"
        return Err(DecodeError(cause[:MAX_CAUSE_CHARACTERS]))
