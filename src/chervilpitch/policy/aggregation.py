"""Groups of instances of a region, each with an aggregator for what they exchange.

The first instances of each failure domain by rank are aggregators. Those of a region
exchange messages with each other. Every other instance exchanges messages with one
aggregator, which adds up what its group reports and passes on what the other
aggregators send. An instance therefore exchanges messages with a number of others that
grows with the square root of the region. In a small region all instances are
aggregators.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Sequence

from .members import Member, MemberState

__all__ = [
    "AggregatorSelection",
    "Group",
    "aggregators_of",
    "is_aggregator",
    "preferred_aggregators",
]

MAX_FULL_MESH = 16
"""Instances of a region up to which all of them are aggregators."""
MIN_AGGREGATORS_PER_DOMAIN = 2
SILENT_AGGREGATOR_PAUSE_S = 3.0
GROUP_MEMBERSHIP_S = 2.0


def aggregators_of(ranked: Sequence[Member]) -> list[Member]:
    """Return the aggregators of a region, which are the first of each failure domain.

    Each failure domain has as many, so that groups are of about the same size where
    failure domains are.

    Parameters
    ----------
    ranked : sequence of Member
        Instances of the region by rank.
    """
    staying = [item for item in ranked if item.state != MemberState.LEAVING]
    if len(staying) <= MAX_FULL_MESH:
        return staying
    domains = len({item.failure_domain for item in staying})
    per_domain = math.ceil(math.sqrt(len(staying)) / domains)
    per_domain = max(MIN_AGGREGATORS_PER_DOMAIN, per_domain)
    counts: Counter[str] = Counter()
    aggregators = []
    for member in staying:
        if counts[member.failure_domain] < per_domain:
            counts[member.failure_domain] += 1
            aggregators.append(member)
    return aggregators


def is_aggregator(ranked: Sequence[Member], own: Member) -> bool:
    """Return whether this instance is an aggregator of its region."""
    return any(member.name == own.name for member in aggregators_of(ranked))


def preferred_aggregators(ranked: Sequence[Member], own: Member) -> list[Member]:
    """Return the aggregators that this instance may use, the preferred one first.

    Those that serve come before those that start, and those of the same failure
    domain before the others. The instances of a failure domain take its aggregators
    in turn. Rendezvous hashing spreads them over the rest, so that the group of an
    aggregator that stops is divided among the others.

    Parameters
    ----------
    ranked : sequence of Member
        Instances of the region by rank.
    own : Member
        This instance.
    """
    others = [item for item in aggregators_of(ranked) if item.name != own.name]
    assigned = _assigned_name(ranked, own, others)
    return sorted(
        others,
        key=lambda item: (
            item.state == MemberState.STARTING,
            item.failure_domain != own.failure_domain,
            item.name != assigned,
            _rendezvous_weight(item.name, own.name),
        ),
    )


def _assigned_name(ranked, own, aggregators) -> str:
    """Return the aggregator of the failure domain whose turn this instance is."""
    near = [item for item in aggregators if item.failure_domain == own.failure_domain]
    if not near:
        return ""
    names = [item.name for item in ranked if item.failure_domain == own.failure_domain]
    return near[names.index(own.name) % len(near)].name


class AggregatorSelection:
    """The aggregator that an instance uses, kept until it leaves or is silent."""

    def __init__(self) -> None:
        self._current = ""
        self._paused_until_s: dict[str, float] = {}

    @property
    def current(self) -> str:
        """Name of the aggregator in use; empty before the first choice."""
        return self._current

    def choose(self, preferred: Sequence[Member], now_s: float) -> Member | None:
        """Return the aggregator to use.

        Parameters
        ----------
        preferred : sequence of Member
            Result of :func:`preferred_aggregators`.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Member or None
            None if there is no aggregator.
        """
        self._paused_until_s = {
            name: until_s
            for name, until_s in self._paused_until_s.items()
            if now_s < until_s
        }
        responsive = [item for item in preferred if not self._is_paused(item)]
        candidates = responsive or preferred
        if not candidates:
            self._current = ""
            return None
        kept = [item for item in candidates if item.name == self._current]
        chosen = kept[0] if kept else candidates[0]
        self._current = chosen.name
        return chosen

    def use(self, name: str) -> None:
        """Use an aggregator that has answered instead of the present one."""
        self._current = name
        self._paused_until_s.pop(name, None)

    def record_timeout(self, name: str, now_s: float) -> None:
        """Record that an aggregator did not answer, and avoid it for some time."""
        self._paused_until_s[name] = now_s + SILENT_AGGREGATOR_PAUSE_S

    def _is_paused(self, member):
        return member.name in self._paused_until_s


class Group:
    """Instances that use this instance as their aggregator.

    An instance belongs to the group for ``GROUP_MEMBERSHIP_S`` after each report, so
    that it is the instance that decides, whatever the aggregator knows of its region.
    """

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}
        self._expires_at_s: dict[str, float] = {}

    def record(self, name: str, address: str, now_s: float) -> None:
        """Record a report of an instance and the address that it came from."""
        self._addresses[name] = address
        self._expires_at_s[name] = now_s + GROUP_MEMBERSHIP_S

    def addresses(self, now_s: float) -> dict[str, str]:
        """Return the addresses of the instances of the group, by name."""
        for name, expires_at_s in list(self._expires_at_s.items()):
            if now_s >= expires_at_s:
                del self._addresses[name]
                del self._expires_at_s[name]
        return self._addresses


def _rendezvous_weight(aggregator: str, instance: str) -> bytes:
    identity = f"{aggregator}/{instance}".encode()
    return hashlib.blake2b(identity, digest_size=8).digest()
