"""Rows of the capacity tables and their format."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Row", "format_quantity", "format_table", "verdict"]

HEAD = "| Dimension | Slope × count | Total | Bound | Verdict | Carried by |"
SCALED_UNITS = {"B": ("kB", "MB", "GB"), "B/s": ("kB/s", "MB/s", "GB/s")}
UNIT_STEP = 1_000


class Row(NamedTuple):
    """One measured dimension of a role.

    Parameters
    ----------
    dimension : str
        Name of the quantity.
    calculation : str
        Slope and count from which the total is computed.
    total : float or None
        Product of slope and count; None if it is not measured.
    unit : str
        Unit of the total and the bound.
    bound : float or None
        Largest total allowed; None if there is no bound.
    module : str
        Path of the module that implements it.
    """

    dimension: str
    calculation: str
    total: float | None
    unit: str
    bound: float | None
    module: str


def format_quantity(amount: float, unit: str) -> str:
    """Return an amount with its unit.

    Examples
    --------
    >>> format_quantity(5_007_546, "B")
    '5.01 MB'
    >>> format_quantity(0.0123, "core")
    '1.23% of a core'
    >>> format_quantity(17_655_459, "us")
    '17.7 s'
    """
    if unit == "core":
        return f"{_format_number(amount * 100)}% of a core"
    if unit == "us":
        return _format_time(amount)
    for larger_unit in SCALED_UNITS.get(unit, ()):
        if amount < UNIT_STEP:
            break
        amount, unit = amount / UNIT_STEP, larger_unit
    return f"{_format_number(amount)} {unit}".strip()


def verdict(row: Row) -> str:
    """Return the text that says whether a row meets its bound.

    Examples
    --------
    >>> verdict(Row("reads", "", 7.0, "/s", 2_000.0, ""))
    'met'
    """
    if row.total is None:
        return "**not measured**"
    if row.bound is None:
        return "no bound"
    return "met" if row.total <= row.bound else "**not met**"


def format_table(rows: Iterable[Row]) -> str:
    """Return rows as a Markdown table."""
    lines = [HEAD, "| --- | --- | ---: | ---: | --- | --- |"]
    for row in rows:
        total = "" if row.total is None else format_quantity(row.total, row.unit)
        bound = "" if row.bound is None else format_quantity(row.bound, row.unit)
        cells = (
            row.dimension,
            row.calculation,
            total,
            bound,
            verdict(row),
            f"`{row.module}`",
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _format_number(amount: float) -> str:
    if amount == 0:
        return "0"
    if abs(amount) >= 100:
        return f"{amount:,.0f}"
    return f"{amount:.3g}"


def _format_time(amount_us: float) -> str:
    if amount_us >= 1e6:
        return f"{_format_number(amount_us / 1e6)} s"
    if amount_us >= 1e3:
        return f"{_format_number(amount_us / 1e3)} ms"
    return f"{_format_number(amount_us)} us"
