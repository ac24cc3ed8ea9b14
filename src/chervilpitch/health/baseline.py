"""Usual latency of a route, judged from all upstreams but one."""

import math
from collections import deque
from collections.abc import Callable
from statistics import median
from typing import NamedTuple

__all__ = ["Baseline", "LatencyTable", "size_class"]

SAMPLES_PER_UPSTREAM = 8
MIN_SPREAD = 0.3
NORMAL_MAD_RATIO = 1.4826
SAMPLE_LIFE_S = 120.0
MIN_OTHER_UPSTREAMS = 2
MIN_OTHER_SAMPLES = 6
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

    def forget(self, is_kept: Callable[[str], bool]) -> None:
        """Drop the samples of upstreams that are not kept.

        Parameters
        ----------
        is_kept : callable
            Tells whether an upstream of that name is kept.
        """
        for key, row in list(self._samples.items()):
            kept = {name: held for name, held in row.items() if is_kept(name)}
            self._samples[key] = kept
            if not kept:
                del self._samples[key]


def _summarize(others):
    middles = [median(logs) for logs in others]
    deviations = [
        abs(value - middle)
        for logs, middle in zip(others, middles)
        if len(logs) > 2
        for value in logs
    ]
    mad = median(deviations) if deviations else 0.0
    return Baseline(median(middles), max(MIN_SPREAD, NORMAL_MAD_RATIO * mad))
