"""Handover of final outcomes by an instance that stops gracefully."""

from functools import singledispatch
from typing import Literal, NamedTuple

from pydantic import ConfigDict, TypeAdapter, ValidationError
from result import Err, Ok, Result

from chervilpitch.model import Effect, Event, Record, RefusalKind, Send, Sender

from .messages import FinalOutcomes, FinalRecord
from .outcomes import Answered, NotRun, Outcome, Unknown
from .records import TicketPhase, TicketRecord, TicketRecords

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
    """Bytes that do not encode an outcome.

    Parameters
    ----------
    length : int
        Number of bytes received.
    """

    length: int


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode an outcome.

    Parameters
    ----------
    outcome : Outcome
        The outcome.

    Returns
    -------
    bytes
        JSON text.

    Examples
    --------
    >>> outcome = Answered(201, (("etag", "7"),), bytes([0, 255]))
    >>> decode_outcome(encode_outcome(outcome)).unwrap() == outcome
    True
    """
    return _CODEC.dump_json((_TAGS[type(outcome)], outcome))


def decode_outcome(encoded: bytes) -> Result[Outcome, OutcomeMalformed]:
    """Decode an outcome.

    Parameters
    ----------
    encoded : bytes
        JSON text received from an authenticated peer.

    Returns
    -------
    Result[Outcome, OutcomeMalformed]
        The outcome, or an error if the bytes do not encode one.
    """
    try:
        return Ok(_CODEC.validate_json(encoded)[1])
    except ValidationError:
        return Err(OutcomeMalformed(len(encoded)))


def has_open_tickets(state: TicketRecords, now_s: float) -> bool:
    """Return whether a request with a ticket is running or may still start.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False if every ticket has a final outcome or has expired unused.
    """
    return any(_is_open(record, now_s) for record in state)


def close_unused_tickets(state: TicketRecords, now_s: float) -> int:
    """Make every unused ticket final, so that no request can run with it.

    Parameters
    ----------
    state : TicketRecords
        Records of this incarnation; modified in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    int
        Number of tickets closed.
    """
    unused = [record for record in state if record.phase is TicketPhase.UNUSED]
    for record in unused:
        state.finalize(record, NotRun(RefusalKind.NOT_READY), now_s)
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
    A final outcome never changes, so any number of instances may store and
    return it. Unused tickets and running requests are not handed over, because
    no other instance may ever run them.
    """
    records = tuple(
        _final_record(record, now_s)
        for record in state
        if record.phase is TicketPhase.FINAL and record.remove_at_s > now_s
    )
    starts = range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    parts = [records[start : start + MAX_RECORDS_PER_MESSAGE] for start in starts]
    return tuple(Send(name, FinalOutcomes(part)) for name in to for part in parts)


@singledispatch
def receive(
    message, state: TicketRecords, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Handle a message of a peer.

    Parameters
    ----------
    message : NamedTuple
        The message.
    state : TicketRecords
        Records of this incarnation; modified in place.
    sender : Sender
        The authenticated sender.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        An event for each outcome that could not be decoded.

    Raises
    ------
    TypeError
        If the message belongs to another package.
    """
    raise TypeError(f"unsupported message type: {type(message).__name__}")


@receive.register
def _(message: FinalOutcomes, state: TicketRecords, sender: Sender, now_s: float):
    state.peer_tickets.record_incarnation(sender)
    malformed = []
    for record in message.records:
        match decode_outcome(record.outcome):
            case Ok(outcome):
                state.peer_tickets.store_outcome(sender, record, outcome, now_s)
            case Err():
                malformed.append(record.ticket_id)
    return tuple(
        Record(Event("requests", "outcome-malformed", ticket_id, sender.name))
        for ticket_id in malformed
    )


def _is_open(record: TicketRecord, now_s: float) -> bool:
    if record.phase is TicketPhase.UNUSED:
        return now_s < record.ticket.deadline_at_s
    return record.phase is TicketPhase.RUNNING


def _final_record(record: TicketRecord, now_s: float) -> FinalRecord:
    return FinalRecord(
        record.ticket.ticket_id,
        record.ticket.account,
        record.ticket.route,
        record.request_digest,
        encode_outcome(record.outcome),
        record.remove_at_s - now_s,
    )
