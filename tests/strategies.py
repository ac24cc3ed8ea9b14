"""Hypothesis strategies shared by tests."""

import typing

from hypothesis import strategies as st

UNSIGNED_INTEGERS = st.integers(0, 2**31 - 1)
STRATEGIES_BY_TYPE = {
    int: UNSIGNED_INTEGERS,
    float: st.floats(allow_nan=False),
    str: st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20),
    bool: st.booleans(),
    bytes: st.binary(max_size=20),
}


def values_of(field_type):
    """Return a strategy for the values of a field's type.

    Supports the types of ``STRATEGIES_BY_TYPE``, named tuples and tuples of one item
    type.
    """
    if hasattr(field_type, "_fields"):
        hints = typing.get_type_hints(field_type)
        return st.builds(field_type, **{name: values_of(hints[name]) for name in hints})
    if typing.get_origin(field_type) is tuple:
        items = values_of(typing.get_args(field_type)[0])
        return st.lists(items, max_size=3).map(tuple)
    return STRATEGIES_BY_TYPE[field_type]
