"""Overlay of an instance: the peers it advertises to and the platform's readers."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilpitch.membership.placement import rank, weight
from chervilpitch.model import Instance

__all__ = ["Neighbours", "find_neighbours", "round_robin", "stagger_delay_s"]

SMALL_FLEET_INSTANCES = 64
READERS_PER_FAILURE_DOMAIN = 3
BRIDGES_PER_FAILURE_DOMAIN = 3
BRIDGE_PEERS_PER_FAILURE_DOMAIN = 2
START_PEERS_PER_FAILURE_DOMAIN = 2
MAX_START_PEERS = 8
WEIGHT_RANGE = 2**64


class Neighbours(NamedTuple):
    """Peers of an instance by their use, and whether the instance is a reader.

    Parameters
    ----------
    push : tuple of str
        Instances that get an advert at once on every change and in every round.
    start : tuple of str
        Instances queried at the start.
    ring : tuple of str
        All other instances ordered by name, queried in rotation.
    domain : tuple of str
        Other instances of the failure domain, from the next one by name on,
        queried in rotation.
    is_reader : bool
        Whether the instance always watches the platform.
    """

    push: tuple[str, ...] = ()
    start: tuple[str, ...] = ()
    ring: tuple[str, ...] = ()
    domain: tuple[str, ...] = ()
    is_reader: bool = True


def find_neighbours(own: Instance, instances: Mapping[str, Instance]) -> Neighbours:
    """Return the neighbours of an instance.

    Parameters
    ----------
    own : Instance
        The instance itself.
    instances : mapping of str to Instance
        Known instances by name.

    Returns
    -------
    Neighbours
        Peers by their use, and whether the instance is a reader.

    Notes
    -----
    The instances of a failure domain form a ring. Each one pushes to its
    successors at distances 1, 2, 4 and so on, so that an update from any instance
    reaches all ``n`` of its failure domain in about ``log2(n)`` hops over many
    disjoint paths. The few instances of highest rank are bridges: they also push
    to a few instances in every other failure domain.

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
    successors = tuple(members[position + 1 :] + members[:position])
    ranked = {name: rank(f"relay/{name}", names) for name, names in domains.items()}
    own_rank = ranked[own.failure_domain].index(own.name)
    push = list(_fingers(successors))
    if own_rank < BRIDGES_PER_FAILURE_DOMAIN:
        push.extend(_bridges(own, ranked))
    total = sum(map(len, domains.values()))
    return Neighbours(
        tuple(push),
        _start_peers(own, domains),
        tuple(sorted(name for name in instances if name != own.name)),
        successors,
        total <= SMALL_FLEET_INSTANCES or own_rank < READERS_PER_FAILURE_DOMAIN,
    )


def _fingers(successors: tuple[str, ...]) -> tuple[str, ...]:
    """Return the successors at distances 1, 2, 4 and so on."""
    distances = (2**k for k in range(len(successors).bit_length()))
    return tuple(successors[d - 1] for d in distances if d <= len(successors))


def _bridges(own: Instance, ranked: Mapping[str, tuple[str, ...]]) -> list[str]:
    """Return the first instances by rank of every other failure domain."""
    return [
        name
        for domain, names in sorted(ranked.items())
        if domain != own.failure_domain
        for name in names[:BRIDGE_PEERS_PER_FAILURE_DOMAIN]
    ]


def _start_peers(own: Instance, domains: Mapping[str, set[str]]) -> tuple[str, ...]:
    """Return peers from several failure domains; the choice differs by instance."""
    chosen = []
    for names in domains.values():
        order = rank(f"start/{own.name}", names - {own.name})
        chosen.extend(order[:START_PEERS_PER_FAILURE_DOMAIN])
    return rank(f"start/{own.name}", chosen)[:MAX_START_PEERS]


def round_robin(names: tuple[str, ...], position: int) -> tuple[str, ...]:
    """Return the name whose turn it is.

    Parameters
    ----------
    names : tuple of str
        Names in a stable order.
    position : int
        Number of the turn; it wraps around.

    Returns
    -------
    tuple of str
        One name; empty if `names` is empty.

    Examples
    --------
    >>> round_robin(("a", "b"), 3)
    ('b',)
    """
    return (names[position % len(names)],) if names else ()


def stagger_delay_s(name: str, occasion: str, span_s: float) -> float:
    """Return a deterministic jitter that spreads instances over a span.

    Parameters
    ----------
    name : str
        Name of the instance.
    occasion : str
        Name of the delayed action; the delay differs from one to another.
    span_s : float
        Longest delay in seconds.

    Returns
    -------
    float
        Delay in seconds from 0 to `span_s`, the same on every call.

    Examples
    --------
    >>> 0 <= stagger_delay_s("a", "notes/7", 5.0) < 5
    True
    """
    return weight(occasion, name) / WEIGHT_RANGE * span_s
