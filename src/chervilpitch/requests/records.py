"""Records of the tickets that one incarnation has issued."""

from enum import Enum
from heapq import heappop, heappush
from typing import NamedTuple

from .outcomes import Answered, Outcome, held_bytes, without_body
from .peer_tickets import PeerTickets
from .quota import Quota
from .tickets import KEEP_S, Ticket

__all__ = [
    "FirstRun",
    "MAX_BODY_BYTES",
    "MAX_HELD_BYTES",
    "MAX_RECORDS",
    "Phase",
    "Recorded",
    "TicketRecord",
    "TicketRecords",
]

MAX_RECORDS = 16_384
MAX_HELD_BYTES = 16 * 2**20
MAX_BODY_BYTES = 64 * 2**10


class Phase(Enum):
    """How far the request of a ticket has come."""

    UNUSED = 1
    RUNNING = 2
    FINAL = 3


class FirstRun(NamedTuple):
    """The request may run now; its outcome must be given to ``finish``.

    Parameters
    ----------
    record_id : str
        Identifier of the record; the upstream gets it as the request's id.
    """

    record_id: str


class Recorded(NamedTuple):
    """The request has ended; a repeat gets this outcome.

    Parameters
    ----------
    outcome : Outcome
        The final outcome.
    """

    outcome: Outcome


class TicketRecord:
    """What is known of one ticket.

    Parameters
    ----------
    ticket : Ticket
        The ticket as issued.
    """

    __slots__ = ("ticket", "phase", "request_digest", "outcome", "forget_at_s")

    def __init__(self, ticket: Ticket):
        self.ticket = ticket
        self.phase = Phase.UNUSED
        self.request_digest = ""
        self.outcome: Outcome | None = None
        self.forget_at_s = ticket.deadline_at_s + KEEP_S


class TicketRecords:
    """Records of one incarnation, bounded in number and bytes.

    A record is made when its ticket is issued, so a ticket that exists always
    has its place: no request is ever refused for want of a record, and none is
    forgotten early to make room.

    Parameters
    ----------
    instance : str
        Name of this instance.
    incarnation : int
        Random number drawn when this process started.
    secret : bytes
        Secret shared by the instances of the fleet.
    max_records : int
        Tickets remembered at once.
    max_held_bytes : int
        Bytes of recorded answers held at once.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        secret: bytes,
        max_records: int = MAX_RECORDS,
        max_held_bytes: int = MAX_HELD_BYTES,
    ):
        self._instance = instance
        self._incarnation = incarnation
        self._secret = secret
        self._granting = True
        self._by_id: dict[str, TicketRecord] = {}
        self._due: list[tuple[float, str]] = []
        self._places = Quota(max_records)
        self._bytes = Quota(max_held_bytes)
        self._directory = PeerTickets(instance)

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    @property
    def incarnation(self) -> int:
        """Incarnation of this instance."""
        return self._incarnation

    @property
    def secret(self) -> bytes:
        """Secret shared by the instances of the fleet."""
        return self._secret

    @property
    def peer_tickets(self) -> PeerTickets:
        """What is known of the tickets of other incarnations."""
        return self._directory

    @property
    def is_granting(self) -> bool:
        """Whether tickets are still issued."""
        return self._granting

    @property
    def held_bytes(self) -> int:
        """Bytes of recorded answers held."""
        return self._bytes.used

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self):
        return iter(self._by_id.values())

    def get(self, ticket_id: str) -> TicketRecord | None:
        """Return the record of a ticket, or None."""
        return self._by_id.get(ticket_id)

    def stop_granting(self) -> None:
        """Issue no further ticket."""
        self._granting = False

    def add(self, ticket: Ticket) -> bool:
        """Make the record of a new ticket; return whether there was room."""
        if ticket.ticket_id in self._by_id:
            return False
        if not self._places.take(ticket.account, 1):
            return False
        record = TicketRecord(ticket)
        self._by_id[ticket.ticket_id] = record
        heappush(self._due, (record.forget_at_s, ticket.ticket_id))
        return True

    def close(self, record: TicketRecord, outcome: Outcome, now_s: float) -> None:
        """Make an outcome final; hold its body when there is room for it."""
        record.outcome = self._within_bounds(record.ticket.account, outcome)
        record.phase = Phase.FINAL
        record.forget_at_s = max(record.forget_at_s, now_s + KEEP_S)

    def forget_due(self, now_s: float) -> int:
        """Drop the records that are due; return how many were dropped."""
        before = len(self._by_id)
        while self._due and self._due[0][0] <= now_s:
            _, ticket_id = heappop(self._due)
            self._forget_or_defer(self._by_id[ticket_id], now_s)
        return before - len(self._by_id)

    def _within_bounds(self, account: str, outcome: Outcome) -> Outcome:
        if not isinstance(outcome, Answered):
            return outcome
        if outcome.body is None or not self._take_bytes(account, held_bytes(outcome)):
            return without_body(outcome)
        return outcome

    def _take_bytes(self, account: str, size: int) -> bool:
        return size <= MAX_BODY_BYTES and self._bytes.take(account, size)

    def _forget_or_defer(self, record: TicketRecord, now_s: float) -> None:
        if record.phase is Phase.RUNNING:
            heappush(self._due, (now_s + KEEP_S, record.ticket.ticket_id))
        elif record.forget_at_s > now_s:
            heappush(self._due, (record.forget_at_s, record.ticket.ticket_id))
        else:
            self._forget(record)

    def _forget(self, record: TicketRecord) -> None:
        account = record.ticket.account
        del self._by_id[record.ticket.ticket_id]
        self._places.give_back(account, 1)
        if record.outcome is not None:
            self._bytes.give_back(account, held_bytes(record.outcome))
