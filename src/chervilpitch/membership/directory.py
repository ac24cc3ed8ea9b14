"""Instances whose addresses may be selected, by seat and by failure domain."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .status import Condition, InstanceStatus

__all__ = ["Directory", "DirectoryCache", "build_directory"]


class Directory(NamedTuple):
    """Usable instances, which are those that are neither leaving nor gone.

    Parameters
    ----------
    by_seat : mapping of int to sequence of InstanceStatus
        Instances on each seat.
    by_domain : mapping of str to sequence of InstanceStatus
        Instances of each failure domain.
    """

    by_seat: Mapping[int, Sequence[InstanceStatus]]
    by_domain: Mapping[str, Sequence[InstanceStatus]]


def build_directory(statuses: Mapping[str, InstanceStatus]) -> Directory:
    """Build the directory of the usable instances.

    Parameters
    ----------
    statuses : mapping of str to InstanceStatus
        Instance statuses by name.

    Returns
    -------
    Directory
        Instances that are neither leaving nor gone.
    """
    by_seat: dict[int, list[InstanceStatus]] = {}
    by_domain: dict[str, list[InstanceStatus]] = {}
    for status in statuses.values():
        if status.condition in (Condition.LIVE, Condition.SUSPECT):
            instance = status.instance
            by_seat.setdefault(instance.seat, []).append(status)
            by_domain.setdefault(instance.failure_domain, []).append(status)
    return Directory(by_seat, by_domain)


class DirectoryCache:
    """Cache of the directory that was built last."""

    def __init__(self) -> None:
        self._statuses: Mapping[str, InstanceStatus] | None = None
        self._directory = Directory({}, {})

    def get(self, statuses: Mapping[str, InstanceStatus]) -> Directory:
        """Return the directory of the usable instances.

        Parameters
        ----------
        statuses : mapping of str to InstanceStatus
            Instance statuses by name; a changed mapping must be a new object.

        Returns
        -------
        Directory
            Instances that are neither leaving nor gone.
        """
        if statuses is not self._statuses:
            self._directory = build_directory(statuses)
            self._statuses = statuses
        return self._directory
