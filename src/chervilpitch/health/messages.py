"""Messages about upstreams between instances."""

from typing import NamedTuple

__all__ = ["HealthReport"]


class HealthReport(NamedTuple):
    """The upstreams that the sender has ejected in its own view.

    The receiver takes no ejection over. A report only prompts a probe and lowers
    the weight of the upstream for a short time, because a partition may cut
    the sender, and not the receiver, from the upstream.

    Parameters
    ----------
    ejected : tuple of str
        Names of upstreams.
    """

    ejected: tuple[str, ...]
