"""Work that one instance has sent to an upstream, and the wait for a free slot."""

from itertools import islice
from typing import NamedTuple

from .cost_table import RequestCost

__all__ = ["OwnWork", "PendingWork", "QueueForecast"]

MIN_REMAINING_SHARE = 0.05
"""Work left of a running request as a share of its estimate, at least."""


class PendingWork(NamedTuple):
    """Work of a request of this instance at an upstream.

    Parameters
    ----------
    cost : RequestCost
        Its estimated cost.
    runs_from_s : float
        Monotonic time in seconds at which it is expected to get a slot.
    """

    cost: RequestCost
    runs_from_s: float

    def remaining_s(self, slowness: float, now_s: float) -> float:
        """Return the expected work left, in seconds at usual speed."""
        mean_s = self.cost.mean_s
        done = (now_s - self.runs_from_s) / (mean_s * slowness)
        return mean_s * max(MIN_REMAINING_SHARE, self.cost.shape.remaining(done))

    def survival(self, now_s: float) -> float:
        """Return the share of such requests that run longer than this one has so far.

        The time expected in the queue is not counted, and usual speed is assumed.
        """
        return self.cost.shape.survival((now_s - self.runs_from_s) / self.cost.mean_s)


class QueueForecast(NamedTuple):
    """Forecast for a request that is sent to an upstream now.

    Parameters
    ----------
    wait_s : float
        Time until a slot is free, in seconds at usual speed.
    work_left_s : float
        Work left of all known requests, in seconds at usual speed.
    """

    wait_s: float
    work_left_s: float


class OwnWork:
    """Requests of this instance at one upstream, and their estimated work.

    Examples
    --------
    >>> from chervilpitch.policy.work import CostShape
    >>> cost = RequestCost(0.2, 0.4, 0.2, 0.2, CostShape())
    >>> work = OwnWork()
    >>> for number in range(2):
    ...     work.add(number, PendingWork(cost, runs_from_s=0.0))
    >>> work.forecast(2, 2, 0.2, 1.0, now_s=0.0)
    QueueForecast(wait_s=0.1, work_left_s=0.4)
    """

    def __init__(self) -> None:
        self._pending: dict[int, PendingWork] = {}
        self._cost_s = 0.0

    def add(self, number: int, work: PendingWork) -> None:
        """Add a request by the number of its attempt."""
        self._pending[number] = work
        self._cost_s += work.cost.mean_s

    def remove(self, number: int) -> None:
        """Remove a request that has ended."""
        self._cost_s -= self._pending.pop(number).cost.mean_s
        if not self._pending:
            self._cost_s = 0.0

    def forecast(
        self,
        load: int,
        slots: int,
        service_mean_s: float,
        slowness: float,
        now_s: float,
    ) -> QueueForecast:
        """Return the wait at the upstream and the work that it has left.

        The oldest requests of this instance count as running, the others as waiting.
        The processor time is bounded by the slots and doesn't grow with the requests.

        Parameters
        ----------
        load : int
            All requests known to be at the upstream, those of this instance included.
        slots : int
            Maximum number of concurrent requests.
        service_mean_s : float
            Cost of a request of which nothing more is known.
        slowness : float
            Factor by which the upstream is slower than usual.
        now_s : float
            Monotonic time in seconds.
        """
        running_count = 0
        running_s = waiting_s = release_rate = 0.0
        if self._pending:
            waiting_s = self._cost_s
            for item in islice(self._pending.values(), slots):
                remaining_s = item.remaining_s(slowness, now_s)
                running_count += 1
                running_s += remaining_s
                waiting_s -= item.cost.mean_s
                release_rate += 1 / remaining_s
        others_s = (load - len(self._pending)) * service_mean_s
        work_left_s = running_s + waiting_s + others_s
        if load < slots:
            return QueueForecast(0.0, work_left_s)
        others_running = slots - running_count
        release_rate += others_running / service_mean_s
        waiting_s += others_s - others_running * service_mean_s
        effective_slots = min(slots, release_rate * service_mean_s)
        wait_s = 1 / release_rate + max(0.0, waiting_s) / effective_slots
        return QueueForecast(wait_s, work_left_s)
