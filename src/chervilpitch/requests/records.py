"""Records of the tickets that one incarnation has issued."""

from enum import Enum
from heapq import heappop, heappush
from typing import NamedTuple

from .outcomes import Answered, Outcome, status_only, stored_bytes
from .peer_tickets import PeerTickets
from .shared_capacity import SharedCapacity
from .tickets import RECORD_RETENTION_S, Ticket

__all__ = [
    "FirstRun",
    "MAX_BODY_BYTES",
    "MAX_RECORDS",
    "MAX_STORED_BYTES",
    "Recorded",
    "TicketPhase",
    "TicketRecord",
    "TicketRecords",
]

MAX_RECORDS = 16_384
MAX_STORED_BYTES = 16 * 2**20
MAX_BODY_BYTES = 64 * 2**10


class TicketPhase(Enum):
    """Execution phase of the request that belongs to a ticket."""

    UNUSED = 1
    RUNNING = 2
    FINAL = 3


class FirstRun(NamedTuple):
    """The request may run now; ``record_outcome`` must be called when it ends.

    Parameters
    ----------
    record_id : str
        Identifier of the record; it is sent to the upstream as the request id.
    """

    record_id: str


class Recorded(NamedTuple):
    """The request has ended; repeated requests get this outcome.

    Parameters
    ----------
    outcome : Outcome
        The final outcome.
    """

    outcome: Outcome


class TicketRecord:
    """State of one ticket and of the request that uses it.

    Parameters
    ----------
    ticket : Ticket
        The ticket as issued.
    """

    __slots__ = ("ticket", "phase", "request_digest", "outcome", "remove_at_s")

    def __init__(self, ticket: Ticket):
        self.ticket = ticket
        self.phase = TicketPhase.UNUSED
        self.request_digest = ""
        self.outcome: Outcome | None = None
        self.remove_at_s = ticket.deadline_at_s + RECORD_RETENTION_S


class TicketRecords:
    """Ticket records of one incarnation, bounded in number and bytes.

    A record is created when its ticket is issued. So no request with a ticket is
    refused for lack of space, and no record is removed early to make space.

    Parameters
    ----------
    instance : str
        Name of this instance.
    incarnation : int
        Random number drawn when this process started.
    secret : bytes
        Secret shared by the instances of the fleet.
    max_records : int
        Largest number of records at once.
    max_stored_bytes : int
        Largest size in bytes of the recorded responses at once.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        secret: bytes,
        max_records: int = MAX_RECORDS,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ):
        self._instance = instance
        self._incarnation = incarnation
        self._secret = secret
        self._is_issuing = True
        self._by_id: dict[str, TicketRecord] = {}
        self._removal_queue: list[tuple[float, str]] = []
        self._record_capacity = SharedCapacity(max_records)
        self._byte_capacity = SharedCapacity(max_stored_bytes)
        self._peer_tickets = PeerTickets(instance)

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
        """Tickets of other incarnations and their handed-over outcomes."""
        return self._peer_tickets

    @property
    def is_issuing(self) -> bool:
        """Whether tickets are still issued."""
        return self._is_issuing

    @property
    def stored_bytes(self) -> int:
        """Size in bytes of the recorded responses."""
        return self._byte_capacity.used

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self):
        return iter(self._by_id.values())

    def get(self, ticket_id: str) -> TicketRecord | None:
        """Return the record of a ticket, or None."""
        return self._by_id.get(ticket_id)

    def stop_issuing(self) -> None:
        """Refuse to issue tickets from now on."""
        self._is_issuing = False

    def add(self, ticket: Ticket) -> bool:
        """Add the record of a new ticket and return whether it was added.

        It is not added if the ticket has a record or the account has no space for
        another one.
        """
        if ticket.ticket_id in self._by_id:
            return False
        if not self._record_capacity.acquire(ticket.account, 1):
            return False
        record = TicketRecord(ticket)
        self._by_id[ticket.ticket_id] = record
        heappush(self._removal_queue, (record.remove_at_s, ticket.ticket_id))
        return True

    def finalize(self, record: TicketRecord, outcome: Outcome, now_s: float) -> None:
        """Make an outcome final.

        Only the status of a response is stored if its headers and body exceed
        `MAX_BODY_BYTES` or the space that is left for the account.
        """
        record.outcome = self._fit_to_capacity(record.ticket.account, outcome)
        record.phase = TicketPhase.FINAL
        record.remove_at_s = max(record.remove_at_s, now_s + RECORD_RETENTION_S)

    def remove_expired(self, now_s: float) -> int:
        """Remove records whose retention time is over and return their number.

        The record of a running request is kept until the request ends.
        """
        before = len(self._by_id)
        while self._removal_queue and self._removal_queue[0][0] <= now_s:
            _, ticket_id = heappop(self._removal_queue)
            self._remove_or_defer(self._by_id[ticket_id], now_s)
        return before - len(self._by_id)

    def _fit_to_capacity(self, account: str, outcome: Outcome) -> Outcome:
        if not isinstance(outcome, Answered):
            return outcome
        if outcome.body is None or not self._acquire_bytes(
            account, stored_bytes(outcome)
        ):
            return status_only(outcome)
        return outcome

    def _acquire_bytes(self, account: str, size: int) -> bool:
        return size <= MAX_BODY_BYTES and self._byte_capacity.acquire(account, size)

    def _remove_or_defer(self, record: TicketRecord, now_s: float) -> None:
        if record.phase is TicketPhase.RUNNING:
            heappush(
                self._removal_queue,
                (now_s + RECORD_RETENTION_S, record.ticket.ticket_id),
            )
        elif record.remove_at_s > now_s:
            heappush(self._removal_queue, (record.remove_at_s, record.ticket.ticket_id))
        else:
            self._remove(record)

    def _remove(self, record: TicketRecord) -> None:
        account = record.ticket.account
        del self._by_id[record.ticket.ticket_id]
        self._record_capacity.release(account, 1)
        if record.outcome is not None:
            self._byte_capacity.release(account, stored_bytes(record.outcome))
