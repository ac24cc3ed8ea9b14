"""Neighbours: the bounded, symmetric set of instances that exchange heartbeats."""

from collections.abc import Collection, Mapping, Sequence

from chervilpitch.model import Instance, region_of

from .placement import weight

__all__ = ["neighbours"]

DOMAIN_REACH = 3
REGION_REACH = 2
FLEET_REACH = 4


def neighbours(name: str, instances: Mapping[str, Instance]) -> frozenset[str]:
    """Return the instances that exchange heartbeats with one instance.

    The instances of a failure domain, of a region and of the fleet each form a
    ring in hash order. An instance exchanges heartbeats with the nearest few in
    both directions of its three rings. So the relation is symmetric: the sender
    and the receiver both know which heartbeats to expect.

    Parameters
    ----------
    name : str
        Name of the instance.
    instances : mapping of str to Instance
        Instances by name, including the instance itself.

    Returns
    -------
    frozenset of str
        At most 18 names.

    Examples
    --------
    >>> fleet = {n: Instance(n, 0, "punjab/a", n, n) for n in "abc"}
    >>> sorted(neighbours("a", fleet))
    ['b', 'c']
    """
    domain = instances[name].failure_domain
    region = region_of(domain)
    in_domain = [n for n, i in instances.items() if i.failure_domain == domain]
    in_region = [
        n for n, i in instances.items() if region_of(i.failure_domain) == region
    ]
    near = _ring_neighbours(f"domain {domain}", name, in_domain, DOMAIN_REACH)
    near |= _ring_neighbours(f"region {region}", name, in_region, REGION_REACH)
    near |= _ring_neighbours("fleet", name, instances, FLEET_REACH)
    return frozenset(near - {name})


def _ring_neighbours(
    ring_name: str, name: str, members: Collection[str], reach: int
) -> set[str]:
    ring = sorted(members, key=lambda member: (weight(ring_name, member), member))
    return set(_ring_window(ring, ring.index(name), reach))


def _ring_window(ring: Sequence[str], position: int, reach: int) -> Sequence[str]:
    if len(ring) <= 2 * reach + 1:
        return ring
    return [ring[(position + step) % len(ring)] for step in range(-reach, reach + 1)]
