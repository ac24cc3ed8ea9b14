"""Signed single-use tickets; each is valid at a single incarnation of an instance."""

import base64
import binascii
import hashlib
import hmac
from typing import NamedTuple

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from chervilpitch.model import Refusal, RefusalKind, RunState

__all__ = [
    "MAX_TICKET_BYTES",
    "RECORD_RETENTION_S",
    "TICKET_LIFETIME_S",
    "Ticket",
    "sign_ticket",
    "verify_ticket",
]

TICKET_LIFETIME_S = 60.0
RECORD_RETENTION_S = 120.0
MAX_TICKET_BYTES = 2_048

_MAC_BYTES = hashlib.sha256().digest_size
_MAC_CONTEXT = b"chervilpitch ticket 1\0"
_INVALID = Refusal(RefusalKind.TICKET_INVALID, RunState.UNKNOWN)


class Ticket(NamedTuple):
    """The right to run one request once, at one incarnation of one instance.

    Parameters
    ----------
    ticket_id : str
        Unique random identifier.
    instance : str
        Name of the issuing instance, the only one that may run the request.
    incarnation : int
        Incarnation of that instance.
    account : str
        Name of the client account that the ticket was issued to.
    route : str
        Name of the route for which the ticket is valid.
    deadline_at_s : float
        Monotonic time of the issuing incarnation in seconds; from then on the
        ticket cannot be used for the first time.
    """

    ticket_id: str
    instance: str
    incarnation: int
    account: str
    route: str
    deadline_at_s: float


_CODEC = TypeAdapter(Ticket)


def sign_ticket(secret: bytes, ticket: Ticket) -> str:
    """Encode and sign a ticket.

    Parameters
    ----------
    secret : bytes
        Secret shared by the instances of the fleet.
    ticket : Ticket
        The ticket.

    Returns
    -------
    str
        URL-safe text for an HTTP header.

    Examples
    --------
    >>> ticket = Ticket("7f", "a", 1, "fitters", "booking", 60.0)
    >>> verify_ticket(b"secret", sign_ticket(b"secret", ticket)).unwrap() == ticket
    True
    >>> verify_ticket(b"other", sign_ticket(b"secret", ticket)).unwrap_err().kind
    <RefusalKind.TICKET_INVALID: 'ticket-invalid'>
    """
    payload = _CODEC.dump_json(ticket)
    return base64.urlsafe_b64encode(_mac(secret, payload) + payload).decode()


def verify_ticket(secret: bytes, text: str) -> Result[Ticket, Refusal]:
    """Verify and decode the signed text of a ticket.

    Parameters
    ----------
    secret : bytes
        Secret shared by the instances of the fleet.
    text : str
        Text as sent by the caller.

    Returns
    -------
    Result[Ticket, Refusal]
        The ticket; ``TICKET_INVALID`` if the text was not issued by the fleet.

    Notes
    -----
    The payload is decoded only after its authentication code has been compared in
    constant time. The deadline is not checked here because it refers to the clock
    of the issuing incarnation. A refusal says ``unknown``, since a ticket that was
    damaged, or signed with a secret replaced since then, may belong to a request
    that ran.
    """
    if len(text) > MAX_TICKET_BYTES:
        return Err(_INVALID)
    try:
        signed = base64.b64decode(text.encode("ascii"), b"-_", validate=True)
    except (UnicodeEncodeError, binascii.Error):
        return Err(_INVALID)
    mac, payload = signed[:_MAC_BYTES], signed[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(secret, payload)):
        return Err(_INVALID)
    return _decode(payload)


def _mac(secret: bytes, payload: bytes) -> bytes:
    return hmac.digest(secret, _MAC_CONTEXT + payload, "sha256")


def _decode(payload: bytes) -> Result[Ticket, Refusal]:
    try:
        return Ok(_CODEC.validate_json(payload))
    except ValidationError:
        return Err(_INVALID)
