"""Messages between instances about seat leases and loans of tokens."""

from typing import NamedTuple

__all__ = [
    "Claim",
    "Closing",
    "Grant",
    "Loan",
    "Promise",
    "Release",
    "TokenRequest",
    "Want",
]


class Claim(NamedTuple):
    """Ask a witness to promise a seat exclusively to the sender.

    Parameters
    ----------
    seat : int
        Seat that the sender claims.
    number : int
        Number of the claim, increasing within one incarnation.
    """

    seat: int
    number: int


class Promise(NamedTuple):
    """Answer to a claim.

    Parameters
    ----------
    witness_seat : int
        Seat of the witness.
    number : int
        Number of the claim that it answers.
    granted : bool
        Whether the seat is promised to the claimant for one lease duration.
    taken : bool
        Whether the seat is promised to another incarnation.
    tenured : bool
        Whether the witness holds its own seat.
    veteran : bool
        Whether this incarnation of the witness has ever held its own seat.
    """

    witness_seat: int
    number: int
    granted: bool
    taken: bool
    tenured: bool
    veteran: bool


class Release(NamedTuple):
    """Release a seat; the sender no longer uses the buckets of that seat.

    Parameters
    ----------
    seat : int
        Seat that the sender held.
    """

    seat: int


class Want(NamedTuple):
    """Tokens requested for one client account.

    Parameters
    ----------
    account : str
        Name of the client account.
    tokens : float
        Number of tokens requested.
    """

    account: str
    tokens: float


class Closing(NamedTuple):
    """Close a loan; the borrower spends nothing from it any more.

    Parameters
    ----------
    number : int
        Number of the token request that the loan answered.
    account : str
        Name of the client account.
    unspent : float
        Unspent tokens that are returned.
    """

    number: int
    account: str
    unspent: float


class TokenRequest(NamedTuple):
    """Request tokens from a home instance and close earlier loans.

    Parameters
    ----------
    number : int
        Number of the request, increasing within one incarnation.
    wants : tuple of Want
        Requested tokens, one entry for each account.
    closings : tuple of Closing
        Loans of the receiver that the sender closes.
    """

    number: int
    wants: tuple[Want, ...]
    closings: tuple[Closing, ...] = ()


class Loan(NamedTuple):
    """Tokens lent for one client account.

    Parameters
    ----------
    account : str
        Name of the client account.
    tokens : float
        Number of tokens lent.
    """

    account: str
    tokens: float


class Grant(NamedTuple):
    """Answer to a token request.

    Parameters
    ----------
    number : int
        Number of the request that it answers.
    holds_seat : bool
        Whether the sender holds its seat and can lend tokens.
    loans : tuple of Loan
        Tokens lent, one entry for each account.
    """

    number: int
    holds_seat: bool
    loans: tuple[Loan, ...]
