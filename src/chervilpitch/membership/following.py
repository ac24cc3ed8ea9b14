"""The published list in use, and when it last changed for each instance."""

import math
from collections.abc import Mapping

import xxhash

from chervilpitch.model import Instance, InstanceState

from .standing import Condition, Standing

__all__ = ["FollowedList"]


class FollowedList:
    """The published list, the standings it alone gives, and times of its changes."""

    def __init__(self) -> None:
        self._instances: Mapping[str, Instance] = {}
        self._as_listed: Mapping[str, Standing] = {}
        self._digest = 0
        self._read_at_s = -math.inf
        self._leaving_at_s: dict[str, float] = {}
        self._delisted_at_s: dict[str, float] = {}

    @property
    def instances(self) -> Mapping[str, Instance]:
        """Instances by name."""
        return self._instances

    @property
    def as_listed(self) -> Mapping[str, Standing]:
        """Standings as the list alone gives them."""
        return self._as_listed

    @property
    def digest(self) -> int:
        """Digest of the list; 0 for none."""
        return self._digest

    @property
    def read_at_s(self) -> float:
        """Monotonic time in seconds of the last reading; minus infinity for none."""
        return self._read_at_s

    def leaving_at_s(self, name: str) -> float:
        """Return when the list first showed it leaving; infinity for never."""
        return self._leaving_at_s.get(name, math.inf)

    def delisted_at_s(self, name: str) -> float:
        """Return when the list dropped an instance; minus infinity for never."""
        return self._delisted_at_s.get(name, -math.inf)

    def follow(self, instances: Mapping[str, Instance], now_s: float) -> frozenset[str]:
        """Take in a list and return the names of the changed entries.

        Parameters
        ----------
        instances : mapping of str to Instance
            Instances by name.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        frozenset of str
            Names that came, went or changed.
        """
        self._read_at_s = now_s
        before = self._instances
        if instances == before:
            return frozenset()
        gone = before.keys() - instances.keys()
        changed = {name for name, one in instances.items() if one != before.get(name)}
        for name in gone:
            self._delisted_at_s[name] = now_s
            self._leaving_at_s.pop(name, None)
        for name in changed:
            self._delisted_at_s.pop(name, None)
            self._note_state(instances[name], now_s)
        self._instances = dict(instances)
        self._as_listed = {name: _standing(one) for name, one in instances.items()}
        text = repr(sorted(instances.values()))
        self._digest = xxhash.xxh3_64_intdigest(text.encode())
        return frozenset(gone | changed)

    def forget_before(self, delisted_before_s: float) -> None:
        """Forget the instances that the list dropped before a monotonic time."""
        self._delisted_at_s = {
            name: at_s
            for name, at_s in self._delisted_at_s.items()
            if at_s >= delisted_before_s
        }

    def _note_state(self, instance: Instance, now_s: float) -> None:
        if instance.state is InstanceState.LEAVING:
            self._leaving_at_s.setdefault(instance.name, now_s)
        else:
            self._leaving_at_s.pop(instance.name, None)


def _standing(instance: Instance) -> Standing:
    if instance.state is InstanceState.LEAVING:
        return Standing(instance, Condition.LEAVING, two_way=False)
    return Standing(instance, Condition.LIVE)
