"""The rate of a client account over all instances, without a coordinator."""

import math
from typing import NamedTuple

__all__ = ["AccountUsage", "FleetBucket", "UsageTotals"]

RATE_FADE_S = 1.0
REPORT_LAG_S = 0.6
LOW_SHARE = 0.6
MAX_RETRY_AFTER_S = 2.0
SETTLED_AFTER_S = 1.5
MOST_PAID_BACK_S = 5.0


class AccountUsage(NamedTuple):
    """Requests of a client account that a group of instances has admitted.

    Parameters
    ----------
    account : str
        Name of the client account.
    admitted : int
        Requests admitted since the group's counter began.
    """

    account: str
    admitted: int


class _Source(NamedTuple):
    admitted: int
    rate_per_s: float
    at_s: float


class FleetBucket:
    """Token bucket that every instance keeps a copy of.

    Own admissions are taken at once and those of other instances as they are
    reported; between two reports their last rate is assumed to go on. The level
    may fall below zero: what was admitted too much before a report came is paid
    back before anything else is admitted. A bucket starts empty and without
    tolerance, so that a restart of all instances gives out no burst twice.

    Parameters
    ----------
    rate_per_s, burst : float
        The client account's rate and burst.
    tolerance : float
        Requests by which the level may fall short, since reports are late and
        what happened meanwhile is guessed.
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, tolerance: float, now_s: float):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tolerance = tolerance
        self._settled_at_s = now_s + SETTLED_AFTER_S
        self._level = 0.0
        self._at_s = now_s
        self._own = 0
        self._sources: dict[str, _Source] = {}

    @property
    def admitted(self) -> int:
        """Requests admitted by this instance since it started."""
        return self._own

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Follow a changed rate and burst."""
        self._refill(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def admit(self, now_s: float) -> bool:
        """Take a token if there is one.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self._refill(now_s)
        if self._level - self._unreported(now_s) < self._least(now_s):
            return False
        self._level -= 1
        self._own += 1
        return True

    def is_low(self, now_s: float) -> bool:
        """Return whether others should know of each admission at once."""
        self._refill(now_s)
        return self._level < LOW_SHARE * self._burst

    def retry_after_s(self, now_s: float) -> float:
        """Return the seconds after which a token should be there."""
        missing = self._least(now_s) - self._level + self._unreported(now_s)
        wait_s = missing / max(self._rate_per_s, 0.001)
        return min(MAX_RETRY_AFTER_S, max(0.05, wait_s))

    def log_fields(self, now_s: float) -> dict[str, float]:
        """Return what the decisions go by, for logs."""
        return {
            "level": round(self._level, 1),
            "unreported": round(self._unreported(now_s), 1),
            "sources": len(self._sources),
        }

    def add_report(
        self, source: str, admitted: int, now_s: float, began_after: bool = False
    ) -> None:
        """Take in what other instances have admitted.

        Parameters
        ----------
        source : str
            Who counts; a new incarnation has a new name.
        admitted : int
            Requests admitted since its counter began.
        now_s : float
            Monotonic time in seconds.
        began_after : bool
            Whether the counter began when this bucket did, or later: all of it then
            counts, also when it is heard of for the first time.
        """
        known = self._sources.get(source)
        self._refill(now_s)
        if known is None:
            known = _Source(0 if began_after else admitted, 0.0, now_s)
        gained = admitted - known.admitted
        if gained < 0:
            return
        lowest = min(self._level, -self._rate_per_s * MOST_PAID_BACK_S)
        self._level = max(self._level - gained, lowest)
        rate_per_s = _faded(known, now_s) + gained / RATE_FADE_S
        self._sources[source] = _Source(admitted, rate_per_s, now_s)

    def _least(self, now_s) -> float:
        """Return the level that is needed to admit a request."""
        is_settled = now_s >= self._settled_at_s
        return 1 - self._tolerance if is_settled else min(1.0, self._burst)

    def _refill(self, now_s):
        gained = self._rate_per_s * max(0.0, now_s - self._at_s)
        self._level = min(self._burst, self._level + gained)
        self._at_s = max(self._at_s, now_s)

    def _unreported(self, now_s) -> float:
        """Return what others have probably admitted since their reports."""
        return sum(
            _faded(source, now_s) * min(now_s - source.at_s, REPORT_LAG_S)
            for source in self._sources.values()
        )


def _faded(source: _Source, now_s: float) -> float:
    """Return the rate of a source that has reported nothing since."""
    passed_s = max(0.0, now_s - source.at_s)
    return source.rate_per_s * math.exp(-passed_s / RATE_FADE_S)


class UsageTotals:
    """What the instances of a region have admitted, added up by one of them."""

    def __init__(self) -> None:
        self._totals: dict[str, int] = {}
        self._known: dict[tuple[str, str], int] = {}

    def add(
        self, source: str, usages: tuple[AccountUsage, ...], began_after: bool = False
    ) -> None:
        """Take in the counters of one instance.

        Parameters
        ----------
        source : str
            The instance and its incarnation.
        usages : tuple of AccountUsage
            Its counters.
        began_after : bool
            Whether its counters began when these totals did, or later.
        """
        for usage in usages:
            at = (source, usage.account)
            unknown = 0 if began_after else usage.admitted
            gained = usage.admitted - self._known.get(at, unknown)
            self._known[at] = usage.admitted
            total = self._totals.get(usage.account, 0)
            self._totals[usage.account] = total + max(0, gained)

    def usages(self) -> tuple[AccountUsage, ...]:
        """Return the totals since this instance started."""
        return tuple(AccountUsage(*item) for item in self._totals.items())
