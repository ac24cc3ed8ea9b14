"""Decoding of JSON and durations that the platform publishes."""

import json
import re
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from chervilpitch.errors import ChervilpitchError

__all__ = ["DecodeError", "decode_json", "parse_duration_s"]

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
MS_PER_S = 1_000

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
        The value is not a text of this form.

    Examples
    --------
    >>> parse_duration_s("1500ms"), parse_duration_s("2.5s")
    (1.5, 2.5)
    """
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise DecodeError("expected a duration such as 1500ms or 2.5s")
    number = float(match[1])
    return number / MS_PER_S if match[2] == "ms" else number


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
        TypeError or ValueError that it raises becomes the DecodeError.

    Returns
    -------
    Result
        The value, or a DecodeError that says why it is malformed.
    """
    try:
        return Ok(build(json.loads(content)))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Err(DecodeError(f"{type(error).__name__}: {error}"))
