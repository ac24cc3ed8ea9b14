"""Fleet-wide rate limits of client accounts, without a coordinator."""

import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from .usage import MAX_SOURCES, AccountUsage

__all__ = ["FleetBucket"]

NO_LAST_REPORTS: Mapping[str, float] = MappingProxyType({})

RATE_DECAY_S = 1.0
STALENESS_DECAY_S = 2.5
"""Time after which assumed use of a silent source is mostly forgotten."""
MIN_RATE_PER_S = 0.01
LOW_LEVEL_SHARE_OF_BURST = 0.6
LOW_LEVEL_AHEAD_S = 1.0
"""Time within which a level that is to become low counts as low."""
REPORTING_DELAY_S = 1.0
"""Time in which admissions become known to all instances."""
OVERUSE = 1.1
"""Use as a multiple of the rate from which the rate is overused; reports come in
batches, so that usual use seems to exceed the rate at times."""
CONTINUED_OVERUSE = 0.9
OVERUSE_MEMORY_S = 5.0
MAX_RETRY_AFTER_S = 2.0
TOLERANCE_DELAY_S = 1.5
MAX_DEBT_S = 5.0


class _Source(NamedTuple):
    admitted: int
    rate_per_s: float
    reported_at_s: float


class FleetBucket:
    """Token bucket of a client account, replicated on every instance.

    Each attempt to run a request takes a token, also a repeated one. Attempts of this
    instance do so immediately, those of other instances when they are reported. A
    source that is silent is assumed to go on at its last rate, which decays. The tokens
    that it is assumed to have taken do not come back before it is heard: one whose
    reports are lost looks like one that takes none. The level may become negative:
    repeats, and admissions that were reported late, are paid back before further
    requests are admitted. The debt from reports is limited to ``MAX_DEBT_S`` seconds of
    the rate, so that a late report does not block the client account for longer. A
    bucket starts empty and without tolerance, so that a restart of all instances does
    not grant the burst twice.

    All instances see the same few tokens until they learn of each other's admissions.
    For ``OVERUSE_MEMORY_S`` after much more than the rate was used, each therefore
    admits only a share of the requests, in proportion to the tokens left, once these
    would be refilled within ``REPORTING_DELAY_S``. Otherwise all would admit everything
    until the reports arrive, then nothing for seconds.

    Parameters
    ----------
    rate_per_s, burst : float
        Rate in requests per second and burst in requests of the client account.
    tolerance : float
        Requests admitted beyond the estimated level, because reports are late and
        the admissions since then are an estimate.
    now_s : float
        Monotonic time in seconds.
    last_report_at_s : mapping of str to float, optional
        Monotonic time in seconds at which each source was last heard, also without a
        report on this account; kept up to date by the caller.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        tolerance: float,
        now_s: float,
        last_report_at_s: Mapping[str, float] = NO_LAST_REPORTS,
    ):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tolerance = tolerance
        self._tolerant_from_s = now_s + TOLERANCE_DELAY_S
        self._share = 1.0
        self._level = 0.0
        self._refilled_at_s = now_s
        self._admitted = 0
        self._charged = 0.0
        self._last_report_at_s = last_report_at_s
        self._sources: dict[str, _Source] = {}
        self._used_rate_per_s = 0.0
        self._used_at_s = now_s
        self._overused_until_s = float("-inf")

    @property
    def admitted(self) -> int:
        """Tokens taken by this instance since the bucket was created."""
        return self._admitted

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Set the rate and the burst, and reduce the level to the new burst."""
        self._refill(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def allows(
        self,
        now_s: float,
        share: float = 1.0,
        draw: float = 0.0,
        reported_share: float = 1.0,
    ) -> bool:
        """Return whether a token is available; :meth:`take` takes it.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        share : float
            Share of the rate and the burst that may be used here. With less than the
            whole one there is no tolerance, as the others can't be heard.
        draw : float
            Random number from 0 to 1, which decides where a share of the requests is
            admitted.
        reported_share : float
            Share of the others' use for which reports arrive. While the rate is
            overused, at most this share of the requests is admitted.
        """
        self._refill(now_s)
        if self._share == 1.0 and share < 1.0:
            # The others use the burst; and requests that were admitted here since
            # they were last heard are not known to them.
            self._level = min(self._level, 0.0)
        self._share = share
        self._level = min(self._level, max(0.0, self._burst * share))
        available = self._available(now_s)
        if not self._is_overused(now_s):
            return available >= 0
        ample = max(1.0, self._rate_per_s * REPORTING_DELAY_S)
        return (
            available >= 0 and draw < min(1.0, (available + 1) / ample) * reported_share
        )

    def take(self, now_s: float) -> None:
        """Take a token, also if none is available.

        A request that failed at an upstream is repeated all the same; new requests
        are refused until that token is paid back.
        """
        self._refill(now_s)
        self._level -= 1
        self._admitted += 1
        self._add_use(1, now_s)

    def is_low(self, now_s: float) -> bool:
        """Return whether admissions should be reported to others without delay."""
        self._refill(now_s)
        loss_per_s = max(0.0, self._used_per_s(now_s) - self._rate_per_s)
        expected = self._level - loss_per_s * LOW_LEVEL_AHEAD_S
        return expected < LOW_LEVEL_SHARE_OF_BURST * self._burst

    def retry_after_s(self, now_s: float) -> float:
        """Return the expected time in seconds until all requests are admitted."""
        ample = self._rate_per_s * REPORTING_DELAY_S - 1
        missing = ample if self._is_overused(now_s) else 0.0
        missing -= self._available(now_s)
        wait_s = missing / max(self._rate_per_s, 0.001)
        return min(MAX_RETRY_AFTER_S, max(0.05, wait_s))

    def log_fields(self, now_s: float) -> dict[str, float]:
        """Return the values that admission depends on, as fields of a log record.

        ``charged`` counts what was admitted by all known sources, so that instances
        can be compared.
        """
        return {
            "available": round(self._level, 1),
            "unreported": round(self._unreported(now_s), 1),
            "sources": len(self._sources),
            "charged": round(self._charged),
        }

    def add_report(
        self,
        source: str,
        admitted: int,
        now_s: float,
        started_no_earlier: bool = False,
        counted: int = 0,
        gained: int = 0,
    ) -> None:
        """Apply a counter reported by another instance.

        A counter lower than the last one from the same source is ignored, as it is
        an older report.

        Parameters
        ----------
        source : str
            Source of the counter; each incarnation is a source of its own.
        admitted : int
            Requests admitted since the counter started.
        now_s : float
            Monotonic time in seconds.
        started_no_earlier : bool
            Whether the counter started together with this bucket or later. If so,
            its first report is counted in full; otherwise ``gained`` is.
        counted, gained : int
            Parts of the counter that were charged under another source, and that the
            sender has just added; see :class:`AccountUsage`.
        """
        known = self._sources.get(source)
        self._refill(now_s)
        usage = AccountUsage("", admitted, counted, gained)
        base = usage.base(known and known.admitted, started_no_earlier)
        if known is None:
            self._forget_oldest()
            known = _Source(base, 0.0, now_s)
        gained = admitted - base
        if gained < 0:
            return
        staleness_s = now_s - self._last_report_at_s.get(source, known.reported_at_s)
        self._charge(gained, now_s, staleness_s)
        gained_per_s = gained / max(RATE_DECAY_S, staleness_s)
        rate_per_s = _decayed_rate_per_s(known, now_s) + gained_per_s
        self._sources[source] = _Source(admitted, rate_per_s, now_s)

    def end_source(
        self, source: str, now_s: float, last_report_at_s: float = float("-inf")
    ) -> None:
        """Forget a source whose tokens are reported under other sources from now on.

        What it is likely to have taken since it was last heard is charged, as the
        other sources only report what is taken from now on.

        Parameters
        ----------
        source : str
            Source of a counter.
        now_s : float
            Monotonic time in seconds.
        last_report_at_s : float
            Monotonic time in seconds until which it is known to have reported all.
        """
        known = self._sources.pop(source, None)
        if known is None:
            return
        recorded_at_s = self._last_report_at_s.get(source, known.reported_at_s)
        last_report_at_s = max(known.reported_at_s, recorded_at_s, last_report_at_s)
        staleness_s = min(now_s - last_report_at_s, STALENESS_DECAY_S)
        self._refill(now_s)
        used = _decayed_rate_per_s(known, last_report_at_s) * staleness_s
        self._charge(used, now_s, staleness_s)

    def _charge(self, count, now_s, taken_within_s):
        min_level = min(self._level, -self._rate_per_s * MAX_DEBT_S)
        self._level = max(self._level - count, min_level)
        self._add_use(count, now_s, taken_within_s)

    def _forget_oldest(self):
        """Forget the source that was reported longest ago if there are too many."""
        if len(self._sources) >= MAX_SOURCES:
            oldest = min(
                self._sources, key=lambda name: self._sources[name].reported_at_s
            )
            del self._sources[oldest]

    def _is_overused(self, now_s) -> bool:
        return now_s < self._overused_until_s

    def _available(self, now_s) -> float:
        """Return the tokens left besides the one that a request takes."""
        return self._level - self._unreported(now_s) - self._required_level(now_s)

    def _used_per_s(self, now_s) -> float:
        """Return the rate of the known admissions of all instances."""
        elapsed_s = max(0.0, now_s - self._used_at_s)
        return self._used_rate_per_s * math.exp(-elapsed_s / RATE_DECAY_S)

    def _add_use(self, count, now_s, taken_within_s=0.0):
        """Add tokens that were taken within the seconds before, at an even rate.

        A late report of many tokens is thus not taken for overuse.
        """
        self._charged += count
        rate_per_s = count / max(RATE_DECAY_S, taken_within_s)
        self._used_rate_per_s = self._used_per_s(now_s) + rate_per_s
        self._used_at_s = now_s
        is_overused = self._is_overused(now_s)
        excess = CONTINUED_OVERUSE if is_overused else OVERUSE
        if self._used_rate_per_s > self._rate_per_s * excess:
            self._overused_until_s = now_s + OVERUSE_MEMORY_S

    def _required_level(self, now_s) -> float:
        """Return the level required to admit a request."""
        is_tolerant = now_s >= self._tolerant_from_s and self._share == 1.0
        return 1 - self._tolerance if is_tolerant else min(1.0, self._burst)

    def _refill(self, now_s):
        gained = self._rate_per_s * max(0.0, now_s - self._refilled_at_s)
        level = self._level + gained * self._share
        self._level = min(max(self._level, self._burst * self._share), level)
        self._refilled_at_s = max(self._refilled_at_s, now_s)

    def _unreported(self, now_s) -> float:
        """Return the assumed use of others since they were last heard."""
        return sum(
            _assumed_use(
                source, self._last_report_at_s.get(name, source.reported_at_s), now_s
            )
            for name, source in self._sources.items()
            if source.rate_per_s > MIN_RATE_PER_S
        )


def _assumed_use(source: _Source, last_report_at_s: float, now_s: float) -> float:
    """Return how many tokens a source may have taken since it was last heard."""
    last_report_at_s = max(source.reported_at_s, last_report_at_s)
    staleness_s = max(0.0, now_s - last_report_at_s)
    used = _decayed_rate_per_s(source, last_report_at_s) * RATE_DECAY_S
    used *= 1.0 - math.exp(-staleness_s / RATE_DECAY_S)
    return used * math.exp(-staleness_s / STALENESS_DECAY_S)


def _decayed_rate_per_s(source: _Source, now_s: float) -> float:
    """Return the estimated rate of a source, decayed since its last report."""
    elapsed_s = max(0.0, now_s - source.reported_at_s)
    return source.rate_per_s * math.exp(-elapsed_s / RATE_DECAY_S)
