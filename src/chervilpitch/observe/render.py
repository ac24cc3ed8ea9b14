"""The merged time line as text."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from .timeline import Gap, StampedEvent

__all__ = ["render_text", "wall_text"]

HEADINGS = ("TIME", "INSTANCE", "PART", "EVENT", "SUBJECT", "DETAIL")
NS_PER_S = 1_000_000_000
NS_PER_US = 1_000


def render_text(entries: Iterable[StampedEvent | Gap]) -> str:
    """Write a merged time line in aligned columns.

    Parameters
    ----------
    entries : iterable of StampedEvent or Gap
        Entries in order, as :func:`merge_events` gives them.

    Returns
    -------
    str
        A heading and a line per entry.

    Examples
    --------
    >>> from .clock import Stamp
    >>> print(render_text([Gap(Stamp(0, 0, "a"), 3)]).splitlines()[1])
    00:00:00.000000  a         -     (3 missing)
    """
    rows = [HEADINGS, *map(_row, entries)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "".join(_aligned(row, widths) + "\n" for row in rows)


def wall_text(wall_ns: int) -> str:
    """Return the time of day in UTC with microseconds.

    Parameters
    ----------
    wall_ns : int
        Nanoseconds since the Unix epoch.

    Returns
    -------
    str
        Hours to microseconds.

    Examples
    --------
    >>> wall_text(3_600_000_001_000)
    '01:00:00.000001'
    """
    seconds, rest_ns = divmod(wall_ns, NS_PER_S)
    moment = datetime.fromtimestamp(seconds, UTC)
    return f"{moment:%H:%M:%S}.{rest_ns // NS_PER_US:06d}"


def _row(entry: StampedEvent | Gap) -> tuple[str, ...]:
    when = wall_text(entry.stamp.wall_ns)
    instance = entry.stamp.instance
    if isinstance(entry, Gap):
        return (when, instance, "-", f"({entry.missing} missing)", "", "")
    return (when, instance, *map(_printable, entry.event))


def _printable(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)


def _aligned(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "  ".join(cells).rstrip()
