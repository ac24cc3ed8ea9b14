"""Conversion between NamedTuples and the mappings of Cap'n Proto structs.

A list of records is a list of structs or, by column, a struct with one list for each
field. Columns are much cheaper to encode and decode. Only lists of flat records, whose
fields are no lists or records, are stored by column. A column that is empty, as in
messages of builds that don't know the field, holds the field's default value.
"""

import functools
import operator
import typing
from collections.abc import Callable
from typing import Any, NamedTuple

__all__ = ["read_struct", "to_plain", "to_typed"]


_NO_DEFAULT = object()


class _Field(NamedTuple):
    name: str
    struct_name: str
    kind: Any


@functools.cache
def _fields_of(kind: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(kind)
    return tuple(_Field(name, _camel_case(name), hints[name]) for name in kind._fields)


def to_plain(value: Any, by_column: bool = False) -> Any:
    """Convert a NamedTuple to a mapping with the field names of its struct.

    Parameters
    ----------
    value : object
        Plain data, a NamedTuple, or a tuple of such values.
    by_column : bool
        Whether lists of flat records are converted to columns.
    """
    if hasattr(value, "_fields"):
        return {
            field.struct_name: (
                _to_columns(_item_kind(field.kind), getattr(value, field.name))
                if by_column and _is_table(field.kind)
                else to_plain(getattr(value, field.name), by_column)
            )
            for field in _fields_of(type(value))
        }
    if isinstance(value, tuple):
        return [to_plain(item, by_column) for item in value]
    return value


def to_typed(kind: Any, value: Any) -> Any:
    """Convert a mapping with the field names of a struct to a value of a type.

    Parameters
    ----------
    kind : type
        Type of the result: a NamedTuple, a tuple or a plain type.
    value : object
        Result of :func:`to_plain` without columns.

    Raises
    ------
    KeyError, TypeError, ValueError
        The value does not match the type.
    """
    convert = _converter(kind, operator.getitem, False)
    return value if convert is None else convert(value)


def read_struct(kind: type, reader: Any) -> Any:
    """Convert a struct, whose lists of flat records are columns, to a NamedTuple.

    Parameters
    ----------
    kind : type
        A NamedTuple.
    reader : object
        Reader of the struct, with a field of the struct as each attribute.

    Raises
    ------
    AttributeError, TypeError, ValueError, capnp.KjException
        The struct does not match the type, or columns differ in length.
    """
    return _converter(kind, getattr, True)(reader)


@functools.cache
def _converter(
    kind: Any, get: Callable[[Any, str], Any], by_column: bool
) -> Callable[[Any], Any] | None:
    """Return the function that converts a value to a type; None if it needs none.

    It is worked out once a type, as messages hold many values of few types.
    """
    if hasattr(kind, "_fields"):
        return _struct_converter(kind, get, by_column)
    if typing.get_origin(kind) is not tuple:
        return None
    item_kind = _item_kind(kind)
    if by_column and _is_table(kind):
        return _table_converter(item_kind, get)
    convert = _converter(item_kind, get, by_column)
    return tuple if convert is None else lambda value: tuple(map(convert, value))


def _struct_converter(kind, get, by_column) -> Callable[[Any], Any]:
    converters = tuple(
        (field.struct_name, _converter(field.kind, get, by_column))
        for field in _fields_of(kind)
    )
    return lambda value: kind._make(
        convert(get(value, name)) if convert else get(value, name)
        for name, convert in converters
    )


def _table_converter(kind, get) -> Callable[[Any], Any]:
    fields = tuple(
        (field.struct_name, kind._field_defaults.get(field.name, _NO_DEFAULT))
        for field in _fields_of(kind)
    )

    def convert(value):
        columns = [get(value, name) for name, _ in fields]
        count = len(columns[0])
        for index, (_, default) in enumerate(fields):
            if not len(columns[index]) and default is not _NO_DEFAULT:
                columns[index] = (default,) * count
        return tuple(map(kind._make, zip(*columns, strict=True)))

    return convert


def _to_columns(kind, records) -> dict[str, list[Any]]:
    names = [field.struct_name for field in _fields_of(kind)]
    columns = map(list, zip(*records, strict=True)) if records else ([] for _ in names)
    return dict(zip(names, columns, strict=True))


@functools.cache
def _is_table(kind: Any) -> bool:
    """Return whether a type is a tuple of flat records."""
    if typing.get_origin(kind) is not tuple:
        return False
    item_kind = _item_kind(kind)
    return hasattr(item_kind, "_fields") and not any(
        hasattr(field.kind, "_fields") or typing.get_origin(field.kind) is tuple
        for field in _fields_of(item_kind)
    )


def _item_kind(kind: Any) -> Any:
    return typing.get_args(kind)[0]


def _camel_case(name: str) -> str:
    first, *others = name.split("_")
    return first + "".join(word.title() for word in others)
