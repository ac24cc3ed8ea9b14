"""Selection of the addresses that a caller should use, and their lifetime."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

from chervilpitch.model import region_of

from .directory import Directory
from .freshness import is_current
from .placement import weight
from .status import Condition, InstanceStatus
from .view import MembershipState, instance_statuses

__all__ = [
    "AddressSelection",
    "linger_until",
    "remaining_lifetime_s",
    "select_addresses",
]

ADDRESS_LIFETIME_S = 30.0
STALE_VIEW_ADDRESS_LIFETIME_S = 5.0
CALLER_CLOCK_MARGIN_S = 2.0
LIST_LAG_S = 30.0
MAX_ADDRESSES = 4
CANDIDATES_PER_ADDRESS = 4


class AddressSelection(NamedTuple):
    """Addresses for a caller.

    Parameters
    ----------
    addresses : tuple of str
        Callers' addresses, best first.
    instances : tuple of str
        Names of the instances at these addresses.
    expires_at_s : float
        Monotonic time of this instance in seconds after which the caller must
        ask again.
    """

    addresses: tuple[str, ...]
    instances: tuple[str, ...]
    expires_at_s: float


class _Distance(IntEnum):
    """Distance between an instance and a caller."""

    DOMAIN = 0
    REGION = 1
    ELSEWHERE = 2


class _Suspicion(IntEnum):
    """Level of suspicion that an instance cannot serve requests."""

    NONE = 0
    ONE_WAY = 1
    SUSPECT = 2


def select_addresses(
    state: MembershipState,
    seats: Mapping[int, str],
    account: str | None,
    now_s: float,
    *,
    caller: str = "",
    caller_domain: str | None = None,
    count: int = MAX_ADDRESSES,
) -> AddressSelection:
    """Select the addresses that a caller should use.

    Instances of the caller's region come before those of other regions. Within
    each, the instances on the account's home seats come first, nearest first, so
    that few instances serve the requests of one account. Equally near ones are
    ordered by a hash of the account and the caller, which spreads the callers.
    Leaving and gone instances are never selected, and suspected ones come last.
    The first two addresses are in different failure domains if there are two,
    unless the second domain has only instances that are more suspected.

    Parameters
    ----------
    state : MembershipState
        Membership state.
    seats : mapping of int to str
        Failure domain of each seat in the active catalogue.
    account : str or None
        Name of the caller's client account, if known.
    now_s : float
        Monotonic time in seconds.
    caller : str
        Any text that distinguishes the callers of one account, such as the host.
    caller_domain : str or None
        Failure domain ``"region/domain"`` or region of the caller; that of this
        instance if None.
    count : int
        Maximum number of addresses.

    Returns
    -------
    AddressSelection
        The addresses and the time at which they expire.
    """
    location = state.own.failure_domain if caller_domain is None else caller_domain
    homes = state.home_seat_cache.get(account, seats) if account else frozenset()
    key = f"{account}\0{caller}"
    directory = state.directory_cache.get(instance_statuses(state, now_s))
    chosen = _candidates(directory, homes, location, count)
    ordered = sorted(
        chosen,
        key=lambda s: (
            _suspicion(s),
            _is_in_other_region(location, s.instance.failure_domain),
            s.instance.seat not in homes,
            _distance(location, s.instance.failure_domain),
            -weight(key, s.instance.name),
        ),
    )
    picked = _with_two_domains(_unique_by_address(ordered))[:count]
    lifetime_s = ADDRESS_LIFETIME_S
    if not is_current(state, now_s):
        lifetime_s = STALE_VIEW_ADDRESS_LIFETIME_S
    return AddressSelection(
        addresses=tuple(s.instance.callers_address for s in picked),
        instances=tuple(s.instance.name for s in picked),
        expires_at_s=now_s + lifetime_s,
    )


def remaining_lifetime_s(selection: AddressSelection, now_s: float) -> float:
    """Return the seconds for which a caller may still use the addresses.

    Callers get a duration and not a time, because their clocks differ.

    Parameters
    ----------
    selection : AddressSelection
        The selected addresses.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Seconds, never negative.
    """
    return max(0.0, selection.expires_at_s - now_s)


def linger_until(state: MembershipState) -> float | None:
    """Return the time until which a leaving instance must accept new requests.

    Other instances may still select its address until the announcement or the
    published list reaches them, and callers use a selection for its whole
    lifetime.

    Parameters
    ----------
    state : MembershipState
        Membership state.

    Returns
    -------
    float or None
        Monotonic time in seconds; None if the instance is not leaving.
    """
    if state.leaving_at_s is None:
        return None
    use_s = ADDRESS_LIFETIME_S + CALLER_CLOCK_MARGIN_S
    return state.leaving_at_s + LIST_LAG_S + use_s


def _suspicion(status: InstanceStatus) -> _Suspicion:
    if status.condition is Condition.SUSPECT:
        return _Suspicion.SUSPECT
    return _Suspicion.NONE if status.two_way else _Suspicion.ONE_WAY


def _distance(location: str, domain: str) -> _Distance:
    if domain == location:
        return _Distance.DOMAIN
    if region_of(domain) == region_of(location):
        return _Distance.REGION
    return _Distance.ELSEWHERE


def _is_in_other_region(location: str, domain: str) -> bool:
    return _distance(location, domain) is _Distance.ELSEWHERE


def _candidates(
    directory: Directory, homes: Collection[int], location: str, count: int
) -> Sequence[InstanceStatus]:
    """Return the home instances, and others from as many near domains as needed."""
    chosen = [status for seat in homes for status in directory.by_seat.get(seat, ())]
    by_domain = directory.by_domain
    domains = sorted(
        by_domain, key=lambda domain: (_distance(location, domain), domain)
    )
    for domain in domains:
        if _has_enough_candidates(chosen, count):
            break
        others = (s for s in by_domain[domain] if s.instance.seat not in homes)
        chosen.extend(others)
    return chosen


def _has_enough_candidates(chosen: Iterable[InstanceStatus], count: int) -> bool:
    certain = [s.instance for s in chosen if _suspicion(s) is _Suspicion.NONE]
    domains = {instance.failure_domain for instance in certain}
    return len(certain) >= CANDIDATES_PER_ADDRESS * count and len(domains) > 1


def _unique_by_address(ordered: Iterable[InstanceStatus]) -> Sequence[InstanceStatus]:
    """Keep only the first of several instances with the same address."""
    by_address: dict[str, InstanceStatus] = {}
    for status in ordered:
        by_address.setdefault(status.instance.callers_address, status)
    return list(by_address.values())


def _with_two_domains(ordered: Sequence[InstanceStatus]) -> Sequence[InstanceStatus]:
    """Move the best instance of another failure domain to the second position.

    An instance that is more suspected than the first one is not moved.
    """
    if not ordered:
        return ordered
    first = ordered[0]
    for position, status in enumerate(ordered):
        is_elsewhere = status.instance.failure_domain != first.instance.failure_domain
        if is_elsewhere and _suspicion(status) <= _suspicion(first):
            rest = [*ordered[1:position], *ordered[position + 1 :]]
            return [first, status, *rest]
    return ordered
