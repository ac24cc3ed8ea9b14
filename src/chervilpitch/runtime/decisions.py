"""Decisions that the request path asks of the cores, taken under their lock."""

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

__all__ = ["AddressAnswer", "Decisions", "UpstreamSlot"]

MAX_TOKEN_WAIT_S = 0.5
MAX_WAITING_PER_ACCOUNT = 4


class AddressAnswer(TypedDict):
    """Addresses that a caller should use, as the body of an HTTP response.

    Attributes
    ----------
    addresses : list of str
        Host and port, most preferred first.
    good_for_s : float
        Seconds for which the caller may cache the response.
    ticket : str or None
        One-shot ticket for a non-idempotent request.
    ticket_address : str or None
        Address of the instance that issued the ticket and accepts it.
    """

    addresses: list[str]
    good_for_s: float
    ticket: str | None
    ticket_address: str | None


class UpstreamSlot:
    """A slot of an upstream that is reserved for one exchange.

    Parameters
    ----------
    reservation : routing.Reservation
        Reservation of the routing core.
    connections : int
        Maximum number of connections of this instance to the upstream.
    """

    def __init__(self, reservation: routing.Reservation, connections: int):
        self._reservation = reservation
        self._connections = connections

    @property
    def reservation(self) -> routing.Reservation:
        """Reservation of the routing core."""
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
        """Maximum number of connections of this instance to the upstream."""
        return self._connections


class Decisions:
    """Decisions of the request path, each taken under the lock of the cores.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    requests_per_account : int
        Maximum number of concurrent requests of one client account.
    """

    def __init__(self, cores: Cores, requests_per_account: int):
        self._cores = cores
        self._lock = cores.lock
        self._clock = cores.clock
        self._in_flight = accounts.ConcurrencyLimit(requests_per_account)
        self._token_waiters = accounts.ConcurrencyLimit(MAX_WAITING_PER_ACCOUNT)
        self._is_leaving = False
        self._refuses_new = False
        self._retry_budgets: dict[str, requests.RetryBudget] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight.total

    @property
    def is_leaving(self) -> bool:
        """Whether callers' connections are closed after the next response."""
        return self._is_leaving

    def close_after_responses(self) -> None:
        """Close each caller's connection after its next response."""
        self._is_leaving = True

    def refuse_new(self) -> None:
        """Refuse every request that arrives from now on."""
        self._refuses_new = True

    def identify(self, key) -> Result[ClientAccount, Refusal]:
        """Return the client account of a key, or why it is refused.

        Refused when the instance is not ready, the catalogue is not fresh, or the
        key is unknown or suspended.
        """
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
        """Count a request of a client account as in flight, or refuse it."""
        with self._lock:
            if self._refuses_new:
                return Err(Refusal(RefusalKind.NOT_READY, RunState.NOT_RUN))
            return self._in_flight.acquire(account)

    def leave(self, account: str) -> None:
        """Stop counting a request that has ended."""
        with self._lock:
            self._in_flight.release(account)

    def match(self, path: str, account: str) -> Result[Route, Refusal]:
        """Return the route that matches a path."""
        with self._lock:
            return routing.match(self._cores.routing.table, path, account)

    def begin(self, exchange: Exchange):
        """Decide whether an at-most-once request may run."""
        text = exchange.request.ticket
        verified = Ok(None)
        if text is not None:
            verified = requests.verify_ticket(self._cores.records.secret, text)
        digest = _request_digest(exchange)
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
        """Record the outcome of an at-most-once request."""
        with self._lock:
            effects = requests.record_outcome(
                self._cores.records, record_id, outcome, self._clock()
            )
        self._cores.carry_out(effects)

    def admit(self, account: str, deadline_at_s: float) -> Result[None, Refusal]:
        """Charge a request to the rate of its client account.

        A request for which tokens are expected in time waits for them: at most
        ``MAX_TOKEN_WAIT_S``, not past its deadline, and only if fewer than
        ``MAX_WAITING_PER_ACCOUNT`` requests of the client account wait already.
        """
        effects = ()
        with self._lock:
            now_s = self._clock()
            admitted = limits.admit(self._cores.limits, account, now_s)
            wait_until_s = min(deadline_at_s, now_s + MAX_TOKEN_WAIT_S)
            if not _retry_before(wait_until_s, admitted):
                return admitted
            waiting = self._token_waiters.acquire(account)
            if waiting.is_ok():
                effects = limits.request_tokens(self._cores.limits, account, now_s)
        if waiting.is_err():
            return admitted
        self._cores.carry_out(effects)
        try:
            return self._wait_for_tokens(account, admitted, wait_until_s)
        finally:
            with self._lock:
                self._token_waiters.release(account)

    def _wait_for_tokens(self, account, admitted, wait_until_s):
        while _retry_before(wait_until_s, admitted):
            retry_at_s = admitted.unwrap_err().retry_at_s
            time.sleep(max(0.0, retry_at_s - self._clock()))
            with self._lock:
                admitted = limits.admit(
                    self._cores.limits, account, self._clock(), is_retry=True
                )
        return admitted

    def reserve(self, exchange: Exchange, failed) -> Result[UpstreamSlot, Refusal]:
        """Check the key again, then reserve a slot of an upstream."""
        current = self.identify(exchange.request.presented_key)
        if current.is_err():
            return current
        with self._lock:
            if not failed:
                self._retry_budget(exchange.route.service).earn()
            reserved = routing.reserve(
                self._cores.routing,
                exchange.route,
                failed,
                self._clock(),
                request_bytes=exchange.request.body.length or 0,
            )
            return reserved.map(self._to_slot)

    def record_sent(self, slot: UpstreamSlot, is_reused: bool) -> None:
        """Record that a request is sent now, and whether its connection is reused."""
        with self._lock:
            number = slot.reservation.number
            health.request_sent(
                self._cores.health, number, self._clock(), is_reused=is_reused
            )

    def record_progress(self, slot: UpstreamSlot, is_waiting: bool) -> None:
        """Record progress of a response, and whether the upstream is waited for."""
        with self._lock:
            number = slot.reservation.number
            health.response_progressed(
                self._cores.health, number, self._clock(), is_waiting=is_waiting
            )

    def release(self, slot: UpstreamSlot, observation) -> None:
        """Release a slot and record how its exchange ended."""
        with self._lock:
            effects = routing.release(
                self._cores.routing, slot.reservation, observation, self._clock()
            )
        self._cores.carry_out(effects)

    def observe(self, slot: UpstreamSlot, observation) -> None:
        """Record an observation of an upstream that does not end the exchange."""
        with self._lock:
            effects = health.observe(
                self._cores.health, slot.upstream, observation, self._clock()
            )
        self._cores.carry_out(effects)

    def may_retry(self, exchange: Exchange, stage, attempts: int) -> bool:
        """Decide whether to retry a failed attempt; if so, charge the retry budget."""
        nothing_sent = stage in (
            requests.FailureStage.NOT_CONNECTED,
            requests.FailureStage.CONNECTED_NOTHING_SENT,
        )
        if exchange.request.body.whole is None:
            return False
        attempt = requests.Attempt(stage, attempts, not nothing_sent, False)
        with self._lock:
            budget = self._retry_budget(exchange.route.service)
            allowed = requests.may_retry(
                exchange.route, attempt, budget, exchange.deadline_at_s, self._clock()
            )
            if allowed.is_ok():
                budget.spend()
            return allowed.is_ok()

    def new_ticket(self, account: str, route: Route) -> str | None:
        """Return a one-shot ticket for a route.

        ``None`` if the route needs no ticket or no ticket can be issued now.
        """
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
        """Return the addresses that the holder of a key should use."""
        return self.identify(key).and_then(
            lambda account: self._select_addresses(account, path, near)
        )

    def _to_slot(self, reservation):
        allowed = routing.connections_allowed(self._cores.routing, reservation.upstream)
        return UpstreamSlot(reservation, allowed)

    def _retry_budget(self, service):
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
        body = AddressAnswer(
            addresses=list(given.addresses),
            good_for_s=round(membership.remaining_lifetime_s(given, now_s), 3),
            ticket=ticket,
            ticket_address=cores.own.callers_address if ticket else None,
        )
        return Ok(body)


def _retry_before(wait_until_s, admitted) -> bool:
    if admitted.is_ok():
        return False
    retry_at_s = admitted.unwrap_err().retry_at_s
    return retry_at_s is not None and retry_at_s < wait_until_s


def _request_digest(exchange):
    request = exchange.request
    body_digest = hashlib.sha256(request.body.buffered).digest()
    return requests.request_digest(request.method, request.target, body_digest)
