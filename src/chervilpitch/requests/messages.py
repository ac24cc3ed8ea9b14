"""Messages between instances about requests that run at most once."""

from typing import NamedTuple

__all__ = ["FinalOutcomes", "FinalRecord"]


class FinalRecord(NamedTuple):
    """The final outcome of one ticket; it never changes.

    Parameters
    ----------
    ticket_id, account, route, request_digest : str
        The ticket and the request bound to it; the digest is empty for a ticket
        that was never used.
    outcome : bytes
        The encoded outcome.
    keep_s : float
        Seconds for which the receiver should keep it.
    """

    ticket_id: str
    account: str
    route: str
    request_digest: str
    outcome: bytes
    keep_s: float


class FinalOutcomes(NamedTuple):
    """Outcomes handed over by an instance that is stopping.

    Parameters
    ----------
    records : tuple of FinalRecord
        The outcomes.
    """

    records: tuple[FinalRecord, ...]
