"""Totals of estimated and actual work by route, for operators."""

from typing import NamedTuple

__all__ = ["RouteWork", "WorkAccuracy"]

MAX_ROUTES = 64
OTHER_ROUTES = "other"


class RouteWork(NamedTuple):
    """Totals of the requests of a route whose actual work is known.

    Parameters
    ----------
    requests : int
        Number of requests.
    estimated_s, actual_s, error_s : float
        Sums of the estimates, of the actual work and of their absolute differences,
        in seconds.
    """

    requests: int = 0
    estimated_s: float = 0.0
    actual_s: float = 0.0
    error_s: float = 0.0


class WorkAccuracy:
    """Totals by route, for a limited number of routes and for all others together.

    Examples
    --------
    >>> accuracy = WorkAccuracy()
    >>> accuracy.add("r", 0.5, 0.25)
    >>> accuracy.by_route["r"]
    RouteWork(requests=1, estimated_s=0.5, actual_s=0.25, error_s=0.25)
    """

    def __init__(self) -> None:
        self.by_route: dict[str, RouteWork] = {}

    def add(self, route: str, estimated_s: float, actual_s: float) -> None:
        """Add a request.

        Parameters
        ----------
        route : str
            Name of its route.
        estimated_s, actual_s : float
            Its estimated and its actual work in seconds.
        """
        if route not in self.by_route and len(self.by_route) >= MAX_ROUTES:
            route = OTHER_ROUTES
        total = self.by_route.get(route, RouteWork())
        self.by_route[route] = RouteWork(
            total.requests + 1,
            total.estimated_s + estimated_s,
            total.actual_s + actual_s,
            total.error_s + abs(estimated_s - actual_s),
        )
