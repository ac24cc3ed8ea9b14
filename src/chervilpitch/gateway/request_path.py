"""Serving of a request: routing, authentication, rate limit and forwarding."""

import asyncio
import hashlib
import random
from http import HTTPStatus
from typing import NamedTuple

from result import Err, Ok, Result

from chervilpitch import platform
from chervilpitch.model import HostRoute, RefusalKind
from chervilpitch.observe import part_logger
from chervilpitch.policy import effective_priority, pick_service

from .attempt import OutgoingRequest
from .forward import Forwarder, ForwardResult
from .http_server import ServerRequest, ServerResponse
from .metrics import GatewayMetrics
from .state import GatewayState

__all__ = ["RequestPath"]

log = part_logger("request")

DEFAULT_CALLER_TIMEOUT_S = 60.0
NOT_READY_RETRY_AFTER_S = 0.5
STOPPING_RETRY_AFTER_S = 0.05
"""Short, as another instance can serve the request at once."""

NOT_RUN_STATUSES = {
    RefusalKind.RATE_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalKind.ROUTE_UNKNOWN: HTTPStatus.NOT_FOUND,
    RefusalKind.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    RefusalKind.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    RefusalKind.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
}


class _Refusal(NamedTuple):
    kind: RefusalKind
    retry_after_s: float | None = None
    route: str = ""
    account: str = ""
    priority: int | None = None


class _RequestLabels(NamedTuple):
    route: str
    account: str
    priority: int | None


class _Admitted(NamedTuple):
    route: HostRoute
    account: str
    priority: int


class RequestPath:
    """Route, authenticate, rate-limit and forward requests.

    Parameters
    ----------
    state : GatewayState
        State of the instance.
    forwarder : Forwarder
        Forwards admitted requests to upstreams.
    metrics : GatewayMetrics
        Metrics of the instance.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        state: GatewayState,
        forwarder: Forwarder,
        metrics: GatewayMetrics,
        clock,
    ):
        self._state = state
        self._forwarder = forwarder
        self._metrics = metrics
        self._clock = clock

    async def serve(self, request: ServerRequest) -> ServerResponse:
        """Return the response to a request.

        Raises
        ------
        asyncio.CancelledError
            The caller disconnected or the instance stopped; both are logged.
        """
        self._state.begin_request()
        try:
            return await self._serve(request)
        except asyncio.CancelledError:
            metadata = platform.parse_request_metadata(request.headers)
            waited_ms = _milliseconds(self._clock() - request.arrived_at_s)
            log.info(
                "Request cancelled: caller disconnected or instance stopped.",
                id=metadata.request_id,
                waited_ms=waited_ms,
            )
            raise
        finally:
            self._state.end_request()

    async def _serve(self, request) -> ServerResponse:
        metadata = platform.parse_request_metadata(request.headers)
        caller_timeout_s = (
            DEFAULT_CALLER_TIMEOUT_S
            if metadata.timeout_s is None
            else metadata.timeout_s
        )
        admitted = self._admit(request, metadata, caller_timeout_s)
        if admitted.is_err():
            refusal = admitted.unwrap_err()
            result = ForwardResult(
                None, refusal.kind, False, retry_after_s=refusal.retry_after_s
            )
            labels = _RequestLabels(refusal.route, refusal.account, refusal.priority)
            return self._finish(request, metadata, labels, result)
        route, account, priority = admitted.unwrap()
        outgoing = OutgoingRequest(
            request,
            metadata.request_id,
            route,
            pick_service(route, random.random()),
            account,
            _deadline_at_s(request, route, caller_timeout_s),
            priority,
        )
        result = await self._forwarder.forward(outgoing)
        return self._finish(
            request, metadata, _RequestLabels(route.name, account, priority), result
        )

    def _admit(
        self, request, metadata, caller_timeout_s
    ) -> Result[_Admitted, _Refusal]:
        if not self._state.configuration.version:
            return Err(_Refusal(RefusalKind.NOT_READY, NOT_READY_RETRY_AFTER_S))
        route = self._match(request)
        if route is None:
            return Err(self._denial(RefusalKind.ROUTE_UNKNOWN))
        stop = self._state.stop
        deadline_at_s = _deadline_at_s(request, route, caller_timeout_s)
        if stop is not None and not stop.may_accept(deadline_at_s, self._clock()):
            kind = RefusalKind.INSTANCE_STOPPING
            return Err(_Refusal(kind, STOPPING_RETRY_AFTER_S, route.name))
        if not route.needs_key:
            return Ok(self._admitted(route, ""))
        return self._authenticate(metadata.key).and_then(
            lambda account: self._admit_within_rate(route, account)
        )

    def _match(self, request) -> HostRoute | None:
        host = dict(request.headers).get(b"host", b"").decode("latin-1")
        path = request.target.partition(b"?")[0].decode("latin-1")
        return self._state.routes.match(host, path)

    def _authenticate(self, key: str) -> Result[str, _Refusal]:
        if not self._state.freshness.may_use_keys(self._clock()):
            return Err(_Refusal(RefusalKind.KEYS_NOT_FRESH, NOT_READY_RETRY_AFTER_S))
        if not key:
            return Err(self._denial(RefusalKind.KEY_MISSING))
        digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
        account = self._state.configuration.account_of_key.get(digest)
        if account is None:
            return Err(self._denial(RefusalKind.KEY_UNKNOWN))
        return Ok(account)

    def _denial(self, kind: RefusalKind) -> _Refusal:
        """Refuse for good only if the configuration was recently proved the newest.

        Otherwise the caller may retry: its key or route may be valid in a
        configuration that this instance has not received yet.
        """
        if self._state.freshness.may_deny(self._clock()):
            return _Refusal(kind)
        return _Refusal(RefusalKind.KEYS_NOT_FRESH, NOT_READY_RETRY_AFTER_S)

    def _admit_within_rate(self, route, account: str) -> Result[_Admitted, _Refusal]:
        now_s = self._clock()
        admitted = self._admitted(route, account)
        if self._state.allows_attempt(account, now_s):
            return Ok(admitted)
        bucket = self._state.buckets[account]
        retry_after_s = bucket.retry_after_s(now_s)
        log.info(
            "Rate exceeded.",
            account=account,
            share=round(self._state.contact.rate_share(now_s), 3),
            **bucket.log_fields(now_s),
        )
        return Err(
            _Refusal(
                RefusalKind.RATE_EXCEEDED,
                retry_after_s,
                route.name,
                account,
                admitted.priority,
            )
        )

    def _admitted(self, route, account: str) -> _Admitted:
        quota = self._state.configuration.accounts.get(account)
        return _Admitted(route, account, effective_priority(route, quota))

    def _finish(self, request, metadata, labels, result) -> ServerResponse:
        response = _response_of(metadata.request_id, result)
        now_s = self._clock()
        duration_s = now_s - request.arrived_at_s
        self._metrics.record_request(
            labels.route, response.status, result.refusal, duration_s
        )
        if result.refusal is not None:
            self._metrics.record_refusal(labels.priority, result.refusal)
        self._metrics.record_attempts(len(result.attempts))
        log.info(
            "Served." if result.refusal is None else "Refused.",
            id=metadata.request_id,
            route=labels.route,
            account=labels.account,
            priority=labels.priority,
            status=int(response.status),
            refusal=result.refusal or "",
            may_have_run=result.may_have_run,
            upstreams=[attempt.upstream for attempt in result.attempts],
            started_ms=[
                _milliseconds(attempt.started_at_s - request.arrived_at_s)
                for attempt in result.attempts
            ],
            expected_ms=[_milliseconds(item.expected_s) for item in result.attempts],
            cost_ms=[_milliseconds(item.cost_s) for item in result.attempts],
            took_ms=round(duration_s * 1000, 1),
            version=self._state.configuration.version,
            proof_age_ms=_milliseconds(self._state.freshness.age_s(now_s)),
        )
        return response


def _deadline_at_s(request, route, caller_timeout_s) -> float:
    return request.arrived_at_s + min(caller_timeout_s, route.timeout_s)


def _response_of(request_id: str, result: ForwardResult) -> ServerResponse:
    if result.response is not None:
        headers = platform.response_headers(result.response.headers)
        return ServerResponse(result.response.status, headers, result.response.body)
    status = _status_of(result)
    headers = platform.refusal_headers(request_id, result.retry_after_s)
    return ServerResponse(status, headers)


def _status_of(result: ForwardResult) -> int:
    if not result.may_have_run:
        return NOT_RUN_STATUSES.get(result.refusal, HTTPStatus.SERVICE_UNAVAILABLE)
    if result.refusal is RefusalKind.DEADLINE_EXCEEDED:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def _milliseconds(seconds: float) -> int | None:
    return None if seconds == float("inf") else round(seconds * 1000)
