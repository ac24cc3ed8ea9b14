"""Match request paths to routes by the longest prefix of whole segments."""

from typing import NamedTuple
from urllib.parse import unquote

from result import Err, Ok, Result

from chervilpitch.model import Catalogue, Refusal, RefusalKind, Route, RunState

__all__ = ["RouteTable", "build_table", "match"]

DOT_SEGMENTS = {".", ".."}
AMBIGUOUS_CHARACTERS = {"/", "\\", "\0"}


class RouteTable(NamedTuple):
    """Routes indexed by the segments of their prefix.

    Parameters
    ----------
    by_segments : dict
        Route of each prefix, by the tuple of its segments.
    max_depth : int
        Number of segments of the longest prefix.
    """

    by_segments: dict[tuple[str, ...], Route]
    max_depth: int


def build_table(catalogue: Catalogue) -> RouteTable:
    """Return the route table of a catalogue.

    Parameters
    ----------
    catalogue : Catalogue
        Catalogue with the routes. If two have the same prefix, the first by name is
        used.

    Returns
    -------
    RouteTable
        Table to be used until the next catalogue.
    """
    by_segments: dict[tuple[str, ...], Route] = {}
    for name in sorted(catalogue.routes):
        route = catalogue.routes[name]
        segments = tuple(unquote(part) for part in route.prefix.split("/") if part)
        by_segments.setdefault(segments, route)
    return RouteTable(by_segments, max(map(len, by_segments), default=0))


def match(table: RouteTable, path: str, account_name: str) -> Result[Route, Refusal]:
    """Find the route of a path for a client account.

    A path with an empty segment, a dot segment, an encoded slash, a backslash or a
    NUL character matches no route. An upstream could normalize it to a different
    path, so that a request would pass the account check of one route and be served
    as another.

    Parameters
    ----------
    table : RouteTable
        Table of the current catalogue.
    path : str
        Path of the request; the query and the fragment are ignored.
    account_name : str
        Name of the client account that the key of the request belongs to.

    Returns
    -------
    Result of Route or Refusal
        ``ROUTE_UNKNOWN`` or ``ACCOUNT_NOT_ADMITTED``; in both cases the request was
        not run.

    Notes
    -----
    The cost depends on the number of segments, not on the number of routes.

    Examples
    --------
    >>> from chervilpitch.model import EMPTY_CATALOGUE
    >>> route = Route("stock", "/stock", "desk", 5.0, True)
    >>> table = build_table(EMPTY_CATALOGUE._replace(routes={"stock": route}))
    >>> match(table, "/stock/7?full=1", "shops").unwrap().name
    'stock'
    >>> match(table, "/stockroom", "shops").unwrap_err().kind.value
    'route-unknown'
    """
    segments = _segments(path)
    if segments is None:
        return _refuse(RefusalKind.ROUTE_UNKNOWN)
    route = _longest_match(table, segments)
    if route is None:
        return _refuse(RefusalKind.ROUTE_UNKNOWN)
    if route.accounts and account_name not in route.accounts:
        return _refuse(RefusalKind.ACCOUNT_NOT_ADMITTED)
    return Ok(route)


def _segments(path):
    path_only = path.partition("?")[0].partition("#")[0]
    if not path_only.startswith("/"):
        return None
    parts = path_only[1:].split("/")
    if parts[-1] == "":
        parts.pop()
    segments = tuple(unquote(part) for part in parts)
    if any(_is_ambiguous(segment) for segment in segments):
        return None
    return segments


def _is_ambiguous(segment):
    if not segment or segment in DOT_SEGMENTS:
        return True
    return not AMBIGUOUS_CHARACTERS.isdisjoint(segment)


def _longest_match(table, segments):
    for depth in range(min(len(segments), table.max_depth), -1, -1):
        route = table.by_segments.get(segments[:depth])
        if route is not None:
            return route
    return None


def _refuse(kind):
    return Err(Refusal(kind, RunState.NOT_RUN))
