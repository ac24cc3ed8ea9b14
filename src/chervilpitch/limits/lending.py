"""Token requests between instances: asking, lending and closing."""

from collections.abc import Iterable

from chervilpitch.membership.placement import rank
from chervilpitch.model import ClientAccount, Send, Sender, region_of

from .borrowing import BORROWED_SPAN_S, BorrowedLoan, Borrowing
from .messages import Closing, Grant, Loan, TokenRequest, Want
from .state import LENT_SPAN_S, LimitState, PendingRequest

__all__ = ["request_tokens", "ask_homes", "expire_requests", "lend", "take_grant"]

REQUEST_TIMEOUT_S = 0.25
SMALLEST_WANT = 1.0


def ask_homes(state: LimitState, now_s: float) -> tuple[Send, ...]:
    """Return one request to each home that tokens are wanted from.

    Parameters
    ----------
    state : LimitState
        The instance's state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Send
        The requests; each carries the closings for its receiver too.
    """
    due = [each for each in state.borrowings.values() if each.due_at_s <= now_s]
    return _ask_for(state, due, now_s)


def request_tokens(
    state: LimitState, account_name: str, now_s: float
) -> tuple[Send, ...]:
    """Return the requests for one account, without waiting for a tick.

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
    return _ask_for(state, (borrowing,), now_s) if borrowing else ()


def lend(
    state: LimitState, request: TokenRequest, sender: Sender, now_s: float
) -> Grant:
    """Close the loans that ended and lend what is wanted and at hand.

    Parameters
    ----------
    state : LimitState
        The giver's state; the tokens are taken out of it.
    request : TokenRequest
        The request received.
    sender : Sender
        Its sender.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Grant
        The answer; it may be lost, which loses the tokens.
    """
    for closing in request.closings:
        _close(state, closing, sender, now_s)
    loans = []
    for want in request.wants:
        account = state.catalogue.accounts.get(want.account)
        tokens = _lend_one(state, account, want, request.number, sender, now_s)
        loans.append(Loan(want.account, tokens))
    return Grant(request.number, state.lease.holds(now_s), tuple(loans))


def take_grant(state: LimitState, grant: Grant, sender: Sender, now_s: float) -> None:
    """Add the tokens of a grant, once and only before they end.

    Parameters
    ----------
    state : LimitState
        The receiver's state.
    grant : Grant
        The answer to a request of ours.
    sender : Sender
        Its sender.
    now_s : float
        Monotonic time in seconds.
    """
    request = state.pending.pop(grant.number, None)
    if request is None or request.to != sender.name:
        return
    state.count_answer(sender.name, grant.holds_seat, now_s)
    until_s = request.sent_at_s + BORROWED_SPAN_S
    for loan in grant.loans:
        borrowing = state.borrowings.get(loan.account)
        if borrowing is None or loan.account not in request.wants:
            continue
        borrowing.answered(grant.number, loan.tokens, now_s)
        if loan.tokens > 0 and now_s < until_s:
            fresh = BorrowedLoan(sender.name, grant.number, until_s, loan.tokens)
            borrowing.add(fresh)


def expire_requests(state: LimitState, now_s: float) -> None:
    """Stop counting on requests that were not answered in time."""
    for number, request in list(state.pending.items()):
        if now_s < request.sent_at_s + REQUEST_TIMEOUT_S:
            break
        if not request.is_late:
            state.pending[number] = request._replace(is_late=True)
            state.count_silence(request.to, now_s)
            _stop_counting_on(state, number, request, now_s)
        if now_s >= request.sent_at_s + BORROWED_SPAN_S:
            del state.pending[number]


def _ask_for(
    state: LimitState, borrowings: Iterable[Borrowing], now_s: float
) -> tuple[Send, ...]:
    wants: dict[str, list[Want]] = {}
    closings: dict[str, list[Closing]] = {}
    for borrowing in borrowings:
        account = state.catalogue.accounts[borrowing.account]
        borrowing.measure(now_s)
        borrowing.renew(now_s)
        for giver, closing in borrowing.take_closings():
            closings.setdefault(giver, []).append(closing)
        for giver, tokens in _split(state, account, borrowing, now_s):
            wants.setdefault(giver, []).append(Want(account.name, tokens))
    givers = sorted(wants.keys() | closings.keys())
    return tuple(
        _request(state, name, wants.get(name, []), closings.get(name, []), now_s)
        for name in givers
    )


def _stop_counting_on(
    state: LimitState, number: int, request: PendingRequest, now_s: float
) -> None:
    for account in request.wants:
        borrowing = state.borrowings.get(account)
        if borrowing is not None:
            borrowing.answered(number, 0.0, now_s)


def _split(
    state: LimitState, account: ClientAccount, borrowing: Borrowing, now_s: float
) -> Iterable[tuple[str, float]]:
    bucket = state.bucket(account, now_s)
    level = bucket.level(now_s) if bucket else 0.0
    on_hand = borrowing.tokens(now_s) + level
    need = borrowing.need(on_hand, account.rate_per_s, account.burst)
    if need <= 0:
        return ()
    wide = borrowing.is_wide(now_s)
    givers = _givers(state, account, need, wide, now_s)
    count = max(1, min(len(givers), int(need / SMALLEST_WANT)))
    return [(giver, need / count) for giver in givers[:count]]


def _givers(
    state: LimitState, account: ClientAccount, need: float, wide: bool, now_s: float
) -> list[str]:
    own = state.lease.seat
    seats = state.catalogue.seats
    homes = [seat for seat in state.homes(account.name) if seat != own]
    if own in seats and not wide:
        region = region_of(seats[own])
        near = [seat for seat in homes if region_of(seats[seat]) == region]
        if need <= len(near) * state.part(account)[1]:
            homes = near
    names = {name for seat in homes for name in state.instances_of_seat(seat)}
    names = {name for name in names if not state.is_avoided(name, now_s)}
    return list(rank(f"{state.own.name} {state.next_number()}", names))


def _request(
    state: LimitState,
    giver: str,
    wants: list[Want],
    closings: list[Closing],
    now_s: float,
) -> Send:
    number = state.next_number()
    for want in wants:
        state.borrowings[want.account].ask(number, want.tokens)
    if wants:
        tokens = {want.account: want.tokens for want in wants}
        state.pending[number] = PendingRequest(now_s, giver, tokens)
    return Send(giver, TokenRequest(number, tuple(wants), tuple(closings)))


def _lend_one(
    state: LimitState,
    account: ClientAccount | None,
    want: Want,
    number: int,
    sender: Sender,
    now_s: float,
) -> float:
    bucket = state.bucket(account, now_s) if account else None
    loan = (sender.incarnation, number)
    if bucket is None or bucket.has_lent(loan):
        return 0.0
    tokens = min(want.tokens, bucket.level(now_s))
    if tokens <= 0:
        return 0.0
    bucket.lend(loan, tokens, now_s + LENT_SPAN_S, now_s)
    return tokens


def _close(state: LimitState, closing: Closing, sender: Sender, now_s: float) -> None:
    account = state.catalogue.accounts.get(closing.account)
    bucket = state.bucket(account, now_s) if account else None
    if bucket is not None:
        loan = (sender.incarnation, closing.number)
        bucket.close(loan, closing.unspent, now_s)
