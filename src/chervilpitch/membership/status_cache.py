"""Cache of the statuses of all instances, updated only where inputs changed."""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from .evidence import EvidenceTable, SilenceReports
from .published_list import PublishedList
from .status import Condition, InstanceStatus, StatusInputs, derive_status

__all__ = ["StatusCache", "StatusSources"]

MIN_OBSERVERS = 2
STATUS_LIFETIME_S = 1.0


class StatusSources(NamedTuple):
    """Sources from which statuses are derived.

    Parameters
    ----------
    own : InstanceStatus
        Status of this instance.
    published_list : PublishedList
        The published list.
    evidence : EvidenceTable
        Evidence from peers.
    silence_reports : SilenceReports
        Reports of silent instances.
    expected_since_s : mapping of str to float
        Monotonic time in seconds since when each neighbour should send heartbeats.
    """

    own: InstanceStatus
    published_list: PublishedList
    evidence: EvidenceTable
    silence_reports: SilenceReports
    expected_since_s: Mapping[str, float]


class StatusCache:
    """Cache of instance statuses, valid for ``STATUS_LIFETIME_S``.

    The status of an instance that is known only from announcements changes with
    the list or with news, but not with time, so it is kept until then. The cost of
    an update therefore grows with the neighbours and the recent changes, and
    hardly with the size of the fleet.
    """

    def __init__(self) -> None:
        self._statuses: Mapping[str, InstanceStatus] = {}
        self._time_independent: dict[str, InstanceStatus] = {}
        self._gone: set[str] = set()
        self._valid_until_s = -math.inf

    def invalidate(self) -> None:
        """Derive the statuses again on the next access."""
        self._valid_until_s = -math.inf

    def invalidate_names(self, names: Collection[str]) -> None:
        """Invalidate the statuses of instances after news or a change of the list."""
        for name in names:
            self._gone.discard(name)
            self._time_independent.pop(name, None)
        self.invalidate()

    def statuses(
        self, sources: StatusSources, now_s: float
    ) -> Mapping[str, InstanceStatus]:
        """Return the statuses of all known instances.

        Parameters
        ----------
        sources : StatusSources
            Sources from which the statuses are derived.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        mapping of str to InstanceStatus
            Instance statuses by name; a new object after every update.
        """
        if now_s >= self._valid_until_s:
            self._statuses = self._derive_all(sources, now_s)
            self._valid_until_s = now_s + STATUS_LIFETIME_S
        return self._statuses

    def _derive_all(
        self, sources: StatusSources, now_s: float
    ) -> Mapping[str, InstanceStatus]:
        known = sources.evidence.by_name.keys()
        statuses = dict(sources.published_list.listed_statuses)
        time_dependent = self._time_dependent_names(sources, now_s)
        for name in self._time_independent.keys() - known:
            del self._time_independent[name]
        for name in known - self._time_independent.keys() - time_dependent:
            self._time_independent[name] = derive_status(
                _status_inputs(sources, name, False, now_s), now_s
            )
        statuses.update(self._time_independent)
        for name in time_dependent:
            was_gone = name in self._gone
            statuses[name] = derive_status(
                _status_inputs(sources, name, was_gone, now_s), now_s
            )
            if statuses[name].condition is Condition.GONE:
                self._gone.add(name)
        statuses[sources.own.instance.name] = sources.own
        return statuses

    def _time_dependent_names(self, sources: StatusSources, now_s: float) -> set[str]:
        """Return the names whose status may change with time."""
        own_name = sources.own.instance.name
        known = sources.evidence.by_name.keys()
        listed = sources.published_list.instances.keys()
        names = sources.expected_since_s.keys() | sources.silence_reports.subjects
        names |= sources.evidence.heard_names(now_s) | self._gone
        return {n for n in names if n != own_name and (n in known or n in listed)}


def _status_inputs(
    sources: StatusSources, name: str, was_gone: bool, now_s: float
) -> StatusInputs:
    return StatusInputs(
        listed=sources.published_list.instances.get(name),
        leaving_listed_at_s=sources.published_list.leaving_at_s(name),
        delisted_at_s=sources.published_list.delisted_at_s(name),
        incarnations=tuple(sources.evidence.by_name.get(name, {}).values()),
        expected_since_s=sources.expected_since_s.get(name),
        is_reported_silent=sources.silence_reports.observer_count(name, now_s)
        >= MIN_OBSERVERS,
        was_gone=was_gone,
    )
