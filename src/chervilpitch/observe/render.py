"""Text rendering of a merged time line."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from .timeline import Gap, StampedEvent

__all__ = ["render_text", "wall_text"]

COLUMN_HEADINGS = ("TIME", "INSTANCE", "PART", "EVENT", "SUBJECT", "DETAIL")
NS_PER_S = 1_000_000_000
NS_PER_US = 1_000


def render_text(entries: Iterable[StampedEvent | Gap]) -> str:
    """Render a merged time line as a table of text.

    Parameters
    ----------
    entries : iterable of StampedEvent or Gap
        Entries in order, as yielded by :func:`merge_events`.

    Returns
    -------
    str
        A heading and one line per entry.

    Examples
    --------
    >>> from .clock import Stamp
    >>> print(render_text([Gap(Stamp(0, 0, "a"), 3)]).splitlines()[1])
    00:00:00.000000  a         -     (3 missing)
    """
    rows = [COLUMN_HEADINGS, *map(_to_row, entries)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "".join(_align(row, widths) + "\n" for row in rows)


def wall_text(wall_ns: int) -> str:
    """Format a wall-clock time as time of day in UTC.

    Parameters
    ----------
    wall_ns : int
        Nanoseconds since the Unix epoch.

    Returns
    -------
    str
        Time of day with microseconds.

    Examples
    --------
    >>> wall_text(3_600_000_001_000)
    '01:00:00.000001'
    """
    seconds, rest_ns = divmod(wall_ns, NS_PER_S)
    moment = datetime.fromtimestamp(seconds, UTC)
    return f"{moment:%H:%M:%S}.{rest_ns // NS_PER_US:06d}"


def _to_row(entry: StampedEvent | Gap) -> tuple[str, ...]:
    when = wall_text(entry.stamp.wall_ns)
    instance = entry.stamp.instance
    if isinstance(entry, Gap):
        return (when, instance, "-", f"({entry.missing} missing)", "", "")
    return (when, instance, *map(_replace_unprintable, entry.event))


def _replace_unprintable(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)


def _align(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "  ".join(cells).rstrip()
