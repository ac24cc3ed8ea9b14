"""Which instances of a region read the store for the others."""

from collections.abc import Sequence

from .members import Member, MemberState

__all__ = ["is_reader", "sources"]

STALE_S = 2.3
STALE_STEP_S = 0.25
MOST_STEPS = 4
SOURCES = 3


def is_reader(
    ranked: Sequence[Member], own: Member, age_s: float, is_reading: bool
) -> bool:
    """Return whether this instance reads the store itself.

    The first of a region does; the others take its answers. When these grow stale
    the others begin to read one after the other, so that the store isn't asked by
    all of them at once.

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
    """
    rank = next(at for at, member in enumerate(ranked) if member.name == own.name)
    if rank == 0:
        return True
    patience_s = STALE_S + STALE_STEP_S * min(rank, MOST_STEPS)
    return age_s > (STALE_S / 2 if is_reading else patience_s)


def sources(ranked: Sequence[Member], own: Member) -> list[Member]:
    """Return the instances to ask, best first."""
    others = [member for member in ranked if member.name != own.name]
    staying = [item for item in others if item.state != MemberState.LEAVING]
    return staying[:SOURCES]
