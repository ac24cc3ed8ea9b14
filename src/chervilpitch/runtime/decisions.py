"""All decision cores of one instance behind one lock."""

import hashlib
import secrets
import time
from typing import TypedDict

from result import Err, Ok, Result

from chervilpitch import (
    accounts,
    health,
    limits,
    membership,
    requests,
    routing,
    spread,
)
from chervilpitch.model import (
    ClientAccount,
    Refusal,
    RefusalKind,
    Route,
    RunState,
)
from chervilpitch.pipeline.exchange import Exchange

from .cores import Cores

__all__ = ["AddressAnswer", "Decisions", "Held"]

MAX_TOKEN_WAIT_S = 0.5
WAITING_PER_ACCOUNT = 4


class AddressAnswer(TypedDict):
    """Which addresses a caller should use.

    Attributes
    ----------
    addresses : list of str
        Host and port, best first.
    good_for_s : float
        Seconds that the caller may keep the answer.
    ticket : str or None
        One-shot ticket for a request that must not be repeated.
    ticket_address : str or None
        The address where the ticket is valid.
    """

    addresses: list[str]
    good_for_s: float
    ticket: str | None
    ticket_address: str | None


class Held:
    """An upstream slot held by an exchange.

    Parameters
    ----------
    reservation : routing.Reservation
        The reservation.
    connections : int
        Connections this instance may hold to the upstream.
    """

    def __init__(self, reservation: routing.Reservation, connections: int):
        self._reservation = reservation
        self._connections = connections

    @property
    def reservation(self) -> routing.Reservation:
        """The reservation."""
        return self._reservation

    @property
    def upstream(self) -> str:
        """Name of the upstream."""
        return self._reservation.upstream

    @property
    def address(self) -> str:
        """Host and port of the upstream."""
        return self._reservation.address

    @property
    def connections(self) -> int:
        """Connections this instance may hold to the upstream."""
        return self._connections


class Decisions:
    """What the request path asks of the decision cores.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    requests_per_account : int
        Most requests of one client account at once.
    """

    def __init__(self, cores: Cores, requests_per_account: int):
        self._cores = cores
        self._lock = cores.lock
        self._clock = cores.clock
        self._in_progress = accounts.ConcurrencyLimit(requests_per_account)
        self._waiting = accounts.ConcurrencyLimit(WAITING_PER_ACCOUNT)
        self._is_leaving = False
        self._is_refusing = False
        self._retry_budgets: dict[str, requests.RetryBudget] = {}

    @property
    def in_progress(self) -> int:
        """Requests in progress."""
        return self._in_progress.total

    @property
    def is_leaving(self) -> bool:
        """Whether connections are to be closed after their answers."""
        return self._is_leaving

    def close_after_answers(self) -> None:
        """Close each caller's connection after its next answer."""
        self._is_leaving = True

    def refuse_new(self) -> None:
        """Refuse requests that begin from now on."""
        self._is_refusing = True

    def identify(self, key) -> Result[ClientAccount, Refusal]:
        """Return the client account of a key, if the catalogue is fresh."""
        cores = self._cores
        with self._lock:
            now_s = self._clock()
            if not spread.ready(cores.spread, now_s):
                return Err(Refusal(RefusalKind.NOT_READY, RunState.NOT_RUN))
            fresh = accounts.check_freshness(cores.freshness, now_s)
            found = fresh.and_then(lambda _: accounts.identify(cores.catalogue, key))
            return found.and_then(
                lambda account: accounts.check_not_suspended(
                    account, key, cores.suspended.accounts, cores.suspended.keys
                )
            )

    def enter(self, account: str) -> Result[None, Refusal]:
        """Count a request that begins."""
        with self._lock:
            if self._is_refusing:
                return Err(Refusal(RefusalKind.NOT_READY, RunState.NOT_RUN))
            return self._in_progress.acquire(account)

    def leave(self, account: str) -> None:
        """Count a request that ends."""
        with self._lock:
            self._in_progress.release(account)

    def match(self, path: str, account: str) -> Result[Route, Refusal]:
        """Return the route of a path."""
        with self._lock:
            return routing.match(self._cores.routing.table, path, account)

    def begin(self, exchange: Exchange):
        """Decide whether a request that must not be repeated may run."""
        text = exchange.request.ticket
        verified = Ok(None)
        if text is not None:
            verified = requests.verify_ticket(self._cores.records.secret, text)
        digest = _digest_of(exchange)
        with self._lock:
            return verified.and_then(
                lambda ticket: requests.begin_request(
                    self._cores.records,
                    ticket,
                    exchange.account.name,
                    exchange.route.name,
                    digest,
                    self._clock(),
                )
            )

    def finish(self, record_id: str, outcome) -> None:
        """Record how a request that must not be repeated ended."""
        with self._lock:
            effects = requests.record_outcome(
                self._cores.records, record_id, outcome, self._clock()
            )
        self._cores.carry_out(effects)

    def admit(self, account: str, deadline_at_s: float) -> Result[None, Refusal]:
        """Charge a request to the rate of its client account.

        A request for which tokens may arrive soon waits for them.
        """
        effects = ()
        with self._lock:
            now_s = self._clock()
            admitted = limits.admit(self._cores.limits, account, now_s)
            give_up_at_s = min(deadline_at_s, now_s + MAX_TOKEN_WAIT_S)
            if not _may_succeed_by(give_up_at_s, admitted):
                return admitted
            waiting = self._waiting.acquire(account)
            if waiting.is_ok():
                effects = limits.request_tokens(self._cores.limits, account, now_s)
        if waiting.is_err():
            return admitted
        self._cores.carry_out(effects)
        try:
            return self._wait_for_tokens(account, admitted, give_up_at_s)
        finally:
            with self._lock:
                self._waiting.release(account)

    def _wait_for_tokens(self, account, admitted, give_up_at_s):
        while _may_succeed_by(give_up_at_s, admitted):
            retry_at_s = admitted.unwrap_err().retry_at_s
            time.sleep(max(0.0, retry_at_s - self._clock()))
            with self._lock:
                admitted = limits.admit(
                    self._cores.limits, account, self._clock(), is_retry=True
                )
        return admitted

    def reserve(self, exchange: Exchange, failed) -> Result[Held, Refusal]:
        """Take a slot of an upstream; the key is checked once more before."""
        current = self.identify(exchange.request.presented_key)
        if current.is_err():
            return current
        with self._lock:
            if not failed:
                self._budget(exchange.route.service).earn()
            reserved = routing.reserve(
                self._cores.routing,
                exchange.route,
                failed,
                self._clock(),
                request_bytes=exchange.request.body.length or 0,
            )
            return reserved.map(self._held)

    def record_sent(self, held: Held, is_reused: bool) -> None:
        """Note that a request is sent now, maybe on a connection used before."""
        with self._lock:
            number = held.reservation.number
            health.request_sent(
                self._cores.health, number, self._clock(), is_reused=is_reused
            )

    def record_progress(self, held: Held, is_waiting: bool) -> None:
        """Note that an upstream sent a part, and whether more is waited for."""
        with self._lock:
            number = held.reservation.number
            health.response_progressed(
                self._cores.health, number, self._clock(), is_waiting=is_waiting
            )

    def release(self, held: Held, observation) -> None:
        """Give a slot back and take in how the exchange ended."""
        with self._lock:
            effects = routing.release(
                self._cores.routing, held.reservation, observation, self._clock()
            )
        self._cores.carry_out(effects)

    def observe(self, held: Held, observation) -> None:
        """Take in an observation that ends no exchange."""
        with self._lock:
            effects = health.observe(
                self._cores.health, held.upstream, observation, self._clock()
            )
        self._cores.carry_out(effects)

    def may_retry(self, exchange: Exchange, stage, attempts: int) -> bool:
        """Decide whether a failed attempt may be followed by another."""
        nothing_sent = stage in (
            requests.FailureStage.NOT_CONNECTED,
            requests.FailureStage.CONNECTED_NOTHING_SENT,
        )
        if exchange.request.body.whole is None:
            return False
        attempt = requests.Attempt(stage, attempts, not nothing_sent, False)
        with self._lock:
            budget = self._budget(exchange.route.service)
            allowed = requests.may_retry(
                exchange.route, attempt, budget, exchange.deadline_at_s, self._clock()
            )
            if allowed.is_ok():
                budget.spend()
            return allowed.is_ok()

    def new_ticket(self, account: str, route: Route) -> str | None:
        """Return a one-shot ticket for a route, ``None`` where none is due."""
        if route.idempotent:
            return None
        with self._lock:
            granted = requests.issue_ticket(
                self._cores.records,
                account,
                route.name,
                secrets.token_hex(16),
                self._clock(),
            )
            return granted.ok()

    def select_addresses(
        self, key, path: str, near: str
    ) -> Result[AddressAnswer, Refusal]:
        """Return which addresses the holder of a key should use."""
        return self.identify(key).and_then(
            lambda account: self._select_addresses(account, path, near)
        )

    def _held(self, reservation):
        allowed = routing.connections_allowed(self._cores.routing, reservation.upstream)
        return Held(reservation, allowed)

    def _budget(self, service):
        return self._retry_budgets.setdefault(service, requests.RetryBudget())

    def _select_addresses(self, account, path, near):
        cores = self._cores
        now_s = self._clock()
        with self._lock:
            given = membership.select_addresses(
                cores.membership,
                cores.catalogue.seats,
                account.name,
                now_s,
                caller_domain=near or None,
            )
        route = self.match(path, account.name) if path else Err(None)
        ticket = route.map_or(None, lambda found: self.new_ticket(account.name, found))
        answer = AddressAnswer(
            addresses=list(given.addresses),
            good_for_s=round(membership.remaining_lifetime_s(given, now_s), 3),
            ticket=ticket,
            ticket_address=cores.own.callers_address if ticket else None,
        )
        return Ok(answer)


def _may_succeed_by(give_up_at_s, admitted) -> bool:
    if admitted.is_ok():
        return False
    retry_at_s = admitted.unwrap_err().retry_at_s
    return retry_at_s is not None and retry_at_s < give_up_at_s


def _digest_of(exchange):
    request = exchange.request
    body_digest = hashlib.sha256(request.body.buffered).digest()
    return requests.request_digest(request.method, request.target, body_digest)
