"""Which instances of a region read the store for the others."""

import math
from collections.abc import Sequence

from .members import Member, MemberState

__all__ = ["is_reader", "sources"]

HEAR_FIRST_S = 0.3
FIRST_ANSWER_S = 1.0
STALE_S = 3.0
STALE_STEP_S = 0.25
MOST_STEPS = 4
SOURCES = 3


def is_reader(
    ranked: Sequence[Member],
    own: Member,
    age_s: float,
    is_reading: bool,
    uptime_s: float,
) -> bool:
    """Return whether this instance reads the store itself.

    The first of a region does; the others take its answers. When these grow stale
    the others begin to read one after the other, so that the store isn't asked by
    all of them at once, also when all have just started.

    Parameters
    ----------
    ranked : sequence of Member
        Instances of the region in the order that all of them agree on.
    own : Member
        This instance.
    age_s : float
        Age in seconds of the newest proof.
    is_reading : bool
        Whether it reads now.
    uptime_s : float
        Seconds since this instance started.
    """
    if uptime_s < HEAR_FIRST_S:
        return False
    rank = next(at for at, member in enumerate(ranked) if member.name == own.name)
    if rank == 0:
        return True
    step_s = STALE_STEP_S * min(rank, MOST_STEPS)
    if age_s == math.inf:
        return uptime_s > FIRST_ANSWER_S + step_s
    patience_s = STALE_S + step_s
    return age_s > (STALE_S / 2 if is_reading else patience_s)


def sources(ranked: Sequence[Member], own: Member) -> list[Member]:
    """Return the instances to ask, best first."""
    others = [member for member in ranked if member.name != own.name]
    staying = [item for item in others if item.state != MemberState.LEAVING]
    return staying[:SOURCES]
