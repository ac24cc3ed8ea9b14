"""Messages about seats and tokens between instances."""

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
    """Ask a witness to promise a seat to the sender alone.

    Parameters
    ----------
    seat : int
        Seat that the sender claims.
    number : int
        Number of the claim, rising within one incarnation.
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
        Number of the claim answered.
    granted : bool
        Whether the seat is promised to the claimant for one term.
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
    """Give a seat up; the sender mints nothing from it any more.

    Parameters
    ----------
    seat : int
        Seat that the sender held.
    """

    seat: int


class Want(NamedTuple):
    """Tokens wanted for one client account.

    Parameters
    ----------
    account : str
        Name of the client account.
    tokens : float
        Number of tokens wanted at once.
    """

    account: str
    tokens: float


class Closing(NamedTuple):
    """The end of a loan: its receiver spends nothing from it any more.

    Parameters
    ----------
    number : int
        Number of the request that the loan answered.
    account : str
        Name of the client account.
    unspent : float
        Tokens handed back.
    """

    number: int
    account: str
    unspent: float


class TokenRequest(NamedTuple):
    """Ask a home of some client accounts for tokens and close earlier loans.

    Parameters
    ----------
    number : int
        Number of the request, rising within one incarnation.
    wants : tuple of Want
        The tokens wanted, by account.
    closings : tuple of Closing
        Loans of the receiver that end.
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
        Number of the request answered.
    holds_seat : bool
        Whether the sender holds its seat and mints tokens.
    loans : tuple of Loan
        The tokens lent, by account.
    """

    number: int
    holds_seat: bool
    loans: tuple[Loan, ...]
