"""Instances of the fleet, as published by the platform."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["Instance", "InstanceState", "Sender", "region_of"]


class InstanceState(StrEnum):
    """State of an instance on the list published by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(NamedTuple):
    """One process of the fleet.

    Parameters
    ----------
    name : str
        Unique name of the instance.
    seat : int
        Number of the seat that the instance occupies in the fleet. A replacement
        occupies the seat of the instance that it replaces.
    failure_domain : str
        Failure domain, written ``"region/domain"``.
    callers_address : str
        Host and port for callers.
    peers_address : str
        Host and port for the other instances.
    state : InstanceState
        State of the instance.
    """

    name: str
    seat: int
    failure_domain: str
    callers_address: str
    peers_address: str
    state: InstanceState = InstanceState.LIVE


class Sender(NamedTuple):
    """The authenticated origin of a message.

    Parameters
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Random 64-bit number generated at the start of its process.
    """

    name: str
    incarnation: int


def region_of(failure_domain: str) -> str:
    """Return the region of a failure domain.

    Parameters
    ----------
    failure_domain : str
        Failure domain, written ``"region/domain"``.

    Returns
    -------
    str
        The region's name.

    Examples
    --------
    >>> region_of("punjab/a")
    'punjab'
    """
    return failure_domain.partition("/")[0]
