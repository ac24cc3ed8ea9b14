"""Routing of requests by host and path."""

from collections.abc import Iterable

from chervilpitch.model import HostRoute

__all__ = ["RouteTable", "pick_service"]


class RouteTable:
    """Routes by host; the longest matching prefix of a host wins.

    Parameters
    ----------
    routes : iterable of HostRoute
        All routes.
    """

    def __init__(self, routes: Iterable[HostRoute]):
        self._by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route of a request, or None if there is none.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; case and port are ignored.
        path : str
            Path without the query, as sent by the caller.
        """
        prefixes = self._by_host.get(_without_port(host.lower()))
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def pick_service(route: HostRoute, draw: float) -> str:
    """Return a service of a route, chosen at random by weight.

    Parameters
    ----------
    route : HostRoute
        Route of the request.
    draw : float
        Random number from 0 to 1.
    """
    remaining = draw * sum(part.weight for part in route.services)
    for part in route.services:
        remaining -= part.weight
        if remaining < 0:
            return part.service
    return route.services[-1].service


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
