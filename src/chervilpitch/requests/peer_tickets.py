"""Tickets of other incarnations: where they can be used and what came of them."""

from collections.abc import Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from chervilpitch.model import Instance, Refusal, RefusalKind, RunState, Sender

from .messages import FinalRecord
from .outcomes import Answered, Outcome, held_bytes, without_body
from .quota import Quota
from .tickets import KEEP_S, LIFE_S, Ticket

__all__ = ["HeldOutcome", "MAX_HANDED_BYTES", "MAX_HANDED_RECORDS", "PeerTickets"]

MAX_HANDED_RECORDS = 16_384
MAX_HANDED_BYTES = 8 * 2**20
MAX_KEEP_S = LIFE_S + 2 * KEEP_S


class HeldOutcome(NamedTuple):
    """A final outcome handed over by the incarnation that issued the ticket.

    Parameters
    ----------
    origin : Sender
        That incarnation.
    record : FinalRecord
        The record without its encoded outcome.
    outcome : Outcome
        The outcome.
    forget_at_s : float
        Monotonic time in seconds from which it may be dropped.
    """

    origin: Sender
    record: FinalRecord
    outcome: Outcome
    forget_at_s: float


class PeerTickets:
    """Instances known, the incarnation last heard of each, outcomes handed over.

    Which incarnation lives is no proof: a refusal built from it always says
    that it is unknown whether the request ran. A held outcome is final at the
    incarnation that issued the ticket, so it is answered as it stands.

    Parameters
    ----------
    instance : str
        Name of this instance.
    """

    def __init__(self, instance: str):
        self._instance = instance
        self._instances: Mapping[str, Instance] = {}
        self._incarnations: dict[str, int] = {}
        self._held: dict[str, HeldOutcome] = {}
        self._places = Quota(MAX_HANDED_RECORDS)
        self._bytes = Quota(MAX_HANDED_BYTES)

    def follow(self, instances: Mapping[str, Instance]) -> None:
        """Take the instances known; forget incarnations of the others."""
        self._instances = instances
        self._incarnations = {
            name: incarnation
            for name, incarnation in self._incarnations.items()
            if name in instances
        }

    def record_incarnation(self, sender: Sender) -> None:
        """Note the incarnation of a peer."""
        if sender.name in self._instances:
            self._incarnations[sender.name] = sender.incarnation

    def hold(
        self, origin: Sender, record: FinalRecord, outcome: Outcome, now_s: float
    ) -> bool:
        """Keep a handed-over outcome; return whether there was room for it."""
        if record.ticket_id in self._held or not self._places.take(record.account, 1):
            return False
        outcome = self._within_bounds(record.account, outcome)
        forget_at_s = now_s + min(record.keep_s, MAX_KEEP_S)
        bare = record._replace(outcome=b"")
        self._held[record.ticket_id] = HeldOutcome(origin, bare, outcome, forget_at_s)
        return True

    def answer(self, ticket: Ticket, request_digest: str) -> Result[Outcome, Refusal]:
        """Return the outcome of another incarnation's ticket, or a refusal.

        Parameters
        ----------
        ticket : Ticket
            A ticket whose account and route are those of the request.
        request_digest : str
            Digest of the request.

        Returns
        -------
        Result[Outcome, Refusal]
            The outcome handed over, ``TICKET_OF_OTHER_INSTANCE`` with the
            address, or ``TICKET_INSTANCE_GONE``.
        """
        held = self._held.get(ticket.ticket_id)
        if held is None or held.origin != Sender(ticket.instance, ticket.incarnation):
            return Err(self._refusal(ticket))
        if held.record.request_digest not in ("", request_digest):
            return Err(Refusal(RefusalKind.TICKET_INVALID, RunState.UNKNOWN))
        return Ok(held.outcome)

    def forget_due(self, now_s: float) -> None:
        """Drop the handed-over outcomes that are due."""
        due = [held for held in self._held.values() if held.forget_at_s <= now_s]
        for held in due:
            del self._held[held.record.ticket_id]
            self._places.give_back(held.record.account, 1)
            self._bytes.give_back(held.record.account, held_bytes(held.outcome))

    def _within_bounds(self, account: str, outcome: Outcome) -> Outcome:
        if not isinstance(outcome, Answered):
            return outcome
        if self._bytes.take(account, held_bytes(outcome)):
            return outcome
        return without_body(outcome)

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
        heard = self._incarnations.get(ticket.instance, ticket.incarnation)
        return heard != ticket.incarnation
