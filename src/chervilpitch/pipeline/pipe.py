"""Runner of a sequence of filters."""

from collections.abc import Callable, Sequence

from result import Ok, Result

from chervilpitch.model import Refusal

from .exchange import Exchange

__all__ = ["Filter", "DurationObserver", "run_filters"]

Filter = Callable[[Exchange], Result[Exchange, Refusal]]
DurationObserver = Callable[[str, float], None]


def run_filters(
    filters: Sequence[tuple[str, Filter]],
    exchange: Exchange,
    clock: Callable[[], float],
    observe_duration: DurationObserver,
) -> Result[Exchange, Refusal]:
    """Apply filters to an exchange in order until one refuses it.

    Parameters
    ----------
    filters : sequence of pairs
        Name of each filter and the filter.
    exchange : Exchange
        The exchange before the first filter.
    clock : callable
        Returns monotonic seconds; called before and after each filter.
    observe_duration : callable
        Called with the name of each filter and its run time in seconds.

    Returns
    -------
    Result
        The exchange after the last filter, or the refusal.

    Examples
    --------
    >>> from result import Ok
    >>> run_filters([], "exchange", lambda: 0.0, print)
    Ok('exchange')
    """
    state = Ok(exchange)
    for name, apply_filter in filters:
        started_at_s = clock()
        state = state.and_then(apply_filter)
        observe_duration(name, clock() - started_at_s)
        if state.is_err():
            break
    return state
