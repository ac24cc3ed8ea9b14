"""Baseline latency of a class of request, computed without one upstream."""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from statistics import median
from typing import NamedTuple

__all__ = ["Baseline", "LatencyTable", "size_class"]

SAMPLES_PER_UPSTREAM = 16
MIN_SAMPLES_FOR_SPREAD = 4
RECENT_SAMPLES = 3
MIN_SPREAD = 0.3
PRIOR_SPREAD = 0.8
PRIOR_SAMPLES = 8
NORMAL_MAD_RATIO = 1.4826
UPPER_QUANTILE = 0.9
NORMAL_UPPER_QUANTILE = 1.645
SAMPLE_TTL_S = 120.0
MIN_OTHER_UPSTREAMS = 2
MIN_OTHER_SAMPLES = 6
CACHE_TTL_S = 0.25
SIZE_CLASS_FACTOR = 16
SMALLEST_CLASS_MAX_BYTES = 4096


class Baseline(NamedTuple):
    """Distribution of the log latency at the other upstreams.

    Parameters
    ----------
    median : float
        Median of the natural logarithm of the latency in seconds.
    spread : float
        Robust estimate of the standard deviation of that logarithm.
    """

    median: float
    spread: float


class _Samples(NamedTuple):
    log_latencies: deque
    last_at_s: float


def size_class(size_bytes: int) -> int:
    """Return the size class of a request.

    Parameters
    ----------
    size_bytes : int
        Size of the request body in bytes.

    Returns
    -------
    int
        0 for up to 4096 bytes; each factor of 16 in size adds one.

    Examples
    --------
    >>> size_class(100), size_class(5_000), size_class(100_000)
    (0, 1, 2)
    """
    size_class_number = 0
    limit = SMALLEST_CLASS_MAX_BYTES
    while size_bytes > limit:
        limit *= SIZE_CLASS_FACTOR
        size_class_number += 1
    return size_class_number


class LatencyTable:
    """Recent latencies of each upstream, by class of request.

    Every upstream has the same weight in the baseline, whatever its share of the
    traffic, so that a few busy upstreams cannot shift the baseline.
    """

    def __init__(self) -> None:
        self._samples = {}
        self._cache = {}

    def __len__(self) -> int:
        """Return the number of classes of request that have samples."""
        return len(self._samples)

    def add(self, key, upstream: str, latency_s: float, now_s: float) -> None:
        """Add one latency.

        Parameters
        ----------
        key : hashable
            Class of request.
        upstream : str
            Name of the upstream that responded.
        latency_s : float
            Latency in seconds, above 0; the network delay is not subtracted. For
            the transfer of a response body, seconds per megabyte.
        now_s : float
            Monotonic time in seconds.
        """
        by_upstream = self._samples.setdefault(key, {})
        samples = by_upstream.get(upstream)
        logs = samples.log_latencies if samples else deque(maxlen=SAMPLES_PER_UPSTREAM)
        logs.append(math.log(latency_s))
        by_upstream[upstream] = _Samples(logs, now_s)

    def baseline_without(self, key, upstream: str, now_s: float) -> Baseline | None:
        """Return the baseline computed from all upstreams except one.

        Parameters
        ----------
        key : hashable
            Class of request.
        upstream : str
            Name of the upstream to exclude.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Baseline or None
            None if too few other upstreams have recent samples.
        """
        cached, expires_at_s = self._cache.get((key, upstream), (None, -math.inf))
        if now_s < expires_at_s:
            return cached
        baseline = self._compute(key, upstream, now_s)
        if baseline is not None:
            self._cache[key, upstream] = (baseline, now_s + CACHE_TTL_S)
        return baseline

    def _compute(self, key, upstream, now_s):
        by_upstream = self._samples.get(key, {})
        others = [
            samples.log_latencies
            for name, samples in by_upstream.items()
            if name != upstream and now_s - samples.last_at_s < SAMPLE_TTL_S
        ]
        if len(others) < MIN_OTHER_UPSTREAMS:
            return None
        if sum(map(len, others)) < MIN_OTHER_SAMPLES:
            return None
        return _summarize(others)

    def log_differences(
        self, service: str, upstream: str, others: Iterable[str], overdue: Mapping
    ) -> list[float]:
        """Return the recent log latencies of an upstream relative to others.

        Parameters
        ----------
        service : str
            Name of the service.
        upstream : str
            Name of the upstream.
        others : iterable of str
            Names of the upstreams to compare with.
        overdue : mapping
            Seconds that unfinished exchanges of the upstream have waited, by class
            of request.

        Returns
        -------
        list of float
            For each class of request with samples on both sides, the difference of
            the medians of the log of the last few latencies; positive if the
            upstream is slower.
        """
        differences = []
        for key, by_upstream in self._samples.items():
            if key[1] != service:
                continue
            own = (
                list(by_upstream[upstream].log_latencies)
                if upstream in by_upstream
                else []
            )
            own += map(math.log, overdue.get(key, ()))
            theirs = [
                _recent_median(by_upstream[name].log_latencies)
                for name in others
                if name in by_upstream
            ]
            if own and theirs:
                differences.append(_recent_median(own) - median(theirs))
        return differences

    def keep_upstreams(self, is_kept: Callable[[str], bool]) -> None:
        """Remove the samples of upstreams that are no longer in use.

        Parameters
        ----------
        is_kept : callable
            Called with the name of an upstream; true if its samples are kept.
        """
        self._cache.clear()
        for key, by_upstream in list(self._samples.items()):
            kept = {name: held for name, held in by_upstream.items() if is_kept(name)}
            self._samples[key] = kept
            if not kept:
                del self._samples[key]

    def drop_classes(self, is_dropped: Callable[[tuple], bool]) -> None:
        """Remove all samples of some classes of request.

        Parameters
        ----------
        is_dropped : callable
            Called with the key of a class; true if its samples are removed.
        """
        self._cache.clear()
        kept = {k: row for k, row in self._samples.items() if not is_dropped(k)}
        self._samples = kept


def _recent_median(logs):
    return median(list(logs)[-RECENT_SAMPLES:])


def _summarize(others):
    medians = [median(logs) for logs in others]
    deviations = sorted(
        abs(value - center)
        for logs, center in zip(others, medians)
        if len(logs) >= MIN_SAMPLES_FOR_SPREAD
        for value in logs
    )
    return Baseline(median(medians), _spread(deviations))


def _spread(deviations):
    """Return a robust standard deviation, pulled to the prior if data are few.

    It is the larger of the estimates from the median and from the 90 % quantile of
    the absolute deviations.
    """
    count = len(deviations)
    if not count:
        return PRIOR_SPREAD
    from_median = NORMAL_MAD_RATIO * deviations[count // 2]
    from_upper = deviations[int(UPPER_QUANTILE * count)] / NORMAL_UPPER_QUANTILE
    measured = max(MIN_SPREAD, from_median, from_upper)
    total = count * measured**2 + PRIOR_SAMPLES * PRIOR_SPREAD**2
    return math.sqrt(total / (count + PRIOR_SAMPLES))
