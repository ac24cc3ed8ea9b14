"""Decisions that let a request run at most once."""

from collections.abc import Mapping

from result import Err, Ok, Result

from chervilpitch.model import (
    Effect,
    Event,
    Instance,
    Record,
    Refusal,
    RefusalKind,
    RunState,
)

from .outcomes import NotRun, Outcome, Unknown
from .records import FirstRun, Phase, Recorded, TicketRecord, TicketRecords
from .tickets import LIFE_S, Ticket, sign_ticket

__all__ = [
    "begin_request",
    "issue_ticket",
    "record_outcome",
    "refuse_request",
    "tick",
    "update_instances",
]

RETRY_AFTER_S = 1.0

_REQUIRED = Refusal(RefusalKind.TICKET_REQUIRED, RunState.NOT_RUN)
_INVALID = Refusal(RefusalKind.TICKET_INVALID, RunState.UNKNOWN)
_EXPIRED = Refusal(RefusalKind.TICKET_EXPIRED, RunState.NOT_RUN)
_FORGOTTEN = Refusal(RefusalKind.TICKET_EXPIRED, RunState.UNKNOWN)


def issue_ticket(
    state: TicketRecords, account: str, route: str, ticket_id: str, now_s: float
) -> Result[str, Refusal]:
    """Issue a ticket of this incarnation and keep a place for its record.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; changed.
    account, route : str
        Names of the client account and the route.
    ticket_id : str
        Random text of at least 128 bits, never given before.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Result[str, Refusal]
        The text of the ticket; ``RECORDS_FULL`` when there is no room for the
        account, ``NOT_READY`` when the instance is stopping.
    """
    if not state.is_granting:
        return Err(Refusal(RefusalKind.NOT_READY, RunState.NOT_RUN))
    deadline_at_s = now_s + LIFE_S
    ticket = Ticket(
        ticket_id, state.instance, state.incarnation, account, route, deadline_at_s
    )
    if not state.add(ticket):
        retry_at_s = now_s + RETRY_AFTER_S
        return Err(Refusal(RefusalKind.RECORDS_FULL, RunState.NOT_RUN, (), retry_at_s))
    return Ok(sign_ticket(state.secret, ticket))


def begin_request(
    state: TicketRecords,
    ticket: Ticket | None,
    account: str,
    route: str,
    request_digest: str,
    now_s: float,
) -> Result[FirstRun | Recorded, Refusal]:
    """Decide whether a request that must not be repeated may run now.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; changed.
    ticket : Ticket or None
        The verified ticket that came with the request, if any.
    account, route : str
        Names of the client account and the route of the request.
    request_digest : str
        Digest of the whole request, body included.
    now_s : float
        Monotonic time in seconds, read after the request came in.

    Returns
    -------
    Result[FirstRun | Recorded, Refusal]
        ``FirstRun`` once for each ticket; ``Recorded`` once it has ended.

    Notes
    -----
    ``not-run`` speaks of the ticket, not of the message: nothing has run under
    it and nothing will. A ticket of another account or route, or one used by a
    different request, is refused as ``unknown``.
    """
    if ticket is None:
        return Err(_REQUIRED)
    if (ticket.account, ticket.route) != (account, route):
        return Err(_INVALID)
    if (ticket.instance, ticket.incarnation) != (state.instance, state.incarnation):
        return state.peer_tickets.answer(ticket, request_digest).map(Recorded)
    record = state.get(ticket.ticket_id)
    if record is None:
        return Err(_FORGOTTEN)
    if record.phase is Phase.UNUSED:
        return _use(state, record, request_digest, now_s)
    return _repeat(record, request_digest, now_s)


def refuse_request(
    state: TicketRecords,
    ticket: Ticket | None,
    account: str,
    route: str,
    request_digest: str,
    refusal: Refusal,
    now_s: float,
) -> Refusal | Recorded:
    """Refuse a request before it runs and close its ticket.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; changed.
    ticket, account, route, request_digest, now_s
        As for :func:`begin`.
    refusal : Refusal
        Why the request may not run.

    Returns
    -------
    Refusal or Recorded
        What the caller gets: the refusal when nothing has run and nothing will,
        otherwise what a repeat of the request gets.
    """
    if ticket is None:
        return refusal
    result = begin_request(state, ticket, account, route, request_digest, now_s)
    match result:
        case Ok(FirstRun(record_id)):
            record_outcome(state, record_id, NotRun(refusal.kind), now_s)
            return refusal._replace(run=RunState.NOT_RUN)
        case Ok(recorded):
            return recorded
        case Err(other):
            return other


def record_outcome(
    state: TicketRecords, record_id: str, outcome: Outcome, now_s: float
) -> tuple[Effect, ...]:
    """Record how a first run ended; the first outcome given is final.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; changed.
    record_id : str
        Identifier from :class:`FirstRun`.
    outcome : Outcome
        ``NotRun`` only with proof that no upstream ran the request.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        An event when it is unknown whether the request ran.
    """
    record = state.get(record_id)
    if record is None or record.phase is not Phase.RUNNING:
        return ()
    state.close(record, outcome, now_s)
    if isinstance(outcome, Unknown):
        event = Event("requests", "outcome-unknown", record_id, outcome.kind.value)
        return (Record(event),)
    return ()


def tick(state: TicketRecords, now_s: float) -> tuple[Effect, ...]:
    """Forget the records that are due.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; changed.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.forget_due(now_s)
    state.peer_tickets.forget_due(now_s)
    return ()


def update_instances(
    state: TicketRecords, instances: Mapping[str, Instance], now_s: float
) -> tuple[Effect, ...]:
    """Take the instances known, by name.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; changed.
    instances : mapping of str to Instance
        The instances.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.peer_tickets.follow(instances)
    return ()


def _use(
    state: TicketRecords, record: TicketRecord, request_digest: str, now_s: float
) -> Result[FirstRun | Recorded, Refusal]:
    record.request_digest = request_digest
    if now_s >= record.ticket.deadline_at_s:
        state.close(record, NotRun(RefusalKind.TICKET_EXPIRED), now_s)
        return Err(_EXPIRED)
    record.phase = Phase.RUNNING
    return Ok(FirstRun(record.ticket.ticket_id))


def _repeat(
    record: TicketRecord, request_digest: str, now_s: float
) -> Result[FirstRun | Recorded, Refusal]:
    if record.request_digest not in ("", request_digest):
        return Err(_INVALID)
    if record.outcome is None:
        retry_at_s = now_s + RETRY_AFTER_S
        return Err(
            Refusal(RefusalKind.REPEAT_IN_PROGRESS, RunState.UNKNOWN, (), retry_at_s)
        )
    return Ok(Recorded(record.outcome))
