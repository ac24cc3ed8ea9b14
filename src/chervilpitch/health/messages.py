"""Messages between instances about the health of upstreams."""

from typing import NamedTuple

__all__ = ["HealthReport"]


class HealthReport(NamedTuple):
    """The upstreams that the sender has ejected.

    The receiver does not eject an upstream because of a report. It only probes the
    upstream and lowers its weight for a short time, because a partition may
    separate the sender, but not the receiver, from the upstream.

    Parameters
    ----------
    ejected : tuple of str
        Names of upstreams.
    """

    ejected: tuple[str, ...]
