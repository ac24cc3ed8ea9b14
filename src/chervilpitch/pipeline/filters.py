"""The filters before a request is forwarded."""

from result import Ok, Result

from chervilpitch.model import Refusal, RunState
from chervilpitch.requests import NotRun, Recorded, Unknown

from .exchange import Exchange

__all__ = ["admit", "close_record", "identify", "match_route", "remember"]


def identify(decisions, exchange: Exchange) -> Result[Exchange, Refusal]:
    """Find the client account whose key came with the request.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        The exchange so far.

    Returns
    -------
    Result
        The exchange with its client account, or a refusal.
    """
    account = decisions.identify(exchange.request.presented_key)
    return account.map(lambda found: exchange._replace(account=found))


def match_route(decisions, exchange: Exchange) -> Result[Exchange, Refusal]:
    """Find the route and set the deadline.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        An identified exchange.

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
    """Charge the request to the rate of its client account.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        A remembered exchange.

    Returns
    -------
    Result
        The exchange, or a refusal.
    """
    if exchange.recorded is not None:
        return Ok(exchange)
    admitted = decisions.admit(exchange.account.name, exchange.deadline_at_s)
    if admitted.is_err():
        close_record(decisions, exchange, admitted.unwrap_err())
    return admitted.map(lambda _: exchange)


def remember(decisions, exchange: Exchange) -> Result[Exchange, Refusal]:
    """Let a request that must not be repeated run at most once.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        A routed exchange.

    Returns
    -------
    Result
        The exchange with its record, with a recorded answer, or a refusal.
    """
    if exchange.route.idempotent and exchange.request.ticket is None:
        return Ok(exchange)
    return decisions.begin(exchange).and_then(
        lambda entry: _with_record(exchange, entry)
    )


def close_record(decisions, exchange: Exchange, refusal: Refusal) -> None:
    """Record that a request that must not be repeated was refused.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    exchange : Exchange
        The exchange.
    refusal : Refusal
        The refusal that the caller gets.
    """
    if exchange.record_id is None:
        return
    kind = NotRun if refusal.run is RunState.NOT_RUN else Unknown
    decisions.finish(exchange.record_id, kind(refusal.kind))


def _with_record(exchange, entry):
    if isinstance(entry, Recorded):
        return Ok(exchange._replace(recorded=entry.outcome))
    return Ok(exchange._replace(record_id=entry.record_id))
