"""Which route a request takes."""

from collections.abc import Iterable

from chervilpitch.model import HostRoute

__all__ = ["RouteTable", "pick_service"]


class RouteTable:
    """Routes by host; among those of a host the longest prefix wins.

    Parameters
    ----------
    routes : iterable of HostRoute
        Every route.
    """

    def __init__(self, routes: Iterable[HostRoute]):
        self._by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route of a request.

        Parameters
        ----------
        host : str
            The ``Host`` header; case and a port don't matter.
        path : str
            Path without the query, as it was sent.
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
    """Return the service of one request.

    Parameters
    ----------
    route : HostRoute
        Its route.
    draw : float
        Random number from 0 to 1.
    """
    left = draw * sum(part.weight for part in route.services)
    for part in route.services:
        left -= part.weight
        if left < 0:
            return part.service
    return route.services[-1].service


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
