"""Tickets of other incarnations: which instance issued them, and their outcomes."""

from collections.abc import Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from chervilpitch.model import Instance, Refusal, RefusalKind, RunState, Sender

from .messages import FinalRecord
from .outcomes import Answered, Outcome, status_only, stored_bytes
from .shared_capacity import SharedCapacity
from .tickets import RECORD_RETENTION_S, TICKET_LIFETIME_S, Ticket

__all__ = [
    "MAX_RECEIVED_BYTES",
    "MAX_RECEIVED_RECORDS",
    "PeerTickets",
    "ReceivedOutcome",
]

MAX_RECEIVED_RECORDS = 16_384
MAX_RECEIVED_BYTES = 8 * 2**20
MAX_RETENTION_S = TICKET_LIFETIME_S + 2 * RECORD_RETENTION_S


class ReceivedOutcome(NamedTuple):
    """A final outcome handed over by the incarnation that issued the ticket.

    Parameters
    ----------
    origin : Sender
        Incarnation that issued the ticket and handed over the outcome.
    record : FinalRecord
        The record without its encoded outcome.
    outcome : Outcome
        The decoded outcome.
    remove_at_s : float
        Monotonic time in seconds from which it may be removed.
    """

    origin: Sender
    record: FinalRecord
    outcome: Outcome
    remove_at_s: float


class PeerTickets:
    """Known instances, the last incarnation of each, and handed-over outcomes.

    The last incarnation seen proves nothing about a request, so every refusal
    that is based on it says that it is unknown whether the request ran. A
    handed-over outcome is final at the incarnation that issued the ticket, so it
    is returned unchanged.

    Parameters
    ----------
    instance : str
        Name of this instance.
    """

    def __init__(self, instance: str):
        self._instance = instance
        self._instances: Mapping[str, Instance] = {}
        self._last_incarnations: dict[str, int] = {}
        self._received: dict[str, ReceivedOutcome] = {}
        self._record_capacity = SharedCapacity(MAX_RECEIVED_RECORDS)
        self._byte_capacity = SharedCapacity(MAX_RECEIVED_BYTES)

    def update_instances(self, instances: Mapping[str, Instance]) -> None:
        """Replace the known instances and remove incarnations of all others."""
        self._instances = instances
        self._last_incarnations = {
            name: incarnation
            for name, incarnation in self._last_incarnations.items()
            if name in instances
        }

    def record_incarnation(self, sender: Sender) -> None:
        """Record the incarnation of a peer; unknown instances are ignored."""
        if sender.name in self._instances:
            self._last_incarnations[sender.name] = sender.incarnation

    def store_outcome(
        self, origin: Sender, record: FinalRecord, outcome: Outcome, now_s: float
    ) -> bool:
        """Store a handed-over outcome and return whether it was stored.

        It is not stored if the ticket already has one or the account has no space
        for another record. Without space for its payload only its status is stored.
        """
        if record.ticket_id in self._received or not self._record_capacity.acquire(
            record.account, 1
        ):
            return False
        outcome = self._fit_to_capacity(record.account, outcome)
        remove_at_s = now_s + min(record.keep_s, MAX_RETENTION_S)
        without_outcome = record._replace(outcome=b"")
        self._received[record.ticket_id] = ReceivedOutcome(
            origin, without_outcome, outcome, remove_at_s
        )
        return True

    def look_up(self, ticket: Ticket, request_digest: str) -> Result[Outcome, Refusal]:
        """Return the outcome of a ticket of another incarnation, or a refusal.

        Parameters
        ----------
        ticket : Ticket
            A ticket whose account and route match the request.
        request_digest : str
            Digest of the request.

        Returns
        -------
        Result[Outcome, Refusal]
            The handed-over outcome; otherwise ``TICKET_OF_OTHER_INSTANCE`` with
            the address of the issuing instance, ``TICKET_INSTANCE_GONE``, or
            ``TICKET_INVALID`` if another request used the ticket.
        """
        item = self._received.get(ticket.ticket_id)
        if item is None or item.origin != Sender(ticket.instance, ticket.incarnation):
            return Err(self._refusal(ticket))
        if item.record.request_digest not in ("", request_digest):
            return Err(Refusal(RefusalKind.TICKET_INVALID, RunState.UNKNOWN))
        return Ok(item.outcome)

    def remove_expired(self, now_s: float) -> None:
        """Remove the handed-over outcomes whose retention time is over."""
        expired = [
            item for item in self._received.values() if item.remove_at_s <= now_s
        ]
        for item in expired:
            del self._received[item.record.ticket_id]
            self._record_capacity.release(item.record.account, 1)
            self._byte_capacity.release(item.record.account, stored_bytes(item.outcome))

    def _fit_to_capacity(self, account: str, outcome: Outcome) -> Outcome:
        if not isinstance(outcome, Answered):
            return outcome
        if self._byte_capacity.acquire(account, stored_bytes(outcome)):
            return outcome
        return status_only(outcome)

    def _refusal(self, ticket: Ticket) -> Refusal:
        if self._is_gone(ticket):
            return Refusal(RefusalKind.TICKET_INSTANCE_GONE, RunState.UNKNOWN)
        address = self._instances[ticket.instance].callers_address
        return Refusal(
            RefusalKind.TICKET_OF_OTHER_INSTANCE, RunState.UNKNOWN, (address,)
        )

    def _is_gone(self, ticket: Ticket) -> bool:
        if ticket.instance == self._instance:
            return True
        if ticket.instance not in self._instances:
            return True
        last = self._last_incarnations.get(ticket.instance, ticket.incarnation)
        return last != ticket.incarnation
