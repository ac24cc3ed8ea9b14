"""Hypothesis strategies shared by tests."""

import typing

from hypothesis import strategies as st

UNSIGNED = st.integers(0, 2**31 - 1)
VALUES = {
    int: UNSIGNED,
    float: st.floats(allow_nan=False),
    str: st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20),
    bool: st.booleans(),
    bytes: st.binary(max_size=20),
}


def values_of(kind):
    """Return a strategy for values of a type of message field."""
    if hasattr(kind, "_fields"):
        hints = typing.get_type_hints(kind)
        return st.builds(kind, **{name: values_of(hints[name]) for name in hints})
    if typing.get_origin(kind) is tuple:
        items = values_of(typing.get_args(kind)[0])
        return st.lists(items, max_size=3).map(tuple)
    return VALUES[kind]
