"""Rows of the tables of capacity and how they are written."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Row", "quantity", "table", "verdict"]

HEAD = "| Dimension | Slope × count | Total | Bound | Verdict | Carried by |"
SCALED = {"B": ("kB", "MB", "GB"), "B/s": ("kB/s", "MB/s", "GB/s")}
THOUSAND = 1_000


class Row(NamedTuple):
    """One dimension of a role.

    Parameters
    ----------
    dimension : str
        What is counted.
    working : str
        The slope and the count.
    total : float or None
        Their product; None when it is not measured.
    unit : str
        Unit of the total and the bound.
    bound : float or None
        Largest total that is asked for; None when there is none.
    carrier : str
        Module that carries it.
    """

    dimension: str
    working: str
    total: float | None
    unit: str
    bound: float | None
    carrier: str


def quantity(amount: float, unit: str) -> str:
    """Return an amount with its unit.

    Examples
    --------
    >>> quantity(5_007_546, "B")
    '5.01 MB'
    >>> quantity(0.0123, "core")
    '1.23% of a core'
    >>> quantity(17_655_459, "us")
    '17.7 s'
    """
    if unit == "core":
        return f"{_number(amount * 100)}% of a core"
    if unit == "us":
        return _time(amount)
    for larger in SCALED.get(unit, ()):
        if amount < THOUSAND:
            break
        amount, unit = amount / THOUSAND, larger
    return f"{_number(amount)} {unit}".strip()


def verdict(row: Row) -> str:
    """Return whether a bound is met.

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


def table(rows: Iterable[Row]) -> str:
    """Return rows as a table of Markdown."""
    lines = [HEAD, "| --- | --- | ---: | ---: | --- | --- |"]
    for row in rows:
        total = "" if row.total is None else quantity(row.total, row.unit)
        bound = "" if row.bound is None else quantity(row.bound, row.unit)
        cells = (
            row.dimension,
            row.working,
            total,
            bound,
            verdict(row),
            f"`{row.carrier}`",
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _number(amount: float) -> str:
    if amount == 0:
        return "0"
    if abs(amount) >= 100:
        return f"{amount:,.0f}"
    return f"{amount:.3g}"


def _time(amount_us: float) -> str:
    if amount_us >= 1e6:
        return f"{_number(amount_us / 1e6)} s"
    if amount_us >= 1e3:
        return f"{_number(amount_us / 1e3)} ms"
    return f"{_number(amount_us)} us"
