"""Token requests between instances: sending, granting and closing loans."""

from collections.abc import Iterable

from chervilpitch.membership.placement import rank
from chervilpitch.model import ClientAccount, Send, Sender, region_of

from .borrowing import LOAN_LIFETIME_S, BorrowedLoan, Borrowing
from .messages import Closing, Grant, Loan, TokenRequest, Want
from .state import LOAN_RESERVATION_S, LimitState, PendingRequest

__all__ = [
    "apply_grant",
    "expire_requests",
    "grant_tokens",
    "request_due_tokens",
    "request_tokens",
]

REQUEST_TIMEOUT_S = 0.25
MIN_REQUEST_TOKENS = 1.0


def request_due_tokens(state: LimitState, now_s: float) -> tuple[Send, ...]:
    """Return the token requests that are due, at most one for each lender.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Send
        The requests, which also carry the closings of the receiver's loans.
    """
    due = [each for each in state.borrowings.values() if each.due_at_s <= now_s]
    return _requests_for(state, due, now_s)


def request_tokens(
    state: LimitState, account_name: str, now_s: float
) -> tuple[Send, ...]:
    """Return the token requests for one account without waiting for a tick.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    account_name : str
        Name of the client account.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Send
        The requests.
    """
    borrowing = state.borrowings.get(account_name)
    return _requests_for(state, (borrowing,), now_s) if borrowing else ()


def grant_tokens(
    state: LimitState, request: TokenRequest, sender: Sender, now_s: float
) -> Grant:
    """Close the loans named in a request and lend wanted tokens that are available.

    Parameters
    ----------
    state : LimitState
        The lender's state; the tokens are deducted from it.
    request : TokenRequest
        The received request.
    sender : Sender
        Its sender.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Grant
        The answer. If it is lost, its tokens are lost too.
    """
    for closing in request.closings:
        _close_loan(state, closing, sender, now_s)
    loans = []
    for want in request.wants:
        account = state.catalogue.accounts.get(want.account)
        tokens = _lend(state, account, want, request.number, sender, now_s)
        loans.append(Loan(want.account, tokens))
    return Grant(request.number, state.lease.holds(now_s), tuple(loans))


def apply_grant(state: LimitState, grant: Grant, sender: Sender, now_s: float) -> None:
    """Add the tokens of a grant, at most once and only before they expire.

    Parameters
    ----------
    state : LimitState
        The borrower's state.
    grant : Grant
        The answer to a request of this instance.
    sender : Sender
        Its sender.
    now_s : float
        Monotonic time in seconds.
    """
    request = state.pending.pop(grant.number, None)
    if request is None or request.lender != sender.name:
        return
    state.record_answer(sender.name, grant.holds_seat, now_s)
    expires_at_s = request.sent_at_s + LOAN_LIFETIME_S
    for loan in grant.loans:
        borrowing = state.borrowings.get(loan.account)
        if borrowing is None or loan.account not in request.wants:
            continue
        borrowing.record_grant(grant.number, loan.tokens, now_s)
        if loan.tokens > 0 and now_s < expires_at_s:
            borrowed = BorrowedLoan(
                sender.name, grant.number, expires_at_s, loan.tokens
            )
            borrowing.add(borrowed)


def expire_requests(state: LimitState, now_s: float) -> None:
    """Record requests that have timed out and remove those that have expired.

    A late grant is still accepted until `LOAN_LIFETIME_S` after its request.
    """
    for number, request in list(state.pending.items()):
        if now_s < request.sent_at_s + REQUEST_TIMEOUT_S:
            break
        if not request.is_timed_out:
            state.pending[number] = request._replace(is_timed_out=True)
            state.record_timeout(request.lender, now_s)
            _record_unanswered(state, number, request, now_s)
        if now_s >= request.sent_at_s + LOAN_LIFETIME_S:
            del state.pending[number]


def _requests_for(
    state: LimitState, borrowings: Iterable[Borrowing], now_s: float
) -> tuple[Send, ...]:
    wants: dict[str, list[Want]] = {}
    closings: dict[str, list[Closing]] = {}
    for borrowing in borrowings:
        account = state.catalogue.accounts[borrowing.account]
        borrowing.update_demand(now_s)
        borrowing.return_expiring_loans(now_s)
        for lender, closing in borrowing.pop_closings():
            closings.setdefault(lender, []).append(closing)
        for lender, tokens in _split_request(state, account, borrowing, now_s):
            wants.setdefault(lender, []).append(Want(account.name, tokens))
    lenders = sorted(wants.keys() | closings.keys())
    return tuple(
        _token_request(state, name, wants.get(name, []), closings.get(name, []), now_s)
        for name in lenders
    )


def _record_unanswered(
    state: LimitState, number: int, request: PendingRequest, now_s: float
) -> None:
    for account in request.wants:
        borrowing = state.borrowings.get(account)
        if borrowing is not None:
            borrowing.record_grant(number, 0.0, now_s)


def _split_request(
    state: LimitState, account: ClientAccount, borrowing: Borrowing, now_s: float
) -> Iterable[tuple[str, float]]:
    bucket = state.bucket(account, now_s)
    level = bucket.level(now_s) if bucket else 0.0
    available_tokens = borrowing.tokens(now_s) + level
    tokens_needed = borrowing.tokens_to_request(
        available_tokens, account.rate_per_s, account.burst
    )
    if tokens_needed <= 0:
        return ()
    is_region_depleted = borrowing.is_region_depleted(now_s)
    lenders = _ranked_lenders(state, account, tokens_needed, is_region_depleted, now_s)
    count = max(1, min(len(lenders), int(tokens_needed / MIN_REQUEST_TOKENS)))
    return [(lender, tokens_needed / count) for lender in lenders[:count]]


def _ranked_lenders(
    state: LimitState,
    account: ClientAccount,
    tokens_needed: float,
    is_region_depleted: bool,
    now_s: float,
) -> list[str]:
    own_seat = state.lease.seat
    seats = state.catalogue.seats
    homes = [seat for seat in state.homes(account.name) if seat != own_seat]
    if own_seat in seats and not is_region_depleted:
        region = region_of(seats[own_seat])
        same_region = [seat for seat in homes if region_of(seats[seat]) == region]
        if tokens_needed <= len(same_region) * state.home_limits(account)[1]:
            homes = same_region
    names = {name for seat in homes for name in state.instances_of_seat(seat)}
    names = {name for name in names if not state.is_avoided(name, now_s)}
    return list(rank(f"{state.own.name} {state.next_request_number()}", names))


def _token_request(
    state: LimitState,
    lender: str,
    wants: list[Want],
    closings: list[Closing],
    now_s: float,
) -> Send:
    number = state.next_request_number()
    for want in wants:
        state.borrowings[want.account].record_request(number, want.tokens)
    if wants:
        tokens = {want.account: want.tokens for want in wants}
        state.pending[number] = PendingRequest(now_s, lender, tokens)
    return Send(lender, TokenRequest(number, tuple(wants), tuple(closings)))


def _lend(
    state: LimitState,
    account: ClientAccount | None,
    want: Want,
    number: int,
    sender: Sender,
    now_s: float,
) -> float:
    bucket = state.bucket(account, now_s) if account else None
    loan = (sender.incarnation, number)
    if bucket is None or bucket.has_open_loan(loan):
        return 0.0
    tokens = min(want.tokens, bucket.level(now_s))
    if tokens <= 0:
        return 0.0
    bucket.lend(loan, tokens, now_s + LOAN_RESERVATION_S, now_s)
    return tokens


def _close_loan(
    state: LimitState, closing: Closing, sender: Sender, now_s: float
) -> None:
    account = state.catalogue.accounts.get(closing.account)
    bucket = state.bucket(account, now_s) if account else None
    if bucket is not None:
        loan = (sender.incarnation, closing.number)
        bucket.close_loan(loan, closing.unspent, now_s)
