"""One attempt to serve a request at one upstream."""

import asyncio
from enum import StrEnum
from typing import NamedTuple

from chervilpitch import platform
from chervilpitch.model import HostRoute
from chervilpitch.observe import part_logger
from chervilpitch.policy import Choice
from chervilpitch.policy.work import RequestTraits

from .http_client import ClientResponse, ExchangeError, FailureKind, HttpRequest
from .http_server import ServerRequest
from .pool import ConnectionPool
from .state import GatewayState

__all__ = ["AttemptOutcome", "AttemptResult", "AttemptRunner", "OutgoingRequest"]

log = part_logger("forward")


class OutgoingRequest(NamedTuple):
    """A request to forward.

    Parameters
    ----------
    request : ServerRequest
        The caller's request.
    request_id : str
        Id of the caller's attempt.
    route : HostRoute
        Its route.
    service : str
        Name of the service whose upstreams may serve it.
    account : str
        Name of the client account; empty for none.
    deadline_at_s : float
        Deadline in monotonic seconds; a later response is of no use to the caller.
    priority : int
        Effective priority under overload; 0 is the highest.
    """

    request: ServerRequest
    request_id: str
    route: HostRoute
    service: str
    account: str
    deadline_at_s: float
    priority: int

    @property
    def traits(self) -> RequestTraits:
        """What tells the cost of the request before it runs."""
        return RequestTraits(
            self.route.name,
            self.service,
            self.request.method.decode("latin-1"),
            len(self.request.body),
            self.account,
        )


class AttemptOutcome(StrEnum):
    """Outcome of one attempt."""

    SERVED = "served"
    FAILED_RESPONSE = "failed-answer"
    NOT_RUN = "not-run"
    SHED = "shed"
    """Not run, as the upstream is full."""
    UNREACHABLE = "unreachable"
    FAILED = "failed"


class AttemptResult(NamedTuple):
    """Result of one attempt.

    Parameters
    ----------
    outcome : AttemptOutcome
        What became of the attempt.
    response : ClientResponse or None
        A response to deliver.
    cause : str
        Why the attempt was not served, for logs.
    """

    outcome: AttemptOutcome
    response: ClientResponse | None = None
    cause: str = ""


class AttemptRunner:
    """Send requests over pooled connections and classify what comes back.

    Parameters
    ----------
    state : GatewayState
        State of the instance.
    pool : ConnectionPool
        Connections to upstreams.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, state: GatewayState, pool: ConnectionPool, clock):
        self._state = state
        self._pool = pool
        self._clock = clock

    async def run(self, outgoing: OutgoingRequest, choice: Choice) -> AttemptResult:
        """Send a request to an upstream and return the outcome.

        The outcome is recorded in the state of the upstream, also if the attempt is
        cancelled.

        Parameters
        ----------
        outgoing : OutgoingRequest
            The request.
        choice : Choice
            The upstream chosen for it.
        """
        upstream = choice.upstream
        name = upstream.entry.name
        number = self._state.upstreams.next_attempt_number()
        baseline = self._state.route_statistics.latency_baseline(outgoing.route)
        upstream.start_attempt(number, baseline, self._clock(), choice.cost)
        try:
            acquired = await self._pool.acquire(name, upstream.entry.address)
        except ExchangeError:
            upstream.record_unreachable(number, self._clock())
            return AttemptResult(
                AttemptOutcome.UNREACHABLE, cause=FailureKind.NOT_CONNECTED
            )
        except asyncio.CancelledError:
            upstream.record_not_run(number)
            raise
        try:
            response = await acquired.connection.exchange(
                self._upstream_request(outgoing, name),
                _mismatch_test(outgoing.request_id),
            )
        except ExchangeError as error:
            self._pool.record_failure(name, error.kind)
            if acquired.is_reused and error.kind is FailureKind.RESET:
                upstream.record_not_run(number)
            else:
                upstream.record_failure(number, self._clock())
            return AttemptResult(AttemptOutcome.FAILED, cause=error.kind)
        except asyncio.CancelledError:
            upstream.record_abandoned(number, self._clock())
            if acquired.is_reused:
                self._pool.close_idle(name)
            raise
        return self._classify_response(outgoing, choice, number, acquired, response)

    def _upstream_request(self, outgoing, upstream) -> HttpRequest:
        request = outgoing.request
        remaining_s = max(0.0, outgoing.deadline_at_s - self._clock())
        headers = platform.upstream_headers(
            request.headers, upstream, outgoing.account, remaining_s
        )
        return HttpRequest(request.method, request.target, headers, request.body)

    def _classify_response(
        self, outgoing, choice, number, acquired, response
    ) -> AttemptResult:
        upstream = choice.upstream
        now_s = self._clock()
        metadata = platform.parse_response_metadata(response.status, response.headers)
        if outgoing.request_id and metadata.request_id != outgoing.request_id:
            acquired.connection.close()
            upstream.record_failure(number, now_s)
            cause = "response without the request's id"
            return AttemptResult(AttemptOutcome.FAILED, cause=cause)
        if metadata.load is not None:
            running, waiting, slots = metadata.load
            upstream.record_load(running, waiting, now_s, slots)
        if metadata.is_leaving and not metadata.is_misdirected:
            self._record_leaving(outgoing, upstream, acquired.connection)
        else:
            self._pool.release(
                upstream.entry.name, acquired.connection, metadata.idle_for_s
            )
        if metadata.is_not_run:
            outcome = AttemptOutcome.NOT_RUN
            if metadata.is_misdirected:
                upstream.record_not_run(number)
                upstream.mark_misdirected()
            else:
                if _is_full(upstream, metadata.load, now_s):
                    outcome = AttemptOutcome.SHED
                upstream.record_shed(number, now_s)
            return AttemptResult(outcome, cause=f"not-run {response.status}")
        is_success = 200 <= response.status < 300
        if metadata.is_encoded or (is_success and not metadata.is_sealed):
            upstream.record_failure(number, now_s)
            return AttemptResult(AttemptOutcome.FAILED, cause="not the upstream's body")
        if response.status >= 500:
            upstream.record_failure(number, now_s)
            cause = f"answered {response.status}"
            return AttemptResult(AttemptOutcome.FAILED_RESPONSE, response, cause)
        cost_s = upstream.record_success(number, now_s)
        if is_success:
            self._state.route_statistics.record_cost(
                outgoing.route, outgoing.traits, choice.cost, cost_s
            )
        return AttemptResult(AttemptOutcome.SERVED, response)

    def _record_leaving(self, outgoing, upstream, connection):
        """Use an upstream that is leaving no more, and close its idle connections."""
        connection.close()
        self._pool.close_idle(upstream.entry.name)
        if upstream.is_leaving:
            return
        upstream.mark_leaving()
        log.info(
            "Upstream states that it is leaving; it gets no new requests.",
            request=outgoing.request_id,
            upstream=upstream.entry.name,
        )


def _is_full(upstream, stated_load, now_s) -> bool:
    """Return whether an upstream that shed a request has no free slot.

    One that has is failing, which says nothing about the capacity of the service. If
    it does not state its load, the requests known to be there count, without this one.
    """
    if stated_load is not None:
        running, waiting, _ = stated_load
        return running + waiting >= upstream.entry.slots
    return upstream.load(now_s) > upstream.entry.slots


def _mismatch_test(request_id: str):
    """Return a predicate for responses whose request id is that of another request."""

    def is_mismatched(response: ClientResponse) -> bool:
        response_id = platform.parse_response_metadata(
            response.status, response.headers
        ).request_id
        return bool(response_id) and response_id != request_id

    return is_mismatched
