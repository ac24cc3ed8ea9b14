"""Standings of all instances, judged anew only where something bears on them."""

import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from .evidence import EvidenceTable, SilenceReports
from .following import FollowedList
from .standing import Condition, Judgement, Standing, judge

__all__ = ["Sources", "Survey"]

OBSERVERS_NEEDED = 2
VALID_FOR_S = 1.0


class Sources(NamedTuple):
    """What standings are judged from.

    Parameters
    ----------
    own : Standing
        This instance.
    followed : FollowedList
        The published list.
    evidence : EvidenceTable
        Peers' evidence.
    silence : SilenceReports
        Reports of silent instances.
    expected_since_s : mapping of str to float
        Since when each neighbour should send heartbeats, in seconds.
    """

    own: Standing
    followed: FollowedList
    evidence: EvidenceTable
    silence: SilenceReports
    expected_since_s: Mapping[str, float]


class Survey:
    """Standings kept for a second.

    Names that only announcements bear on are settled: their standing changes with
    the list or with news, and not with time. So the work of one survey grows with
    the neighbours and the recent changes, and hardly with the fleet.
    """

    def __init__(self) -> None:
        self._standings: Mapping[str, Standing] = {}
        self._settled: dict[str, Standing] = {}
        self._gone: set[str] = set()
        self._valid_until_s = -math.inf

    def invalidate(self) -> None:
        """Judge anew at the next question."""
        self._valid_until_s = -math.inf

    def revive(self, names: Collection[str]) -> None:
        """Judge some instances anew after a sign of life or a change of the list."""
        for name in names:
            self._gone.discard(name)
            self._settled.pop(name, None)
        self.invalidate()

    def standings(self, sources: Sources, now_s: float) -> Mapping[str, Standing]:
        """Return what is believed of every instance known.

        Parameters
        ----------
        sources : Sources
            What to judge from.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        mapping of str to Standing
            Standings by name; a new object whenever they were judged anew.
        """
        if now_s >= self._valid_until_s:
            self._standings = self._judge_all(sources, now_s)
            self._valid_until_s = now_s + VALID_FOR_S
        return self._standings

    def _judge_all(self, sources: Sources, now_s: float) -> Mapping[str, Standing]:
        known = sources.evidence.by_name.keys()
        fresh = dict(sources.followed.as_listed)
        lively = self._lively(sources, now_s)
        for name in self._settled.keys() - known:
            del self._settled[name]
        for name in known - self._settled.keys() - lively:
            self._settled[name] = judge(_judgement(sources, name, False, now_s), now_s)
        fresh.update(self._settled)
        for name in lively:
            was_gone = name in self._gone
            fresh[name] = judge(_judgement(sources, name, was_gone, now_s), now_s)
            if fresh[name].condition is Condition.GONE:
                self._gone.add(name)
        fresh[sources.own.instance.name] = sources.own
        return fresh

    def _lively(self, sources: Sources, now_s: float) -> set[str]:
        """Return the names whose standing may change with time."""
        own_name = sources.own.instance.name
        known = sources.evidence.by_name.keys()
        listed = sources.followed.instances.keys()
        names = sources.expected_since_s.keys() | sources.silence.subjects
        names |= sources.evidence.heard_names(now_s) | self._gone
        return {n for n in names if n != own_name and (n in known or n in listed)}


def _judgement(sources: Sources, name: str, was_gone: bool, now_s: float) -> Judgement:
    return Judgement(
        listed=sources.followed.instances.get(name),
        leaving_listed_at_s=sources.followed.leaving_at_s(name),
        delisted_at_s=sources.followed.delisted_at_s(name),
        incarnations=tuple(sources.evidence.by_name.get(name, {}).values()),
        expected_since_s=sources.expected_since_s.get(name),
        is_reported_silent=sources.silence.observers(name, now_s) >= OBSERVERS_NEEDED,
        was_gone=was_gone,
    )
