"""Which addresses a caller is to use, and for how long."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

from chervilpitch.model import region_of

from .directory import Directory
from .freshness import is_current
from .placement import weight
from .standing import Condition, Standing
from .view import MembershipState, instance_statuses

__all__ = ["AddressAnswer", "linger_until", "remaining_lifetime_s", "select_addresses"]

ANSWER_LIFETIME_S = 30.0
OLD_VIEW_ANSWER_LIFETIME_S = 5.0
CALLER_CLOCK_MARGIN_S = 2.0
LIST_LAG_S = 30.0
ADDRESSES = 4
SPARE_FACTOR = 4


class AddressAnswer(NamedTuple):
    """Addresses for a caller.

    Parameters
    ----------
    addresses : tuple of str
        Callers' addresses, best first.
    instances : tuple of str
        Names of the instances at these addresses.
    expires_at_s : float
        Monotonic time in seconds, of this instance, after which the caller must
        ask again.
    """

    addresses: tuple[str, ...]
    instances: tuple[str, ...]
    expires_at_s: float


class _Distance(IntEnum):
    """How far an instance is from a caller."""

    DOMAIN = 0
    REGION = 1
    ELSEWHERE = 2


class _Doubt(IntEnum):
    """How doubtful it is that an instance can serve."""

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
    count: int = ADDRESSES,
) -> AddressAnswer:
    """Answer a caller that asks which addresses to use.

    The instances on the account's home seats go first, the nearest before the
    others, so that one account's requests meet few instances. Callers of one
    account in one place begin with different ones of its homes. Leaving and gone
    instances are never named; doubtful ones come last. The first two addresses
    are in different failure domains where there are two.

    Parameters
    ----------
    state : MembershipState
        State.
    seats : mapping of int to str
        Failure domain of each seat, as the catalogue in force has it.
    account : str or None
        Name of the caller's client account, if known.
    now_s : float
        Monotonic time in seconds.
    caller : str
        Anything that tells callers of one account apart, for example the host.
    caller_domain : str or None
        Failure domain ``"region/domain"`` or region of the caller; that of this
        instance if None.
    count : int
        How many addresses at most.

    Returns
    -------
    AddressAnswer
        The addresses and the deadline.
    """
    near = state.own.failure_domain if caller_domain is None else caller_domain
    homes = state.home_seats.of(account, seats) if account else frozenset()
    key = f"{account}\0{caller}"
    directory = state.directories.of(instance_statuses(state, now_s))
    chosen = _shortlist(directory, homes, near, count)
    ordered = sorted(
        chosen,
        key=lambda s: (
            _doubt(s),
            _is_in_other_region(near, s.instance.failure_domain),
            s.instance.seat not in homes,
            _distance(near, s.instance.failure_domain),
            -weight(key, s.instance.name),
        ),
    )
    picked = _with_two_domains(_with_own_address(ordered))[:count]
    lifetime_s = ANSWER_LIFETIME_S
    if not is_current(state, now_s):
        lifetime_s = OLD_VIEW_ANSWER_LIFETIME_S
    return AddressAnswer(
        addresses=tuple(s.instance.callers_address for s in picked),
        instances=tuple(s.instance.name for s in picked),
        expires_at_s=now_s + lifetime_s,
    )


def remaining_lifetime_s(given: AddressAnswer, now_s: float) -> float:
    """Return the seconds from now that a caller may keep an answer.

    Parameters
    ----------
    given : AddressAnswer
        The answer.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Seconds, never negative; callers' clocks differ, so they get this number.
    """
    return max(0.0, given.expires_at_s - now_s)


def linger_until(state: MembershipState) -> float | None:
    """Return until when a leaving instance must serve late-comers.

    Others may still name it while the news and the list lag, and the callers
    keep those answers for their whole lifetime.

    Parameters
    ----------
    state : MembershipState
        State.

    Returns
    -------
    float or None
        Monotonic time in seconds; None while it is not leaving.
    """
    if state.leaving_at_s is None:
        return None
    kept_s = ANSWER_LIFETIME_S + CALLER_CLOCK_MARGIN_S
    return state.leaving_at_s + LIST_LAG_S + kept_s


def _doubt(standing: Standing) -> _Doubt:
    if standing.condition is Condition.SUSPECT:
        return _Doubt.SUSPECT
    return _Doubt.NONE if standing.two_way else _Doubt.ONE_WAY


def _distance(near: str, domain: str) -> _Distance:
    if domain == near:
        return _Distance.DOMAIN
    if region_of(domain) == region_of(near):
        return _Distance.REGION
    return _Distance.ELSEWHERE


def _is_in_other_region(near: str, domain: str) -> bool:
    return _distance(near, domain) is _Distance.ELSEWHERE


def _shortlist(
    directory: Directory, homes: Collection[int], near: str, count: int
) -> Sequence[Standing]:
    """Return the homes, and of the others the nearest domains that suffice."""
    chosen = [one for seat in homes for one in directory.by_seat.get(seat, ())]
    by_domain = directory.by_domain
    domains = sorted(by_domain, key=lambda domain: (_distance(near, domain), domain))
    for domain in domains:
        if _is_enough(chosen, count):
            break
        others = (s for s in by_domain[domain] if s.instance.seat not in homes)
        chosen.extend(others)
    return chosen


def _is_enough(chosen: Iterable[Standing], count: int) -> bool:
    certain = [s.instance for s in chosen if _doubt(s) is _Doubt.NONE]
    domains = {instance.failure_domain for instance in certain}
    return len(certain) >= SPARE_FACTOR * count and len(domains) > 1


def _with_own_address(ordered: Iterable[Standing]) -> Sequence[Standing]:
    """Keep the first of several instances with one address."""
    by_address: dict[str, Standing] = {}
    for standing in ordered:
        by_address.setdefault(standing.instance.callers_address, standing)
    return list(by_address.values())


def _with_two_domains(ordered: Sequence[Standing]) -> Sequence[Standing]:
    """Move the best sure address of another failure domain to the second place."""
    if not ordered:
        return ordered
    first = ordered[0]
    for position, standing in enumerate(ordered):
        is_elsewhere = standing.instance.failure_domain != first.instance.failure_domain
        if is_elsewhere and _doubt(standing) <= _doubt(first):
            rest = [*ordered[1:position], *ordered[position + 1 :]]
            return [first, standing, *rest]
    return ordered
