"""Serves one request: filters that each may refuse it, then the forwarder."""

import asyncio
import hashlib
import random
from http import HTTPStatus
from typing import NamedTuple

from result import Err, Ok, Result

from chervilpitch import platform
from chervilpitch.model import HostRoute, RefusalKind
from chervilpitch.observe import part_logger
from chervilpitch.policy import pick_service

from .forward import Ending, Forwarder, Outgoing
from .http_server import ServerRequest, ServerResponse
from .metrics import GatewayMetrics
from .state import GatewayState

__all__ = ["RequestPath"]

log = part_logger("request")

DEFAULT_WAIT_S = 60.0
NOT_READY_RETRY_S = 0.5

NOT_RUN_STATUSES = {
    RefusalKind.RATE_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalKind.ROUTE_UNKNOWN: HTTPStatus.NOT_FOUND,
    RefusalKind.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    RefusalKind.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    RefusalKind.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
}


class _Refused(NamedTuple):
    kind: RefusalKind
    retry_after_s: float | None = None
    route: str = ""
    account: str = ""


class _Subject(NamedTuple):
    route: str
    account: str


class _Admitted(NamedTuple):
    route: HostRoute
    account: str


class RequestPath:
    """Identifies, routes, charges and forwards requests.

    Parameters
    ----------
    state : GatewayState
        What the instance knows.
    forwarder : Forwarder
        Sends requests to upstreams.
    metrics : GatewayMetrics
        Counters and histograms.
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
        """Return the reply to a request."""
        self._state.begin_request()
        try:
            return await self._serve(request)
        except asyncio.CancelledError:
            facts = platform.caller_facts(request.headers)
            waited_ms = _milliseconds(self._clock() - request.arrived_at_s)
            log.info("Caller left.", id=facts.request_id, waited_ms=waited_ms)
            raise
        finally:
            self._state.end_request()

    async def _serve(self, request) -> ServerResponse:
        facts = platform.caller_facts(request.headers)
        admitted = self._admit(request, facts)
        if admitted.is_err():
            refused = admitted.unwrap_err()
            ending = Ending(None, refused.kind, False, (), refused.retry_after_s)
            subject = _Subject(refused.route, refused.account)
            return self._reply(request, facts, subject, ending)
        route, account = admitted.unwrap()
        wait_s = DEFAULT_WAIT_S if facts.wait_s is None else facts.wait_s
        outgoing = Outgoing(
            request,
            facts.request_id,
            route,
            pick_service(route, random.random()),
            account,
            request.arrived_at_s + min(wait_s, route.timeout_s),
        )
        ending = await self._forwarder.forward(outgoing)
        return self._reply(request, facts, _Subject(route.name, account), ending)

    def _admit(self, request, facts) -> Result[_Admitted, _Refused]:
        if not self._state.configuration.version:
            return Err(_Refused(RefusalKind.NOT_READY, NOT_READY_RETRY_S))
        route = self._match(request)
        if route is None:
            return Err(self._denial(RefusalKind.ROUTE_UNKNOWN))
        if not route.needs_key:
            return Ok(_Admitted(route, ""))
        return self._identify(facts.key).and_then(
            lambda account: self._charge(route, account)
        )

    def _match(self, request) -> HostRoute | None:
        host = dict(request.headers).get(b"host", b"").decode("latin-1")
        path = request.target.partition(b"?")[0].decode("latin-1")
        return self._state.routes.match(host, path)

    def _identify(self, key: str) -> Result[str, _Refused]:
        if not self._state.freshness.may_use_keys(self._clock()):
            return Err(_Refused(RefusalKind.KEYS_NOT_FRESH, NOT_READY_RETRY_S))
        if not key:
            return Err(self._denial(RefusalKind.KEY_MISSING))
        digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
        account = self._state.configuration.account_of_key.get(digest)
        if account is None:
            return Err(self._denial(RefusalKind.KEY_UNKNOWN))
        return Ok(account)

    def _denial(self, kind: RefusalKind) -> _Refused:
        """Deny for good only with a configuration that is surely the newest."""
        if self._state.freshness.may_deny(self._clock()):
            return _Refused(kind)
        return _Refused(RefusalKind.KEYS_NOT_FRESH, NOT_READY_RETRY_S)

    def _charge(self, route, account: str) -> Result[_Admitted, _Refused]:
        bucket = self._state.buckets.get(account)
        now_s = self._clock()
        if bucket is None or bucket.admit(now_s):
            return Ok(_Admitted(route, account))
        retry_after_s = bucket.retry_after_s(now_s)
        log.info("Rate exceeded.", account=account, **bucket.figures(now_s))
        return Err(
            _Refused(RefusalKind.RATE_EXCEEDED, retry_after_s, route.name, account)
        )

    def _reply(self, request, facts, subject, ending) -> ServerResponse:
        reply = _reply_of(facts.request_id, ending)
        now_s = self._clock()
        took_s = now_s - request.arrived_at_s
        self._metrics.ended(subject.route, reply.status, ending.refusal, took_s)
        log.info(
            "Served." if ending.refusal is None else "Refused.",
            id=facts.request_id,
            route=subject.route,
            account=subject.account,
            status=int(reply.status),
            refusal=ending.refusal or "",
            may_have_run=ending.may_have_run,
            upstreams=list(ending.places),
            took_ms=round(took_s * 1000, 1),
            version=self._state.configuration.version,
            proof_age_ms=_milliseconds(self._state.freshness.age_s(now_s)),
        )
        return reply


def _reply_of(request_id: str, ending: Ending) -> ServerResponse:
    if ending.answer is not None:
        headers = platform.answer_headers(ending.answer.headers)
        return ServerResponse(ending.answer.status, headers, ending.answer.body)
    status = _status_of(ending)
    headers = platform.refusal_headers(request_id, ending.retry_after_s)
    return ServerResponse(status, headers)


def _status_of(ending: Ending) -> int:
    if not ending.may_have_run:
        return NOT_RUN_STATUSES.get(ending.refusal, HTTPStatus.SERVICE_UNAVAILABLE)
    if ending.refusal is RefusalKind.DEADLINE_EXCEEDED:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def _milliseconds(seconds: float) -> int | None:
    return None if seconds == float("inf") else round(seconds * 1000)
