"""Counters of the tokens that instances have taken for client accounts.

A message carries only the counters that have changed. What an instance spends on them
therefore grows with the accounts in use between two messages, not with all accounts.
"""

from collections.abc import Iterable
from typing import NamedTuple, Optional

__all__ = ["AccountUsage", "ContinuedUsage", "ReportedUsage", "UsageCounters"]


class AccountUsage(NamedTuple):
    """Count of a client account's tokens taken by one or more instances.

    Parameters
    ----------
    account : str
        Name of the client account.
    admitted : int
        Tokens taken since the counter started: one for each attempt that was admitted
        or repeated.
    """

    account: str
    admitted: int


class UsageCounters:
    """Counters by client account, and which of them changed since they were sent.

    Parameters
    ----------
    including : UsageCounters, optional
        Counters of a larger set of instances, to which each increase is added too.

    Examples
    --------
    >>> group = UsageCounters()
    >>> own = UsageCounters(including=group)
    >>> own.add("fitters")
    >>> group.add("fitters", 4)
    >>> [usage.admitted for usage in (*own.take_unsent(), *group.take_unsent())]
    [1, 5]
    >>> own.take_unsent()
    ()
    """

    def __init__(self, including: Optional["UsageCounters"] = None) -> None:
        self._including = including
        self._counts: dict[str, int] = {}
        self._unsent: set[str] = set()
        self._has_sent = False

    @property
    def has_sent(self) -> bool:
        """Whether a counter was ever sent."""
        return self._has_sent

    @property
    def unsent(self) -> frozenset[str]:
        """Client accounts whose counters changed since they were sent."""
        return frozenset(self._unsent)

    def count(self, account: str) -> int:
        """Return the counter of a client account."""
        return self._counts.get(account, 0)

    def add(self, account: str, count: int = 1) -> None:
        """Increase the counter of a client account."""
        self._counts[account] = self._counts.get(account, 0) + count
        self._unsent.add(account)
        if self._including is not None:
            self._including.add(account, count)

    def take_unsent(self) -> tuple[AccountUsage, ...]:
        """Return the counters that changed, and mark them as sent."""
        accounts = sorted(self._unsent)
        self._unsent.clear()
        self._has_sent = self._has_sent or bool(accounts)
        return tuple(AccountUsage(name, self._counts[name]) for name in accounts)

    def mark_all_unsent(self) -> None:
        """Return all counters at the next call of :meth:`take_unsent`."""
        self._unsent.update(self._counts)


class ContinuedUsage:
    """Counters that several instances report in turn, as one source.

    Each of them adds up the same tokens, from another start. One that reports in the
    place of another continues its counters, so that receivers miss and charge nothing
    twice: they ignore a counter that is lower than the last one.

    Parameters
    ----------
    counters : UsageCounters
        Counters of this instance.
    source : str
        Name of the source until another instance is followed.

    Examples
    --------
    >>> counters = UsageCounters()
    >>> continued = ContinuedUsage(counters, "a")
    >>> continued.follow("b", [AccountUsage("fitters", 40)])
    >>> counters.add("fitters", 2)
    >>> continued.source, continued.take_unsent()
    ('b', (AccountUsage(account='fitters', admitted=42),))
    """

    def __init__(self, counters: UsageCounters, source: str):
        self._counters = counters
        self._source = source
        self._offsets: dict[str, int] = {}
        self._is_following = False

    @property
    def is_following(self) -> bool:
        """Whether counters of another instance are continued."""
        return self._is_following

    @property
    def source(self) -> str:
        """Name under which the counters are reported."""
        return self._source

    def follow(self, source: str, usages: Iterable[AccountUsage]) -> None:
        """Continue the counters that another instance reports.

        Parameters
        ----------
        source : str
            Name under which it reports them.
        usages : iterable of AccountUsage
            Counters that have changed.
        """
        self._is_following = True
        if source != self._source:
            self._source = source
            self._offsets.clear()
        for usage in usages:
            own = self._counters.count(usage.account)
            self._offsets[usage.account] = usage.admitted - own

    def take_unsent(self) -> tuple[AccountUsage, ...]:
        """Return the counters that changed, and mark them as sent."""
        return tuple(
            usage._replace(
                admitted=max(0, usage.admitted + self._offsets.get(usage.account, 0))
            )
            for usage in self._counters.take_unsent()
        )


class ReportedUsage:
    """Counters that other instances report, as increases of a sum.

    Parameters
    ----------
    total : UsageCounters
        Sum that each increase is added to.
    """

    def __init__(self, total: UsageCounters):
        self._total = total
        self._last_counts: dict[tuple[str, str], int] = {}

    def add(
        self,
        source: str,
        usages: Iterable[AccountUsage],
        started_no_earlier: bool = False,
    ) -> None:
        """Add the increase of a source's counters since its last report.

        A counter lower than the last one is ignored, as it is an older report.

        Parameters
        ----------
        source : str
            Instance or group of instances, and its incarnation.
        usages : iterable of AccountUsage
            Counters of the source.
        started_no_earlier : bool
            Whether the counters started together with the sum or later. If so, the
            first report is counted in full; otherwise it is the base value.
        """
        for usage in usages:
            key = (source, usage.account)
            base = 0 if started_no_earlier else usage.admitted
            known = self._last_counts.setdefault(key, base)
            if usage.admitted > known:
                self._last_counts[key] = usage.admitted
                self._total.add(usage.account, usage.admitted - known)
