"""Admission level of one service on one instance.

While upstreams have capacity, requests are refused by the overload rule alone. Once
that rule refuses a request because the best upstream is full, or full upstreams shed
more than retries make up for, the service has a level: the share of requests that can
be served is estimated, and less urgent requests are refused first, as in DAGOR (Zhou
et al., SoCC 2018), but keep a minimum. Accounts of the same priority share by max-min.
The load this addresses is that of callers that compete for too little capacity, where
several kinds of requests share a service and a few accounts are large.
"""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from chervilpitch.model import RefusalKind

from .capacity import WINDOW_S, CapacityEstimate
from .retry import RECONNECT_S, admission_wait_s, drain_s, free_slot_s, with_jitter
from .shares import MIN_ACCOUNT_SHARE, fair_level, priority_shares
from .sliding_counts import SlidingCounts

__all__ = ["PRIORITY_CLASSES", "AdmissionLevel", "AdmissionRequest"]

PRIORITY_CLASSES = 8
"""Priorities that are told apart; less urgent ones count as the last of these."""
REVIEW_INTERVAL_S = 0.25
"""Shorter than a latency target, so that a level changes before requests that it
admits are late."""
RELEASE_S = 2.0
"""Time without a shortage after which a level ends. It is the window of the counts:
with few requests a second, a shorter time would end the level by chance."""
ACCOUNT_WINDOW_S = 5.0
"""Window of the demand of accounts, which is that of the bound on their use."""
MAX_ACCOUNTS = 16_384
"""Accounts of a service that are counted apart within a window. An instance with one
core does not carry as many requests in that time."""
MIN_OBSERVATIONS = 4
"""Observations needed to review a level after ``REVIEW_INTERVAL_S``. With fewer, the
review is due after twice that time, since a few observations say little."""
SAMPLE_SIZE = 48
"""Latest requests of a priority from which the fair level of accounts is estimated."""
MIN_AIM_S = 0.001
"""Latency target that is assumed where the configuration states zero."""
BUSY_FREE_SLOTS = 1
"""Free slots of the best upstream up to which it counts as busy, as other instances
may be sending requests to the same one."""
MAX_EXPECTED_SHARES = (1.3, 1.2, 1.1)
"""Expected time as a share of the latency target from which requests are refused at a
level, by priority. The highest is that of the overload rule. The others are above those
of the rule, as these would leave less urgent requests nothing while more urgent ones
fill up the queues."""


CAPACITY_REFUSALS = (
    RefusalKind.NO_SLOT,
    RefusalKind.UPSTREAM_SHED,
    RefusalKind.ACCOUNT_OVER_SHARE,
    RefusalKind.PRIORITY_NOT_ADMITTED,
)


class AdmissionRequest(NamedTuple):
    """What decides on the admission of a request.

    Parameters
    ----------
    priority : int
        Effective priority; 0 is the highest.
    account : str
        Name of the client account; empty for none.
    expected_s : float
        Expected response time of the best upstream in seconds.
    aim_s : float
        Latency target in seconds.
    remaining_s : float
        Seconds until the deadline.
    limit_s : float
        Expected time in seconds above which the overload rule refuses the request.
    slots, load : int
        Slots of the best upstream, and requests that are running or queued there.
    is_suspect : bool
        Whether that upstream is probably failing; its slots then say nothing about
        the capacity of the service.
    is_overloaded : bool
        Whether the overload rule refuses the request.
    """

    priority: int
    account: str
    expected_s: float
    aim_s: float
    remaining_s: float
    limit_s: float
    slots: int
    load: int
    is_suspect: bool
    is_overloaded: bool

    @property
    def free_slots(self) -> int:
        """Free slots of the best upstream; negative if requests are queued there."""
        return self.slots - self.load


class AdmissionLevel:
    """Decide which requests for a service are sent to upstreams.

    Examples
    --------
    >>> level = AdmissionLevel()
    >>> request = AdmissionRequest(2, "a", 0.2, 1.0, 2.0, 0.8, 4, 1, False, False)
    >>> level.refusal(request, iter([0.9]), 100.0) is None, level.is_short(100.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._capacity = CapacityEstimate()
        self._accounts = SlidingCounts(ACCOUNT_WINDOW_S, MAX_ACCOUNTS)
        self._priorities = SlidingCounts(WINDOW_S, PRIORITY_CLASSES)
        self._samples: tuple[collections.deque[float], ...] = tuple(
            collections.deque(maxlen=SAMPLE_SIZE) for _ in range(PRIORITY_CLASSES)
        )
        self._short_until_s = float("-inf")
        self._review_at_s = float("-inf")
        self._mean_share = 1.0
        self._shares: dict[int, float] = {}
        self._fair_levels: dict[int, float] = {}

    def is_short(self, now_s: float) -> bool:
        """Return whether the service has a level, being short of capacity."""
        return now_s < self._short_until_s

    def number(self, now_s: float) -> int:
        """Return the most urgent priority of which requests are refused.

        It is the number of priorities if none is refused for its priority.
        """
        if not self.is_short(now_s):
            return PRIORITY_CLASSES
        refused = (key for key, share in self._shares.items() if share < 1)
        return min(refused, default=PRIORITY_CLASSES)

    def share(self, priority: int, now_s: float) -> float:
        """Return the share of the requests of a priority that are admitted."""
        if not self.is_short(now_s):
            return 1.0
        return self._shares.get(_priority_class(priority), 1.0)

    def record_served(self, now_s: float) -> None:
        """Record a response of an upstream to a request."""
        self._capacity.record_served(now_s)

    def record_shed(self, now_s: float) -> None:
        """Record that an upstream shed a request, being full."""
        self._capacity.record_shed(now_s)

    def refusal(
        self, request: AdmissionRequest, draws: Iterator[float], now_s: float
    ) -> RefusalKind | None:
        """Count a request, and return why it is refused, or None if it is not.

        Parameters
        ----------
        request : AdmissionRequest
            The request.
        draws : iterator of float
            Unlimited random numbers from 0 to 1; none is taken without a shortage.
        now_s : float
            Monotonic time in seconds.
        """
        priority = _priority_class(request.priority)
        demand = self._accounts.add((priority, request.account), now_s)
        self._priorities.add(priority, now_s)
        self._samples[priority].append(demand)
        is_full = request.free_slots <= 0
        if not request.is_suspect:
            aim_s = max(request.aim_s, MIN_AIM_S)
            pressure = request.expected_s / aim_s if is_full else 0.0
            self._capacity.observe(pressure, request.free_slots <= BUSY_FREE_SLOTS)
        fixed = self._fixed_decision(request, now_s)
        if fixed is not None:
            self._capacity.record_decision(float(fixed), fixed, now_s)
            return None if fixed else RefusalKind.NO_SLOT
        refusal = self._refusal_by_share(priority, demand, draws)
        self._capacity.record_decision(self._mean_share, refusal is None, now_s)
        return refusal

    def admits_retry(self, priority: int, draws: Iterator[float], now_s: float) -> bool:
        """Return whether a request that was shed may be sent to another upstream.

        Retries use capacity too, so those of less urgent requests are dropped first.

        Parameters
        ----------
        priority : int
            Effective priority of the request.
        draws : iterator of float
            Unlimited random numbers from 0 to 1; none is taken without a shortage.
        now_s : float
            Monotonic time in seconds.
        """
        share = self.share(priority, now_s)
        return share >= 1 or next(draws) < share

    def retry_after_s(
        self,
        refusal: RefusalKind,
        request: AdmissionRequest | None,
        draw: float,
        now_s: float,
    ) -> float:
        """Return the delay in seconds after which a refused request may be sent again.

        It is the expected time until there is capacity for its priority and account,
        with jitter.

        Parameters
        ----------
        refusal : RefusalKind
            Why it was refused.
        request : AdmissionRequest or None
            The request; None if no upstream was usable.
        draw : float
            Random number from 0 to 1.
        now_s : float
            Monotonic time in seconds.
        """
        is_unreachable = refusal not in CAPACITY_REFUSALS
        if request is None or is_unreachable:
            return with_jitter(RECONNECT_S, draw)
        return with_jitter(self._expected_wait_s(refusal, request, now_s), draw)

    def _fixed_decision(self, request, now_s) -> bool | None:
        """Return the decision on a request, or None if it depends on the shares."""
        if not self.is_short(now_s):
            self._begin_if_short(request, now_s)
            return not request.is_overloaded
        if self._is_review_due(now_s):
            self._review(now_s)
        if request.expected_s > min(request.remaining_s, _limit_at_level_s(request)):
            return False
        is_idle = request.free_slots > BUSY_FREE_SLOTS and not request.is_suspect
        return True if is_idle else None

    def _begin_if_short(self, request, now_s):
        is_refused = request.is_overloaded and request.free_slots <= 0
        is_busy = request.free_slots <= BUSY_FREE_SLOTS
        is_shed = is_busy and self._capacity.is_shedding(now_s)
        if (is_refused or is_shed) and not request.is_suspect:
            self._short_until_s = now_s + RELEASE_S
            self._review(now_s)
        elif now_s >= self._review_at_s:
            self._review_at_s = now_s + REVIEW_INTERVAL_S
            self._capacity.forget_observations()

    def _refusal_by_share(self, priority, demand, draws) -> RefusalKind | None:
        """Return why a request is refused, with a probability by its account's demand.

        An account whose demand is above the fair level is admitted with a share of it.
        """
        priority_share = self._shares.get(priority, 1.0)
        if priority_share >= 1:
            return None
        share = self._account_share(priority, demand)
        if next(draws) < share:
            return None
        if share < priority_share:
            return RefusalKind.ACCOUNT_OVER_SHARE
        return RefusalKind.PRIORITY_NOT_ADMITTED

    def _account_share(self, priority, demand) -> float:
        """Return the share of the requests of an account that are admitted."""
        if self._shares.get(priority, 1.0) >= 1:
            return 1.0
        fair_share = self._fair_levels[priority] / demand
        return min(1.0, max(MIN_ACCOUNT_SHARE * self._mean_share, fair_share))

    def _expected_wait_s(self, refusal, request, now_s) -> float:
        priority_share = self.share(request.priority, now_s)
        if refusal is RefusalKind.UPSTREAM_SHED:
            return free_slot_s(request.expected_s, request.slots, priority_share)
        is_short = self.is_short(now_s)
        if refusal is RefusalKind.NO_SLOT:
            limit_s = _limit_at_level_s(request) if is_short else request.limit_s
            return drain_s(request.expected_s, limit_s, priority_share)
        if not is_short:
            return REVIEW_INTERVAL_S
        priority = _priority_class(request.priority)
        demand = self._accounts.count((priority, request.account), now_s)
        return admission_wait_s(
            self._account_share(priority, max(1.0, demand)), REVIEW_INTERVAL_S
        )

    def _is_review_due(self, now_s):
        overdue_s = now_s - self._review_at_s
        if self._capacity.observation_count >= MIN_OBSERVATIONS:
            return overdue_s >= 0
        return overdue_s >= REVIEW_INTERVAL_S and self._capacity.observation_count

    def _review(self, now_s):
        """Update the shares from the observations since the last review."""
        self._review_at_s = now_s + REVIEW_INTERVAL_S
        demands = {
            priority: count
            for priority in range(PRIORITY_CLASSES)
            if (count := self._priorities.count(priority, now_s)) > 0
        }
        self._mean_share = self._capacity.share(now_s)
        self._capacity.forget_observations()
        self._shares = priority_shares(demands, self._mean_share)
        self._fair_levels = {
            priority: fair_level(
                self._samples[priority], share, MIN_ACCOUNT_SHARE * self._mean_share
            )
            for priority, share in self._shares.items()
            if share < 1
        }
        if self._mean_share < 1:
            self._short_until_s = now_s + RELEASE_S


def _priority_class(priority: int) -> int:
    return min(max(priority, 0), PRIORITY_CLASSES - 1)


def _limit_at_level_s(request: AdmissionRequest) -> float:
    rank = min(_priority_class(request.priority), len(MAX_EXPECTED_SHARES) - 1)
    return request.aim_s * MAX_EXPECTED_SHARES[rank]
