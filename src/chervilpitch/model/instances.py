"""Instances of the fleet as the platform publishes them."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["Instance", "InstanceState", "Sender", "region_of"]


class InstanceState(StrEnum):
    """State of an instance on the published list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(NamedTuple):
    """One process of the fleet.

    Parameters
    ----------
    name : str
        Unique name of the instance.
    seat : int
        Number of the place in the fleet that the instance takes; a replacement
        takes the seat of the instance it replaces.
    failure_domain : str
        Failure domain, written ``"region/domain"``.
    callers_address : str
        Host and port for callers.
    peers_address : str
        Host and port for the other instances.
    state : InstanceState
        Whether it is live or leaving.
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
        Random 64-bit number drawn when its process started.
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
