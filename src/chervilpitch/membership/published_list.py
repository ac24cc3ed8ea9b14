"""The published list in use, and the times of its changes for each instance."""

import math
from collections.abc import Mapping

import xxhash

from chervilpitch.model import Instance, InstanceState

from .status import Condition, InstanceStatus

__all__ = ["PublishedList"]


class PublishedList:
    """The published list, the statuses based on it alone, and times of changes."""

    def __init__(self) -> None:
        self._instances: Mapping[str, Instance] = {}
        self._listed_statuses: Mapping[str, InstanceStatus] = {}
        self._digest = 0
        self._read_at_s = -math.inf
        self._leaving_at_s: dict[str, float] = {}
        self._delisted_at_s: dict[str, float] = {}

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Instances by name."""
        return self._instances

    @property
    def listed_statuses(self) -> Mapping[str, InstanceStatus]:
        """Instance statuses by name, based on the list alone."""
        return self._listed_statuses

    @property
    def digest(self) -> int:
        """Digest of the list; 0 for none."""
        return self._digest

    @property
    def read_at_s(self) -> float:
        """Monotonic time in seconds of the last update; minus infinity for none."""
        return self._read_at_s

    def leaving_at_s(self, name: str) -> float:
        """Return when the list first showed an instance leaving; infinity if never."""
        return self._leaving_at_s.get(name, math.inf)

    def delisted_at_s(self, name: str) -> float:
        """Return when an instance left the list; minus infinity if never."""
        return self._delisted_at_s.get(name, -math.inf)

    def update(self, instances: Mapping[str, Instance], now_s: float) -> frozenset[str]:
        """Replace the list and return the names of the changed entries.

        Parameters
        ----------
        instances : mapping of str to Instance
            Instances by name.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        frozenset of str
            Names that were added, removed or changed.
        """
        self._read_at_s = now_s
        before = self._instances
        if instances == before:
            return frozenset()
        gone = before.keys() - instances.keys()
        changed = {
            name for name, instance in instances.items() if instance != before.get(name)
        }
        for name in gone:
            self._delisted_at_s[name] = now_s
            self._leaving_at_s.pop(name, None)
        for name in changed:
            self._delisted_at_s.pop(name, None)
            self._record_state(instances[name], now_s)
        self._instances = dict(instances)
        self._listed_statuses = {
            name: _listed_status(instance) for name, instance in instances.items()
        }
        text = repr(sorted(instances.values()))
        self._digest = xxhash.xxh3_64_intdigest(text.encode())
        return frozenset(gone | changed)

    def remove_before(self, delisted_before_s: float) -> None:
        """Discard the delisting times before a monotonic time in seconds."""
        self._delisted_at_s = {
            name: at_s
            for name, at_s in self._delisted_at_s.items()
            if at_s >= delisted_before_s
        }

    def _record_state(self, instance: Instance, now_s: float) -> None:
        if instance.state is InstanceState.LEAVING:
            self._leaving_at_s.setdefault(instance.name, now_s)
        else:
            self._leaving_at_s.pop(instance.name, None)


def _listed_status(instance: Instance) -> InstanceStatus:
    if instance.state is InstanceState.LEAVING:
        return InstanceStatus(instance, Condition.LEAVING, two_way=False)
    return InstanceStatus(instance, Condition.LIVE)
