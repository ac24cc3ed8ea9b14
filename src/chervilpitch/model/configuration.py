"""Versioned configuration: routes, client accounts and limits."""

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
    """Kind of a request, which determines whether to retry and the upstream choice."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"
    DOWNLOAD = "download"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request of this kind may safely be executed more than once."""
        return self in (RequestKind.SAFE, RequestKind.DOWNLOAD)


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Relative share of the requests.
    """

    service: str
    weight: float


class HostRoute(NamedTuple):
    """A path prefix of a host and the rules for its requests.

    Parameters
    ----------
    name : str
        Unique name of the route.
    host : str
        Host name in lower case.
    prefix : str
        Path prefix, with a slash at both ends; the longest match wins.
    kind : RequestKind
        Kind of the requests.
    timeout_s, aim_s : float
        Time limit of a request, and the latency target within which its response
        has its full value, in seconds.
    priority : int
        Priority under overload; 0 is the highest.
    services : tuple of WeightedService
        Services that handle the requests.
    max_attempts : int
        Maximum number of upstreams to which one request may be sent.
    needs_key : bool
        Whether the caller must present a key.
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
    """Priority and rate limit of a client account, over all instances together.

    Parameters
    ----------
    name : str
        Unique name of the client account.
    priority : int or None
        Priority that overrides that of the route, if any.
    rate_per_s : float
        Rate limit in requests per second; 0 for no limit.
    burst : float
        Requests admitted at once after an idle period.
    """

    name: str
    priority: int | None
    rate_per_s: float
    burst: float


class CallerLimits(NamedTuple):
    """Limits on connections and requests of callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of the header section and of the body in bytes.
    header_timeout_s, idle_timeout_s : float
        Maximum time in seconds to receive a header, and to keep an idle
        connection open.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the configuration declared by operators.

    Parameters
    ----------
    version : int
        Version number; 0 before the first version is known.
    routes : tuple of HostRoute
        All routes.
    accounts : mapping of str to AccountQuota
        Client accounts by name.
    account_of_key : mapping of str to str
        Name of the client account for the hexadecimal SHA-256 digest of each key.
    limits : CallerLimits
        Limits on connections and requests of callers.
    unknown_kind_routes : tuple of str
        Names of the routes of a kind that this build does not know; they are served
        as ``UNSAFE`` ones.
    """

    version: int
    routes: tuple[HostRoute, ...]
    accounts: Mapping[str, AccountQuota]
    account_of_key: Mapping[str, str]
    limits: CallerLimits
    unknown_kind_routes: tuple[str, ...] = ()


class UpstreamEntry(NamedTuple):
    """Entry by which an upstream announces itself in the store.

    Parameters
    ----------
    name : str
        Id of the upstream; it may be the same after a restart.
    service : str
        Name of the service it belongs to.
    address : str
        Host and port.
    failure_domain : str
        Failure domain in which it runs.
    slots : int
        Maximum number of concurrent requests.
    is_draining : bool
        Whether it must not receive new requests.
    cold_for_s : float
        Remaining duration of the cold start in seconds when the entry was written.
    born_ms : int
        Start time in Unix milliseconds, which orders the incarnations of one id.
    sequence : int
        Sequence number of the announcement within the incarnation.
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
