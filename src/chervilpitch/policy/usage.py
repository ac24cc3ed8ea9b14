"""Counters of the tokens that instances have taken for client accounts.

A message carries only the counters that have changed. What an instance spends on them
therefore grows with the accounts in use between two messages, not with all accounts.
"""

from collections.abc import Iterable
from typing import NamedTuple, Optional

__all__ = [
    "AccountUsage",
    "ContinuedUsage",
    "GroupUsage",
    "OwnUsage",
    "ReportedUsage",
    "UsageCounters",
]

MAX_SOURCES = 512
"""Sources whose counters are kept: more than report to one instance of any region."""


class AccountUsage(NamedTuple):
    """Count of a client account's tokens taken by one or more instances.

    Parameters
    ----------
    account : str
        Name of the client account.
    admitted : int
        Tokens taken since the counter started: one for each attempt that was admitted
        or repeated.
    counted : int
        Tokens among them that other aggregators had counted when the source joined its
        present one.
    gained : int
        Tokens among them that the sender has just added to its sum. A receiver that
        does not know the source charges these; 0 if not stated.
    """

    account: str
    admitted: int
    counted: int = 0
    gained: int = 0

    def base(self, known: int | None, started_no_earlier: bool) -> int:
        """Return the part of the counter that the receiver has charged already.

        Parameters
        ----------
        known : int or None
            Counter in the last report of the same source; None if there was none.
        started_no_earlier : bool
            Whether the counter started together with the receiver's sum or later, so
            that the first report is charged in full.
        """
        if known is not None:
            return max(known, self.counted)
        return 0 if started_no_earlier else self.admitted - self.gained


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
        self._increase(account, count)
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

    def _increase(self, account, count):
        self._counts[account] = self._counts.get(account, 0) + count
        self._unsent.add(account)


class GroupUsage(UsageCounters):
    """Sums of an aggregator's group, and the increase of each since it was sent."""

    def __init__(self, including: Optional["UsageCounters"] = None) -> None:
        super().__init__(including)
        self._sent_counts: dict[str, int] = {}

    def add_own(self, account: str, count: int) -> None:
        """Add tokens of this instance, which the larger set includes already."""
        self._increase(account, count)

    def take_unsent(self) -> tuple[AccountUsage, ...]:
        """Return the counters that changed and their gains, and mark them as sent."""
        usages = tuple(
            usage._replace(
                gained=max(0, usage.admitted - self._sent_counts.get(usage.account, 0))
            )
            for usage in super().take_unsent()
        )
        self._sent_counts.update((usage.account, usage.admitted) for usage in usages)
        return usages


class OwnUsage(UsageCounters):
    """Counters of this instance, and which of its tokens an aggregator has counted.

    Each token is to be counted by one aggregator, whichever this instance uses in
    turn. An aggregator confirms what it has counted. What is not confirmed when this
    instance joins another one is counted there: a datagram may have been lost.

    Examples
    --------
    >>> own = OwnUsage()
    >>> own.add("fitters", 5)
    >>> own.confirm([AccountUsage("fitters", 3)])
    >>> own.join()
    >>> own.take_unsent()
    (AccountUsage(account='fitters', admitted=5, counted=3, gained=0),)
    """

    def __init__(self, including: Optional["UsageCounters"] = None) -> None:
        super().__init__(including)
        self._group: GroupUsage | None = None
        self._counted: dict[str, int] = {}
        self._counted_before: dict[str, int] = {}
        self._unconfirmed: set[str] = set()

    def add(self, account: str, count: int = 1) -> None:
        """Increase the counter of a client account."""
        super().add(account, count)
        self._unconfirmed.add(account)
        if self._group is not None:
            self._group.add_own(account, count)

    def take_unsent(self) -> tuple[AccountUsage, ...]:
        """Return the counters that changed, and mark them as sent."""
        return tuple(
            usage._replace(counted=self._counted_before.get(usage.account, 0))
            for usage in super().take_unsent()
        )

    def confirm(self, usages: Iterable[AccountUsage]) -> None:
        """Record that the aggregator has counted the tokens of these counters."""
        for account, admitted, *_ in usages:
            count = self.count(account)
            counted = max(self._counted.get(account, 0), min(admitted, count))
            self._counted[account] = counted
            if counted == count:
                self._unconfirmed.discard(account)

    def confirm_all(self) -> None:
        """Record that all tokens have been counted."""
        self.confirm(
            [AccountUsage(name, self.count(name)) for name in self._unconfirmed]
        )

    def send_unconfirmed_again(self) -> None:
        """Return unconfirmed counters at the next call of :meth:`take_unsent`."""
        self._unsent.update(self._unconfirmed)

    def join(self) -> None:
        """Let the aggregator that is used from now on count what is not confirmed."""
        self._counted_before = self._counted.copy()
        self.mark_all_unsent()

    def enter(self, group: GroupUsage) -> None:
        """Count the tokens not confirmed, and further ones, in this instance's group.

        Parameters
        ----------
        group : GroupUsage
            Sum of the group whose aggregator this instance is.
        """
        self.join()
        self._group = group
        self._add_unconfirmed(group, 1)

    def leave(self) -> None:
        """Take the tokens not confirmed out of the group's sum again."""
        if self._group is not None:
            self._add_unconfirmed(self._group, -1)
        self._group = None

    def _add_unconfirmed(self, group, sign):
        """Add the unconfirmed tokens to a group's sum, or take them out of it."""
        for account in self._unconfirmed:
            missing = self.count(account) - self._counted.get(account, 0)
            group.add_own(account, sign * missing)


class ContinuedUsage:
    """Counters that several instances report in turn, as one source.

    Each of them sums the same tokens, but began at a different time. One that takes
    over from another continues its counters, so that receivers neither miss tokens nor
    charge them twice: they ignore a counter that is lower than the last one.

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
    ('b', (AccountUsage(account='fitters', admitted=42, counted=0, gained=0),))
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

    The least recently reported sources are forgotten beyond ``MAX_SOURCES``.

    Parameters
    ----------
    total : UsageCounters
        Sum that each increase is added to.
    """

    def __init__(self, total: UsageCounters):
        self._total = total
        self._last_counts: dict[str, dict[str, int]] = {}

    def add(
        self,
        source: str,
        usages: Iterable[AccountUsage],
        started_no_earlier: bool = False,
    ) -> tuple[AccountUsage, ...]:
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
            first report is counted in full; otherwise what it states as gained.

        Returns
        -------
        tuple of AccountUsage
            The counters, each with what was added.
        """
        counts = self._last_counts.pop(source, {})
        self._last_counts[source] = counts
        if len(self._last_counts) > MAX_SOURCES:
            del self._last_counts[next(iter(self._last_counts))]
        added = []
        for usage in usages:
            base = usage.base(counts.get(usage.account), started_no_earlier)
            gained = max(0, usage.admitted - base)
            counts[usage.account] = max(usage.admitted, base)
            if gained:
                self._total.add(usage.account, gained)
            added.append(usage._replace(gained=gained))
        return tuple(added)

    def pairs(self) -> list[tuple[str, str]]:
        """Return the sources and the client accounts that each has reported."""
        return [
            (source, account)
            for source, counts in self._last_counts.items()
            for account in counts
        ]

    def forget(self) -> None:
        """Forget all sources."""
        self._last_counts.clear()
