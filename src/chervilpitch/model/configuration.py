"""What one configuration version declares: routes, client accounts, limits."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "NO_CONFIGURATION",
    "AccountQuota",
    "CallerLimits",
    "Configuration",
    "HostRoute",
    "RequestKind",
    "UpstreamEntry",
    "WeightedService",
]


class RequestKind(StrEnum):
    """What may be repeated, and how large its body may be."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request of this kind may run more than once."""
        return self is RequestKind.SAFE


class WeightedService(NamedTuple):
    """A service and its share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share relative to the other services of the route.
    """

    service: str
    weight: float


class HostRoute(NamedTuple):
    """A path prefix of a host and how its requests are served.

    Parameters
    ----------
    name : str
        Unique name of the route.
    host : str
        Host in lower case.
    prefix : str
        Path prefix, with a slash at both ends; the longest match wins.
    kind : RequestKind
        What may be repeated.
    timeout_s, aim_s : float
        Longest time that a request is kept waiting, and the time within which
        its answer has its full value, in seconds.
    priority : int
        Rank under overload; 0 is the highest.
    services : tuple of WeightedService
        Where requests go.
    max_attempts : int
        Most upstreams that one request may be sent to.
    needs_key : bool
        Whether a caller must show a key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    aim_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    needs_key: bool


class AccountQuota(NamedTuple):
    """A client account and what it may send over all instances together.

    Parameters
    ----------
    name : str
        Unique name of the client account.
    priority : int or None
        Rank that precedes the route's, if any.
    rate_per_s : float
        Requests per second; 0 for no limit.
    burst : float
        Requests admitted at once after a quiet time.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float


class CallerLimits(NamedTuple):
    """Bounds on what callers send.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest header section and largest body.
    header_timeout_s, idle_timeout_s : float
        Longest time that a header may take and that a connection may be idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of what operators declare.

    Parameters
    ----------
    version : int
        Number of the version; 0 before the first is known.
    routes : tuple of HostRoute
        Every route.
    accounts : mapping of str to AccountQuota
        Client accounts by name.
    account_of_key : mapping of str to str
        Name of the client account by the hexadecimal SHA-256 digest of its key.
    limits : CallerLimits
        Bounds on what callers send.
    """

    version: int
    routes: tuple[HostRoute, ...]
    accounts: Mapping[str, AccountQuota]
    account_of_key: Mapping[str, str]
    limits: CallerLimits


class UpstreamEntry(NamedTuple):
    """An upstream as it announces itself.

    Parameters
    ----------
    name : str
        Unique id of one incarnation, or of several when it starts again.
    service : str
        Name of the service it belongs to.
    address : str
        Host and port.
    failure_domain : str
        Failure domain where it runs.
    slots : int
        Requests it runs at once.
    is_draining : bool
        Whether it must get no new work.
    cold_for_s : float
        Seconds that it stays slow after the entry was written.
    born_ms : int
        Unix millisecond of its start; orders incarnations of one id.
    sequence : int
        Number of its announcement within the incarnation.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    cold_for_s: float
    born_ms: int
    sequence: int


NO_CONFIGURATION = Configuration(0, (), {}, {}, CallerLimits())
