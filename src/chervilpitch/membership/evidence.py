"""Evidence from peers: announcements by incarnation, and reports of silence."""

import math
from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

from .messages import Announcement, Unheard

__all__ = ["Evidence", "EvidenceTable", "SilenceReports", "is_heard"]

SUSPECT_AFTER_S = 3.5
MAX_INCARNATIONS_PER_NAME = 4
MAX_NAMES = 8_192
RELAY_COUNT = 2
REPORT_LIFETIME_S = 60.0
MAX_REPORTS_PER_SUBJECT = 4
MS_PER_S = 1_000


class Evidence(NamedTuple):
    """Evidence about one incarnation of an instance; times are monotonic seconds.

    Parameters
    ----------
    announcement : Announcement
        Its latest announcement.
    known_at_s : float
        Time at which it was first known.
    news_at_s : float
        Time of the last heartbeat or new announcement, direct or relayed.
    sequence : int
        Sequence number of its last heartbeat; -1 for none.
    heard_at_s : float
        Time of that heartbeat; minus infinity for none.
    hears_us_at_s : float
        Time of its last heartbeat that confirmed that it receives heartbeats of
        this instance; minus infinity for none.
    """

    announcement: Announcement
    known_at_s: float
    news_at_s: float
    sequence: int = -1
    heard_at_s: float = -math.inf
    hears_us_at_s: float = -math.inf


def is_heard(evidence: Evidence, now_s: float) -> bool:
    """Return whether a recent heartbeat of an incarnation has arrived.

    Parameters
    ----------
    evidence : Evidence
        Evidence about one incarnation.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True within ``SUSPECT_AFTER_S`` of the last heartbeat.
    """
    return now_s - evidence.heard_at_s <= SUSPECT_AFTER_S


class EvidenceTable:
    """Evidence by name and incarnation, and the queue of announcements to relay.

    Incarnations are random numbers without an order, so evidence is kept for each
    of them: a delayed message of an old process does not affect its replacement.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, dict[int, Evidence]] = {}
        self._relay_queue: dict[tuple[str, int], tuple[Announcement, int]] = {}
        self._catch_up_queue: dict[str, list[Announcement]] = {}
        self._heard_at_s: dict[str, float] = {}
        self._confirmed_at_s = -math.inf

    @property
    def by_name(self) -> Mapping[str, Mapping[int, Evidence]]:
        """Evidence by name and incarnation."""
        return self._by_name

    @property
    def confirmed_at_s(self) -> float:
        """Monotonic time of the last two-way heartbeat; minus infinity for none."""
        return self._confirmed_at_s

    def merge_announcement(
        self, announcement: Announcement, relay: bool, now_s: float
    ) -> bool:
        """Merge an announcement and return whether it is new.

        Parameters
        ----------
        announcement : Announcement
            Announcement of an incarnation, direct or relayed.
        relay : bool
            Whether to relay a new announcement to other instances.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if the incarnation is new or its announcement has a higher serial;
            False also for a new name when ``MAX_NAMES`` names are known.
        """
        name, incarnation = announcement.name, announcement.incarnation
        known = self._by_name.get(name, {}).get(incarnation)
        if known is None:
            if name not in self._by_name and len(self._by_name) >= MAX_NAMES:
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
            self._relay_queue[name, incarnation] = (evidence.announcement, RELAY_COUNT)
        return True

    def record_heartbeat(
        self, name: str, incarnation: int, sequence: int, hears_us: bool, now_s: float
    ) -> bool:
        """Record a heartbeat; return False if it is old or its incarnation unknown."""
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
        """Return the names of instances with a recent heartbeat."""
        self._heard_at_s = {
            name: at_s
            for name, at_s in self._heard_at_s.items()
            if now_s - at_s <= SUSPECT_AFTER_S
        }
        return frozenset(self._heard_at_s)

    def next_announcements(self, limit: int) -> tuple[Announcement, ...]:
        """Return announcements to relay now; each is relayed ``RELAY_COUNT`` times."""
        batch = list(self._relay_queue.items())[:limit]
        for key, (announcement, relays) in batch:
            del self._relay_queue[key]
            if relays > 1:
                self._relay_queue[key] = (announcement, relays - 1)
        return tuple(announcement for _, (announcement, _) in batch)

    def start_catch_up(self, name: str, listed: Collection[str]) -> None:
        """Queue the announcements that a new or returning peer can have missed.

        These are announcements of leaving and of unlisted instances, since others
        are known from the published list.
        """
        self._catch_up_queue[name] = [
            evidence.announcement
            for other, incarnations in self._by_name.items()
            for evidence in incarnations.values()
            if other != name and (evidence.announcement.leaving or other not in listed)
        ]

    def next_catch_up(self, name: str, limit: int) -> tuple[Announcement, ...]:
        """Remove and return queued announcements for a new or returning peer."""
        queued = self._catch_up_queue.pop(name, [])
        if len(queued) > limit:
            self._catch_up_queue[name] = queued[limit:]
        return tuple(queued[:limit])

    def remove_before(self, news_before_s: float) -> None:
        """Remove incarnations whose last news is before a monotonic time."""
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
        if len(known) > MAX_INCARNATIONS_PER_NAME:
            oldest = min(known, key=lambda incarnation: known[incarnation].news_at_s)
            del known[oldest]


class _Report(NamedTuple):
    """A stored report of silence and how often it is still to be relayed."""

    serial: int
    created_at_s: float
    relays: int


class SilenceReports:
    """Reports of silent instances, kept for ``REPORT_LIFETIME_S`` and relayed."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[tuple[str, int], _Report]] = {}
        self._relay_queue: dict[tuple[str, str, int], None] = {}

    def merge_report(self, report: Unheard, now_s: float) -> None:
        """Merge a report unless it is outdated or enough observers agree already."""
        created_at_s = now_s - max(0, report.age_ms) / MS_PER_S
        if created_at_s + REPORT_LIFETIME_S <= now_s:
            return
        observer = (report.observer, report.observer_incarnation)
        known = self._reports.setdefault(report.name, {})
        if observer not in known and len(known) >= MAX_REPORTS_PER_SUBJECT:
            return
        if observer in known and known[observer].serial >= report.serial:
            return
        known[observer] = _Report(report.serial, created_at_s, RELAY_COUNT)
        self._relay_queue[report.name, *observer] = None

    @property
    def subjects(self) -> frozenset[str]:
        """Names of the instances with reports."""
        return frozenset(self._reports)

    def observer_count(self, name: str, now_s: float) -> int:
        """Return the number of observers that recently reported it as silent."""
        created_after_s = now_s - REPORT_LIFETIME_S
        reports = self._reports.get(name, {})
        fresh = {
            observer
            for (observer, _), report in reports.items()
            if report.created_at_s > created_after_s
        }
        return len(fresh)

    def created_at_s(self, name: str, observer: str, incarnation: int) -> float:
        """Return the time of an observer's report; minus infinity for none."""
        report = self._reports.get(name, {}).get((observer, incarnation))
        return report.created_at_s if report else -math.inf

    def remove(self, name: str) -> None:
        """Remove the reports about an instance, for example after its restart."""
        self._reports.pop(name, None)

    def next_reports(self, limit: int, now_s: float) -> tuple[Unheard, ...]:
        """Return reports to relay now; each is relayed ``RELAY_COUNT`` times."""
        return tuple(self._pop_reports(limit, now_s))

    def _pop_reports(self, limit: int, now_s: float) -> Iterator[Unheard]:
        for key in list(self._relay_queue)[:limit]:
            del self._relay_queue[key]
            name, *observer = key
            report = self._reports.get(name, {}).get(tuple(observer))
            if report is None:
                continue
            age_ms = round((now_s - report.created_at_s) * MS_PER_S)
            yield Unheard(name, *observer, report.serial, age_ms)
            if report.relays > 1:
                updated = report._replace(relays=report.relays - 1)
                self._reports[name][tuple(observer)] = updated
                self._relay_queue[key] = None

    def remove_expired(self, now_s: float) -> None:
        """Remove the reports whose lifetime is over."""
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
