"""Filters joined into one pipe."""

from collections.abc import Callable, Sequence

from result import Ok, Result

from chervilpitch.model import Refusal

from .exchange import Exchange

__all__ = ["Filter", "Stopwatch", "run"]

Filter = Callable[[Exchange], Result[Exchange, Refusal]]
Stopwatch = Callable[[str, float], None]


def run(
    filters: Sequence[tuple[str, Filter]],
    exchange: Exchange,
    clock: Callable[[], float],
    report: Stopwatch,
) -> Result[Exchange, Refusal]:
    """Pass an exchange through filters until one refuses it.

    Parameters
    ----------
    filters : sequence of pairs
        Name and filter, in order.
    exchange : Exchange
        The exchange before the first filter.
    clock : callable
        Returns seconds; read before and after each filter.
    report : callable
        Takes the name of a filter and the seconds that it took.

    Returns
    -------
    Result
        The exchange after the last filter, or the refusal.

    Examples
    --------
    >>> from result import Ok
    >>> run([], "exchange", lambda: 0.0, print)
    Ok('exchange')
    """
    state = Ok(exchange)
    for name, step in filters:
        started_at_s = clock()
        state = state.and_then(step)
        report(name, clock() - started_at_s)
        if state.is_err():
            break
    return state
