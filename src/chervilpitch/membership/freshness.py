"""Age of the view of the fleet, and whether it is recent enough to use."""

from .view import MembershipState

__all__ = ["MAX_TICK_GAP_S", "is_current", "view_age_s"]

MAX_TICK_GAP_S = 3.0
MAX_VIEW_AGE_S = 10.0


def view_age_s(state: MembershipState, now_s: float) -> float:
    """Return the seconds since the list or a two-way heartbeat confirmed the view.

    Parameters
    ----------
    state : MembershipState
        Membership state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Age in seconds; infinity if nothing has confirmed the view.
    """
    confirmed_at_s = max(state.published_list.read_at_s, state.evidence.confirmed_at_s)
    return now_s - confirmed_at_s


def is_current(state: MembershipState, now_s: float) -> bool:
    """Return whether the view is recent enough to be relied on.

    Parameters
    ----------
    state : MembershipState
        Membership state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False if the process was paused for longer than ``MAX_TICK_GAP_S`` or
        nothing confirmed the view for ``MAX_VIEW_AGE_S``.
    """
    if now_s - state.schedule.last_tick_at_s > MAX_TICK_GAP_S:
        return False
    return view_age_s(state, now_s) <= MAX_VIEW_AGE_S
