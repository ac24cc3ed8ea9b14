"""How old the view of the fleet is, also after a pause."""

from .view import MembershipState

__all__ = ["PAUSE_S", "is_current", "view_age"]

PAUSE_S = 3.0
CURRENT_FOR_S = 10.0


def view_age(state: MembershipState, now_s: float) -> float:
    """Return how long ago the list or a two-way heartbeat confirmed the view.

    Parameters
    ----------
    state : MembershipState
        State.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Age in seconds; infinite when nothing has confirmed it.
    """
    confirmed_at_s = max(state.followed.read_at_s, state.evidence.confirmed_at_s)
    return now_s - confirmed_at_s


def is_current(state: MembershipState, now_s: float) -> bool:
    """Return whether the view may be trusted after a pause or a cut.

    Parameters
    ----------
    state : MembershipState
        State.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False when the process has not run for seconds or heard nothing lately.
    """
    if now_s - state.schedule.last_tick_at_s > PAUSE_S:
        return False
    return view_age(state, now_s) <= CURRENT_FOR_S
