"""What peers have said: announcements per incarnation, reports of silence."""

import math
from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

from .messages import Announcement, Unheard

__all__ = ["Evidence", "EvidenceTable", "SilenceReports", "is_heard"]

SUSPECT_AFTER_S = 3.5
INCARNATIONS_PER_NAME = 4
NAMES_KNOWN = 8_192
RELAYS = 2
REPORT_LIFETIME_S = 60.0
REPORTS_PER_SUBJECT = 4
MS_PER_S = 1_000


class Evidence(NamedTuple):
    """What is known of one incarnation of an instance.

    Parameters
    ----------
    announcement : Announcement
        What it says of itself.
    known_at_s : float
        Monotonic time in seconds at which it was first known.
    news_at_s : float
        Monotonic time of the last news of it, at first hand or relayed.
    sequence : int
        Number of its last heartbeat received here; -1 for none.
    heard_at_s : float
        Monotonic time of that heartbeat; minus infinity for none.
    hears_us_at_s : float
        Monotonic time of its last heartbeat that showed that it hears this
        instance; minus infinity for none.
    """

    announcement: Announcement
    known_at_s: float
    news_at_s: float
    sequence: int = -1
    heard_at_s: float = -math.inf
    hears_us_at_s: float = -math.inf


def is_heard(evidence: Evidence, now_s: float) -> bool:
    """Return whether an incarnation's heartbeats have arrived lately.

    Parameters
    ----------
    evidence : Evidence
        Evidence of one incarnation.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True within 3.5 s of the last heartbeat.
    """
    return now_s - evidence.heard_at_s <= SUSPECT_AFTER_S


class EvidenceTable:
    """Evidence by name and incarnation, and the news still to be relayed.

    Incarnations are random numbers without order, so each keeps evidence of its
    own: a late message of an old process changes nothing for its replacement.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, dict[int, Evidence]] = {}
        self._news: dict[tuple[str, int], tuple[Announcement, int]] = {}
        self._catch_up: dict[str, list[Announcement]] = {}
        self._heard_at_s: dict[str, float] = {}
        self._confirmed_at_s = -math.inf

    @property
    def by_name(self) -> Mapping[str, Mapping[int, Evidence]]:
        """Evidence of each incarnation by name."""
        return self._by_name

    @property
    def confirmed_at_s(self) -> float:
        """Monotonic time of the last two-way heartbeat; minus infinity for none."""
        return self._confirmed_at_s

    def learn(self, announcement: Announcement, relay: bool, now_s: float) -> bool:
        """Take in an announcement and return whether it is news.

        Parameters
        ----------
        announcement : Announcement
            What an incarnation says of itself, at first hand or relayed.
        relay : bool
            Whether others need to hear of it.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True when the incarnation is new or has announced itself anew.
        """
        name, incarnation = announcement.name, announcement.incarnation
        known = self._by_name.get(name, {}).get(incarnation)
        if known is None:
            if name not in self._by_name and len(self._by_name) >= NAMES_KNOWN:
                return False
            evidence = Evidence(announcement, now_s, now_s)
        elif announcement.serial > known.announcement.serial:
            leaving = announcement.leaving or known.announcement.leaving
            latest = announcement._replace(leaving=leaving)
            evidence = known._replace(announcement=latest, news_at_s=now_s)
        else:
            return False
        self._store(evidence)
        if relay:
            self._news[name, incarnation] = (evidence.announcement, RELAYS)
        return True

    def hear(
        self, name: str, incarnation: int, sequence: int, hears_us: bool, now_s: float
    ) -> bool:
        """Note a heartbeat and return whether it is newer than those before."""
        known = self._by_name.get(name, {}).get(incarnation)
        if known is None or sequence <= known.sequence:
            return False
        hears_us_at_s = now_s if hears_us else known.hears_us_at_s
        heard = known._replace(
            sequence=sequence,
            news_at_s=now_s,
            heard_at_s=now_s,
            hears_us_at_s=hears_us_at_s,
        )
        self._store(heard)
        self._heard_at_s[name] = now_s
        if hears_us:
            self._confirmed_at_s = now_s
        return True

    def heard_names(self, now_s: float) -> frozenset[str]:
        """Return the names whose heartbeats have arrived lately."""
        self._heard_at_s = {
            name: at_s
            for name, at_s in self._heard_at_s.items()
            if now_s - at_s <= SUSPECT_AFTER_S
        }
        return frozenset(self._heard_at_s)

    def take_news(self, limit: int) -> tuple[Announcement, ...]:
        """Return the news to relay in the next heartbeats; each goes out twice."""
        taken = list(self._news.items())[:limit]
        for key, (announcement, relays) in taken:
            del self._news[key]
            if relays > 1:
                self._news[key] = (announcement, relays - 1)
        return tuple(announcement for _, (announcement, _) in taken)

    def begin_catch_up(self, name: str, listed: Collection[str]) -> None:
        """Keep for a new neighbour what it can know neither from news nor a list."""
        self._catch_up[name] = [
            evidence.announcement
            for other, incarnations in self._by_name.items()
            for evidence in incarnations.values()
            if other != name and (evidence.announcement.leaving or other not in listed)
        ]

    def take_catch_up(self, name: str, limit: int) -> tuple[Announcement, ...]:
        """Return what the next heartbeat to a new neighbour makes up for."""
        left = self._catch_up.pop(name, [])
        if len(left) > limit:
            self._catch_up[name] = left[limit:]
        return tuple(left[:limit])

    def forget_before(self, news_before_s: float) -> None:
        """Drop incarnations without news since a monotonic time in seconds."""
        for name in list(self._by_name):
            kept = {
                incarnation: evidence
                for incarnation, evidence in self._by_name[name].items()
                if evidence.news_at_s >= news_before_s
            }
            if kept:
                self._by_name[name] = kept
            else:
                del self._by_name[name]

    def _store(self, evidence: Evidence) -> None:
        announcement = evidence.announcement
        known = self._by_name.setdefault(announcement.name, {})
        known[announcement.incarnation] = evidence
        if len(known) > INCARNATIONS_PER_NAME:
            oldest = min(known, key=lambda incarnation: known[incarnation].news_at_s)
            del known[oldest]


class _Report(NamedTuple):
    """A report of silence kept for a while."""

    serial: int
    created_at_s: float
    relays: int


class SilenceReports:
    """Reports of silent instances, kept for 60 s and relayed a few times."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[tuple[str, int], _Report]] = {}
        self._news: dict[tuple[str, str, int], None] = {}

    def learn(self, report: Unheard, now_s: float) -> None:
        """Take in a report unless it is old or enough others say the same."""
        created_at_s = now_s - max(0, report.age_ms) / MS_PER_S
        if created_at_s + REPORT_LIFETIME_S <= now_s:
            return
        observer = (report.observer, report.observer_incarnation)
        known = self._reports.setdefault(report.name, {})
        if observer not in known and len(known) >= REPORTS_PER_SUBJECT:
            return
        if observer in known and known[observer].serial >= report.serial:
            return
        known[observer] = _Report(report.serial, created_at_s, RELAYS)
        self._news[report.name, *observer] = None

    @property
    def subjects(self) -> frozenset[str]:
        """Names of the instances with reports."""
        return frozenset(self._reports)

    def observers(self, name: str, now_s: float) -> int:
        """Return how many instances have reported the silence of one lately."""
        created_after_s = now_s - REPORT_LIFETIME_S
        reports = self._reports.get(name, {})
        fresh = {
            observer
            for (observer, _), report in reports.items()
            if report.created_at_s > created_after_s
        }
        return len(fresh)

    def created_at_s(self, name: str, observer: str, incarnation: int) -> float:
        """Return when an observer made its report; minus infinity for never."""
        report = self._reports.get(name, {}).get((observer, incarnation))
        return report.created_at_s if report else -math.inf

    def clear(self, name: str) -> None:
        """Drop the reports of an instance that has begun anew."""
        self._reports.pop(name, None)

    def take_news(self, limit: int, now_s: float) -> tuple[Unheard, ...]:
        """Return the reports to relay in the next heartbeats."""
        return tuple(self._take(limit, now_s))

    def _take(self, limit: int, now_s: float) -> Iterator[Unheard]:
        for key in list(self._news)[:limit]:
            del self._news[key]
            name, *observer = key
            report = self._reports.get(name, {}).get(tuple(observer))
            if report is None:
                continue
            age_ms = round((now_s - report.created_at_s) * MS_PER_S)
            yield Unheard(name, *observer, report.serial, age_ms)
            if report.relays > 1:
                left = report._replace(relays=report.relays - 1)
                self._reports[name][tuple(observer)] = left
                self._news[key] = None

    def forget_expired(self, now_s: float) -> None:
        """Drop the reports whose lifetime is over."""
        for name in list(self._reports):
            kept = {
                observer: report
                for observer, report in self._reports[name].items()
                if report.created_at_s + REPORT_LIFETIME_S > now_s
            }
            if kept:
                self._reports[name] = kept
            else:
                del self._reports[name]
