"""Conversion between NamedTuples and the mappings of Cap'n Proto structs."""

import functools
import typing
from typing import Any, NamedTuple

__all__ = ["to_plain", "to_typed"]


class _Field(NamedTuple):
    name: str
    struct_name: str
    kind: Any


@functools.cache
def _fields_of(kind: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(kind)
    return tuple(_Field(name, _camel_case(name), hints[name]) for name in kind._fields)


def to_plain(value: Any) -> Any:
    """Convert a NamedTuple to a mapping with the field names of its struct.

    Parameters
    ----------
    value : object
        Plain data, a NamedTuple, or a tuple of such values.
    """
    if hasattr(value, "_fields"):
        return {
            field.struct_name: to_plain(getattr(value, field.name))
            for field in _fields_of(type(value))
        }
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value


def to_typed(kind: Any, value: Any) -> Any:
    """Convert a mapping with the field names of a struct to a value of a type.

    Parameters
    ----------
    kind : type
        Type of the result: a NamedTuple, a tuple or a plain type.
    value : object
        Result of :func:`to_plain`.

    Raises
    ------
    KeyError, TypeError
        The value does not match the type.
    """
    if hasattr(kind, "_fields"):
        values = (
            to_typed(field.kind, value[field.struct_name]) for field in _fields_of(kind)
        )
        return kind(*values)
    if typing.get_origin(kind) is tuple:
        item_kind, _ = typing.get_args(kind)
        return tuple(to_typed(item_kind, item) for item in value)
    return value


def _camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(word.title() for word in others)
