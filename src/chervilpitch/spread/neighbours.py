"""Which instances an instance advertises to, and which ones read the platform."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.membership.placement import rank, weight
from chervilpitch.model import Instance

__all__ = ["Neighbours", "find_neighbours", "rotated", "stagger_s"]

SMALL_FLEET = 64
READERS_PER_FAILURE_DOMAIN = 3
BRIDGES_PER_FAILURE_DOMAIN = 3
BRIDGE_PEERS = 2
START_PEERS_PER_FAILURE_DOMAIN = 2
MAX_START_PEERS = 8
WEIGHTS = 2**64


class Neighbours(NamedTuple):
    """The place of an instance among the others.

    Parameters
    ----------
    push : tuple of str
        Instances that hear of every change at once and of every round.
    start : tuple of str
        Instances asked at the start.
    ring : tuple of str
        All other instances in a stable order.
    domain : tuple of str
        The others of the failure domain in a stable order.
    is_reader : bool
        Whether the instance watches the platform.
    """

    push: tuple[str, ...] = ()
    start: tuple[str, ...] = ()
    ring: tuple[str, ...] = ()
    domain: tuple[str, ...] = ()
    is_reader: bool = True


def find_neighbours(own: Instance, instances: Mapping[str, Instance]) -> Neighbours:
    """Work out the neighbours of an instance.

    Parameters
    ----------
    own : Instance
        The instance itself.
    instances : mapping of str to Instance
        The instances known, by name.

    Returns
    -------
    Neighbours
        Its neighbours.

    Notes
    -----
    Inside a failure domain the instances form a ring and each one pushes to the
    followers at the distances 1, 2, 4 and so on, so that news from any instance
    reach ``n`` of them in about ``log2(n)`` hops over many disjoint paths. The
    first few instances by rank also push to a few in every other failure domain.

    References
    ----------
    I. Stoica et al., "Chord: a scalable peer-to-peer lookup service for internet
    applications", SIGCOMM 2001; S. El-Ansary et al., "Efficient broadcast in
    structured P2P networks", IPTPS 2003.
    """
    domains: dict[str, set[str]] = {own.failure_domain: {own.name}}
    for instance in instances.values():
        domains.setdefault(instance.failure_domain, set()).add(instance.name)
    members = sorted(domains[own.failure_domain])
    position = members.index(own.name)
    followers = tuple(members[position + 1 :] + members[:position])
    ranked = {name: rank(f"relay/{name}", names) for name, names in domains.items()}
    places = ranked[own.failure_domain].index(own.name)
    push = list(_fingers(followers))
    if places < BRIDGES_PER_FAILURE_DOMAIN:
        push.extend(_bridges(own, ranked))
    total = sum(map(len, domains.values()))
    return Neighbours(
        tuple(push),
        _start_peers(own, domains),
        tuple(sorted(name for name in instances if name != own.name)),
        followers,
        total <= SMALL_FLEET or places < READERS_PER_FAILURE_DOMAIN,
    )


def _fingers(followers: tuple[str, ...]) -> tuple[str, ...]:
    """Return the followers at the distances 1, 2, 4 and so on."""
    distances = (2**k for k in range(len(followers).bit_length()))
    return tuple(followers[d - 1] for d in distances if d <= len(followers))


def _bridges(own: Instance, ranked: Mapping[str, tuple[str, ...]]) -> list[str]:
    """Return a few instances of every other failure domain."""
    return [
        name
        for domain, names in sorted(ranked.items())
        if domain != own.failure_domain
        for name in names[:BRIDGE_PEERS]
    ]


def _start_peers(own: Instance, domains: Mapping[str, set[str]]) -> tuple[str, ...]:
    """Return instances of several failure domains, others for each instance."""
    chosen = []
    for names in domains.values():
        order = rank(f"start/{own.name}", names - {own.name})
        chosen.extend(order[:START_PEERS_PER_FAILURE_DOMAIN])
    return rank(f"start/{own.name}", chosen)[:MAX_START_PEERS]


def rotated(names: tuple[str, ...], position: int) -> tuple[str, ...]:
    """Return the one name whose turn it is, or nothing.

    Parameters
    ----------
    names : tuple of str
        Names in a stable order.
    position : int
        Number of the turn.

    Returns
    -------
    tuple of str
        One name, or none of none.

    Examples
    --------
    >>> rotated(("a", "b"), 3)
    ('b',)
    """
    return (names[position % len(names)],) if names else ()


def stagger_s(name: str, occasion: str, span_s: float) -> float:
    """Return a delay that spreads instances evenly over a span.

    Parameters
    ----------
    name : str
        Name of the instance.
    occasion : str
        What is delayed; each occasion gives another delay.
    span_s : float
        Longest delay in seconds.

    Returns
    -------
    float
        Delay in seconds, the same on every call.

    Examples
    --------
    >>> 0 <= stagger_s("a", "notes/7", 5.0) < 5
    True
    """
    return weight(occasion, name) / WEIGHTS * span_s
