"""Usual latency of a route, judged from all upstreams but one."""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from statistics import median
from typing import NamedTuple

__all__ = ["Baseline", "LatencyTable", "size_class"]

SAMPLES_PER_UPSTREAM = 16
MIN_SAMPLES_FOR_SPREAD = 4
LAST_SAMPLES = 3
MIN_SPREAD = 0.3
PRIOR_SPREAD = 0.8
PRIOR_SAMPLES = 8
NORMAL_MAD_RATIO = 1.4826
UPPER_SHARE = 0.9
NORMAL_UPPER_QUANTILE = 1.645
SAMPLE_LIFE_S = 120.0
MIN_OTHER_UPSTREAMS = 2
MIN_OTHER_SAMPLES = 6
CACHE_LIFE_S = 0.25
SIZE_STEP = 16
SMALLEST_CLASS_BYTES = 4096


class Baseline(NamedTuple):
    """Distribution of the logarithm of latency at the other upstreams.

    Parameters
    ----------
    median : float
        Median of the natural logarithm of seconds.
    spread : float
        Robust standard deviation of that logarithm.
    """

    median: float
    spread: float


class _Samples(NamedTuple):
    logs: deque
    last_at_s: float


def size_class(size_bytes: int) -> int:
    """Return the class of requests of similar size.

    Parameters
    ----------
    size_bytes : int
        Size of a request's body in bytes.

    Returns
    -------
    int
        0 for small requests, one more for each factor of 16.

    Examples
    --------
    >>> size_class(100), size_class(5_000), size_class(100_000)
    (0, 1, 2)
    """
    classes = 0
    limit = SMALLEST_CLASS_BYTES
    while size_bytes > limit:
        limit *= SIZE_STEP
        classes += 1
    return classes


class LatencyTable:
    """Recent latencies of each upstream, by class of request.

    Every upstream counts once, however much traffic it gets, so that a few busy
    ones cannot move the baseline alone.
    """

    def __init__(self) -> None:
        self._samples = {}
        self._cache = {}

    def __len__(self) -> int:
        """Return the number of classes of request with samples."""
        return len(self._samples)

    def add(self, key, upstream: str, latency_s: float, now_s: float) -> None:
        """Take in one latency.

        Parameters
        ----------
        key : hashable
            Class of request.
        upstream : str
            Name of the upstream that answered.
        latency_s : float
            Latency in seconds, without the time on the network.
        now_s : float
            Monotonic time in seconds.
        """
        row = self._samples.setdefault(key, {})
        held = row.get(upstream)
        logs = held.logs if held else deque(maxlen=SAMPLES_PER_UPSTREAM)
        logs.append(math.log(latency_s))
        row[upstream] = _Samples(logs, now_s)

    def without(self, key, upstream: str, now_s: float) -> Baseline | None:
        """Return the baseline that all upstreams but one give.

        Parameters
        ----------
        key : hashable
            Class of request.
        upstream : str
            Name of the upstream to leave out.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Baseline or None
            None while too few others have answered lately.
        """
        held, expires_at_s = self._cache.get((key, upstream), (None, -math.inf))
        if now_s < expires_at_s:
            return held
        baseline = self._compute(key, upstream, now_s)
        if baseline is not None:
            self._cache[key, upstream] = (baseline, now_s + CACHE_LIFE_S)
        return baseline

    def _compute(self, key, upstream, now_s):
        row = self._samples.get(key, {})
        others = [
            held.logs
            for name, held in row.items()
            if name != upstream and now_s - held.last_at_s < SAMPLE_LIFE_S
        ]
        if len(others) < MIN_OTHER_UPSTREAMS:
            return None
        if sum(map(len, others)) < MIN_OTHER_SAMPLES:
            return None
        return _summarize(others)

    def contrasts(
        self, service: str, upstream: str, others: Iterable[str], overdue: Mapping
    ) -> list[float]:
        """Return how much slower an upstream has been of late than others.

        Parameters
        ----------
        service : str
            Name of the service.
        upstream : str
            Name of the upstream.
        others : iterable of str
            Names of the upstreams to compare with.
        overdue : mapping
            Seconds that exchanges of the upstream have waited, by class of request.

        Returns
        -------
        list of float
            For each class of request that can be compared, the difference of the
            medians of the logarithm of the last few latencies.
        """
        found = []
        for key, row in self._samples.items():
            if key[1] != service:
                continue
            own = list(row[upstream].logs) if upstream in row else []
            own += map(math.log, overdue.get(key, ()))
            theirs = [_last_median(row[name].logs) for name in others if name in row]
            if own and theirs:
                found.append(_last_median(own) - median(theirs))
        return found

    def forget(self, is_kept: Callable[[str], bool]) -> None:
        """Drop the samples of upstreams that are not kept.

        Parameters
        ----------
        is_kept : callable
            Tells whether an upstream of that name is kept.
        """
        self._cache.clear()
        for key, row in list(self._samples.items()):
            kept = {name: held for name, held in row.items() if is_kept(name)}
            self._samples[key] = kept
            if not kept:
                del self._samples[key]

    def restart(self, is_restarted: Callable[[tuple], bool]) -> None:
        """Drop all samples of some classes of request.

        Parameters
        ----------
        is_restarted : callable
            Tells whether the samples of a class are dropped.
        """
        self._cache.clear()
        kept = {k: row for k, row in self._samples.items() if not is_restarted(k)}
        self._samples = kept


def _last_median(logs):
    return median(list(logs)[-LAST_SAMPLES:])


def _summarize(others):
    middles = [median(logs) for logs in others]
    deviations = sorted(
        abs(value - middle)
        for logs, middle in zip(others, middles)
        if len(logs) >= MIN_SAMPLES_FOR_SPREAD
        for value in logs
    )
    return Baseline(median(middles), _spread(deviations))


def _spread(deviations):
    """Return the larger of two robust estimates, drawn to the prior when few."""
    count = len(deviations)
    if not count:
        return PRIOR_SPREAD
    middle = NORMAL_MAD_RATIO * deviations[count // 2]
    upper = deviations[int(UPPER_SHARE * count)] / NORMAL_UPPER_QUANTILE
    measured = max(MIN_SPREAD, middle, upper)
    total = count * measured**2 + PRIOR_SAMPLES * PRIOR_SPREAD**2
    return math.sqrt(total / (count + PRIOR_SAMPLES))
