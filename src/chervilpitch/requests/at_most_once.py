"""At-most-once execution of non-idempotent requests."""

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
from .records import FirstRun, Recorded, TicketPhase, TicketRecord, TicketRecords
from .tickets import TICKET_LIFETIME_S, Ticket, sign_ticket

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
_RECORD_REMOVED = Refusal(RefusalKind.TICKET_EXPIRED, RunState.UNKNOWN)


def issue_ticket(
    state: TicketRecords, account: str, route: str, ticket_id: str, now_s: float
) -> Result[str, Refusal]:
    """Issue a ticket of this incarnation and reserve the space for its record.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; modified in place.
    account, route : str
        Names of the client account and the route.
    ticket_id : str
        Random text of at least 128 bits that was never used before.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Result[str, Refusal]
        The signed text of the ticket; ``RECORDS_FULL`` when the account has no
        space left, ``NOT_READY`` when the instance is stopping.
    """
    if not state.is_issuing:
        return Err(Refusal(RefusalKind.NOT_READY, RunState.NOT_RUN))
    deadline_at_s = now_s + TICKET_LIFETIME_S
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
    """Decide whether a non-idempotent request may run now.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; modified in place.
    ticket : Ticket or None
        The verified ticket that came with the request, if any.
    account, route : str
        Names of the client account and the route of the request.
    request_digest : str
        Digest of the whole request, including the body.
    now_s : float
        Monotonic time in seconds, read after the request was received.

    Returns
    -------
    Result[FirstRun | Recorded, Refusal]
        ``FirstRun`` at most once per ticket; ``Recorded`` once the outcome is
        final. Otherwise ``TICKET_REQUIRED``, ``TICKET_INVALID``,
        ``TICKET_EXPIRED``, ``REPEAT_IN_PROGRESS``, or for a ticket of another
        incarnation a refusal of :meth:`PeerTickets.look_up`.

    Notes
    -----
    ``not-run`` describes the ticket, not the single message: nothing has run
    with this ticket and nothing will. A ticket that belongs to another account or
    route, or that a different request has used, is refused as ``unknown``.
    """
    if ticket is None:
        return Err(_REQUIRED)
    if (ticket.account, ticket.route) != (account, route):
        return Err(_INVALID)
    if (ticket.instance, ticket.incarnation) != (state.instance, state.incarnation):
        return state.peer_tickets.look_up(ticket, request_digest).map(Recorded)
    record = state.get(ticket.ticket_id)
    if record is None:
        return Err(_RECORD_REMOVED)
    if record.phase is TicketPhase.UNUSED:
        return _start_first_run(state, record, request_digest, now_s)
    return _handle_repeat(record, request_digest, now_s)


def refuse_request(
    state: TicketRecords,
    ticket: Ticket | None,
    account: str,
    route: str,
    request_digest: str,
    refusal: Refusal,
    now_s: float,
) -> Refusal | Recorded:
    """Refuse a request before it runs and make its ticket unusable.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; modified in place.
    ticket, account, route, request_digest, now_s
        As for :func:`begin_request`.
    refusal : Refusal
        Why the request may not run.

    Returns
    -------
    Refusal or Recorded
        Response for the caller: the refusal if nothing has run and nothing will,
        otherwise the same as for a repeated request.
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
    """Record the outcome of a first run; later outcomes are ignored.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; modified in place.
    record_id : str
        Identifier from :class:`FirstRun`.
    outcome : Outcome
        ``NotRun`` only if it is proved that no upstream ran the request.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        An event if it is unknown whether the request ran.
    """
    record = state.get(record_id)
    if record is None or record.phase is not TicketPhase.RUNNING:
        return ()
    state.finalize(record, outcome, now_s)
    if isinstance(outcome, Unknown):
        event = Event("requests", "outcome-unknown", record_id, outcome.kind.value)
        return (Record(event),)
    return ()


def tick(state: TicketRecords, now_s: float) -> tuple[Effect, ...]:
    """Remove the records whose retention time is over.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; modified in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.remove_expired(now_s)
    state.peer_tickets.remove_expired(now_s)
    return ()


def update_instances(
    state: TicketRecords, instances: Mapping[str, Instance], now_s: float
) -> tuple[Effect, ...]:
    """Replace the known instances.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; modified in place.
    instances : mapping of str to Instance
        Instances by name.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Always empty.
    """
    state.peer_tickets.update_instances(instances)
    return ()


def _start_first_run(
    state: TicketRecords, record: TicketRecord, request_digest: str, now_s: float
) -> Result[FirstRun | Recorded, Refusal]:
    record.request_digest = request_digest
    if now_s >= record.ticket.deadline_at_s:
        state.finalize(record, NotRun(RefusalKind.TICKET_EXPIRED), now_s)
        return Err(_EXPIRED)
    record.phase = TicketPhase.RUNNING
    return Ok(FirstRun(record.ticket.ticket_id))


def _handle_repeat(
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
