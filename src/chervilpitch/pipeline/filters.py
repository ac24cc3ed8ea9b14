"""Filters that run before a request is forwarded."""

from result import Ok, Result

from chervilpitch.model import Refusal, RunState
from chervilpitch.requests import NotRun, Recorded, Unknown

from .exchange import Exchange

__all__ = ["admit", "begin_at_most_once", "close_record", "identify", "match_route"]


def identify(decisions, exchange: Exchange) -> Result[Exchange, Refusal]:
    """Find the client account whose key came with the request.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        The exchange before the filter.

    Returns
    -------
    Result
        The exchange with its client account, or a refusal.
    """
    account = decisions.identify(exchange.request.presented_key)
    return account.map(lambda found: exchange._replace(account=found))


def match_route(decisions, exchange: Exchange) -> Result[Exchange, Refusal]:
    """Match the route of the request and set its deadline.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        An exchange whose client account is known.

    Returns
    -------
    Result
        The exchange with its route and deadline, or a refusal.
    """
    route = decisions.match(exchange.request.path, exchange.account.name)
    return route.map(
        lambda found: exchange._replace(
            route=found,
            deadline_at_s=exchange.request.received_at_s + found.timeout_s,
        )
    )


def admit(decisions, exchange: Exchange) -> Result[Exchange, Refusal]:
    """Charge the request to the token bucket of its client account.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        An exchange that passed :func:`begin_at_most_once`.

    Returns
    -------
    Result
        The exchange, or a refusal. An exchange with a recorded outcome is not
        charged again.
    """
    if exchange.recorded_outcome is not None:
        return Ok(exchange)
    admitted = decisions.admit(exchange.account.name, exchange.deadline_at_s)
    if admitted.is_err():
        close_record(decisions, exchange, admitted.unwrap_err())
    return admitted.map(lambda _: exchange)


def begin_at_most_once(decisions, exchange: Exchange) -> Result[Exchange, Refusal]:
    """Start the at-most-once record of a request that needs one.

    An idempotent request without a ticket needs none.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        An exchange whose route is known.

    Returns
    -------
    Result
        The exchange with its record or with the outcome of an earlier request,
        or a refusal.
    """
    if exchange.route.idempotent and exchange.request.ticket is None:
        return Ok(exchange)
    return decisions.begin(exchange).and_then(
        lambda entry: _with_record(exchange, entry)
    )


def close_record(decisions, exchange: Exchange, refusal: Refusal) -> None:
    """Write a refusal to the at-most-once record of an exchange, if it has one.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        The exchange.
    refusal : Refusal
        The refusal that is sent to the caller.
    """
    if exchange.record_id is None:
        return
    kind = NotRun if refusal.run is RunState.NOT_RUN else Unknown
    decisions.finish(exchange.record_id, kind(refusal.kind))


def _with_record(exchange, entry):
    if isinstance(entry, Recorded):
        return Ok(exchange._replace(recorded_outcome=entry.outcome))
    return Ok(exchange._replace(record_id=entry.record_id))
