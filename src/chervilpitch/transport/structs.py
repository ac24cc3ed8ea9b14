"""NamedTuples to and from the mappings that Cap'n Proto structs take."""

import functools
import typing
from typing import Any, NamedTuple

__all__ = ["to_plain", "to_typed"]


class _Field(NamedTuple):
    name: str
    coded_name: str
    kind: Any


@functools.cache
def _fields_of(kind: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(kind)
    return tuple(_Field(name, _camel(name), hints[name]) for name in kind._fields)


def to_plain(value: Any) -> Any:
    """Return a NamedTuple as a mapping with the names of its struct.

    Parameters
    ----------
    value : object
        Plain data, a NamedTuple or a tuple of them.
    """
    if hasattr(value, "_fields"):
        return {
            field.coded_name: to_plain(getattr(value, field.name))
            for field in _fields_of(type(value))
        }
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value


def to_typed(kind: Any, value: Any) -> Any:
    """Return the value of a type from a mapping with the names of its struct.

    Parameters
    ----------
    kind : type
        The NamedTuple, tuple or plain type that is wanted.
    value : object
        What :func:`to_plain` returned.

    Raises
    ------
    KeyError, TypeError
        The value does not fit the type.
    """
    if hasattr(kind, "_fields"):
        values = (
            to_typed(field.kind, value[field.coded_name]) for field in _fields_of(kind)
        )
        return kind(*values)
    if typing.get_origin(kind) is tuple:
        item_kind, _ = typing.get_args(kind)
        return tuple(to_typed(item_kind, item) for item in value)
    return value


def _camel(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(word.title() for word in others)
