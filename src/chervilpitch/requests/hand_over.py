"""Final outcomes handed over by an instance that stops gracefully."""

from functools import singledispatch
from typing import Literal, NamedTuple

from pydantic import ConfigDict, TypeAdapter, ValidationError
from result import Err, Ok, Result

from chervilpitch.model import Effect, Event, Record, RefusalKind, Send, Sender

from .messages import FinalOutcomes, FinalRecord
from .outcomes import Answered, NotRun, Outcome, Unknown
from .records import Phase, TicketRecord, TicketRecords

__all__ = [
    "OutcomeMalformed",
    "close_unused_tickets",
    "decode_outcome",
    "encode_outcome",
    "hand_over",
    "has_open_tickets",
    "receive",
]

MAX_RECORDS_PER_MESSAGE = 64

_Tagged = (
    tuple[Literal["answered"], Answered]
    | tuple[Literal["not-run"], NotRun]
    | tuple[Literal["unknown"], Unknown]
)
_TAGS = {Answered: "answered", NotRun: "not-run", Unknown: "unknown"}
_CODEC = TypeAdapter(
    _Tagged, config=ConfigDict(ser_json_bytes="base64", val_json_bytes="base64")
)


class OutcomeMalformed(NamedTuple):
    """Bytes that are no outcome.

    Parameters
    ----------
    length : int
        Number of bytes.
    """

    length: int


def encode_outcome(outcome: Outcome) -> bytes:
    """Return an outcome as bytes.

    Parameters
    ----------
    outcome : Outcome
        The outcome.

    Returns
    -------
    bytes
        JSON.

    Examples
    --------
    >>> outcome = Answered(201, (("etag", "7"),), bytes([0, 255]))
    >>> decode_outcome(encode_outcome(outcome)).unwrap() == outcome
    True
    """
    return _CODEC.dump_json((_TAGS[type(outcome)], outcome))


def decode_outcome(encoded: bytes) -> Result[Outcome, OutcomeMalformed]:
    """Return the outcome of its bytes.

    Parameters
    ----------
    encoded : bytes
        JSON, from an authenticated peer.

    Returns
    -------
    Result[Outcome, OutcomeMalformed]
        The outcome.
    """
    try:
        return Ok(_CODEC.validate_json(encoded)[1])
    except ValidationError:
        return Err(OutcomeMalformed(len(encoded)))


def has_open_tickets(state: TicketRecords, now_s: float) -> bool:
    """Return whether a request is running or may still be started.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False when every outcome is final.
    """
    return any(_is_open(record, now_s) for record in state)


def close_unused_tickets(state: TicketRecords, now_s: float) -> int:
    """Close every ticket that was not used, so that nothing runs under it.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; changed.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    int
        Number of tickets closed.
    """
    unused = [record for record in state if record.phase is Phase.UNUSED]
    for record in unused:
        state.close(record, NotRun(RefusalKind.NOT_READY), now_s)
    return len(unused)


def hand_over(
    state: TicketRecords, to: tuple[str, ...], now_s: float
) -> tuple[Effect, ...]:
    """Send every final outcome to other instances.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation.
    to : tuple of str
        Names of the receiving instances.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        The messages.

    Notes
    -----
    A final outcome never changes, so any number of instances may hold and answer
    it. Tickets that are unused or running are not handed over: no other
    instance may ever run them.
    """
    records = tuple(
        _final_record(record, now_s)
        for record in state
        if record.phase is Phase.FINAL and record.forget_at_s > now_s
    )
    starts = range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    parts = [records[start : start + MAX_RECORDS_PER_MESSAGE] for start in starts]
    return tuple(Send(name, FinalOutcomes(part)) for name in to for part in parts)


@singledispatch
def receive(
    message, state: TicketRecords, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Take a message of a peer.

    Parameters
    ----------
    message : NamedTuple
        The message.
    state : TicketRecords
        Records of this incarnation; changed.
    sender : Sender
        The authenticated sender.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        An event for each outcome that could not be read.

    Raises
    ------
    TypeError
        If the message is of another part.
    """
    raise TypeError(type(message))


@receive.register
def _(message: FinalOutcomes, state: TicketRecords, sender: Sender, now_s: float):
    state.peer_tickets.record_incarnation(sender)
    malformed = []
    for record in message.records:
        match decode_outcome(record.outcome):
            case Ok(outcome):
                state.peer_tickets.hold(sender, record, outcome, now_s)
            case Err():
                malformed.append(record.ticket_id)
    return tuple(
        Record(Event("requests", "outcome-malformed", ticket_id, sender.name))
        for ticket_id in malformed
    )


def _is_open(record: TicketRecord, now_s: float) -> bool:
    if record.phase is Phase.UNUSED:
        return now_s < record.ticket.deadline_at_s
    return record.phase is Phase.RUNNING


def _final_record(record: TicketRecord, now_s: float) -> FinalRecord:
    return FinalRecord(
        record.ticket.ticket_id,
        record.ticket.account,
        record.ticket.route,
        record.request_digest,
        encode_outcome(record.outcome),
        record.forget_at_s - now_s,
    )
