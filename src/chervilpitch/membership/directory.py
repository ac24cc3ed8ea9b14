"""Instances that answers may name, by seat and by failure domain."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .standing import Condition, Standing

__all__ = ["Directory", "DirectoryCache", "directory_of"]


class Directory(NamedTuple):
    """Usable instances, which are those neither leaving nor gone.

    Parameters
    ----------
    by_seat : mapping of int to sequence of Standing
        Instances on each seat.
    by_domain : mapping of str to sequence of Standing
        Instances of each failure domain.
    """

    by_seat: Mapping[int, Sequence[Standing]]
    by_domain: Mapping[str, Sequence[Standing]]


def directory_of(standings: Mapping[str, Standing]) -> Directory:
    """Return the directory of some standings.

    Parameters
    ----------
    standings : mapping of str to Standing
        Standings by name.

    Returns
    -------
    Directory
        The usable ones.
    """
    by_seat: dict[int, list[Standing]] = {}
    by_domain: dict[str, list[Standing]] = {}
    for standing in standings.values():
        if standing.condition in (Condition.LIVE, Condition.SUSPECT):
            instance = standing.instance
            by_seat.setdefault(instance.seat, []).append(standing)
            by_domain.setdefault(instance.failure_domain, []).append(standing)
    return Directory(by_seat, by_domain)


class DirectoryCache:
    """The directory of the standings asked for last."""

    def __init__(self) -> None:
        self._standings: Mapping[str, Standing] | None = None
        self._directory = Directory({}, {})

    def of(self, standings: Mapping[str, Standing]) -> Directory:
        """Return the directory of some standings.

        Parameters
        ----------
        standings : mapping of str to Standing
            Standings by name; changed ones must be a new object.

        Returns
        -------
        Directory
            The usable ones.
        """
        if standings is not self._standings:
            self._directory = directory_of(standings)
            self._standings = standings
        return self._directory
