"""The WSGI application towards callers."""

import functools
import json
import uuid
from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import parse_qs

from result import Result

from chervilpitch.model import Refusal, RefusalKind, RunState
from chervilpitch.observe import RequestOutcome, part_logger
from chervilpitch.requests import (
    Response,
    refusal_before_lookup,
    refusal_response,
    replay,
)
from chervilpitch.transport.bodies import receive_body

from . import filters
from .deliver import Delivery
from .exchange import CallerRequest, Exchange
from .forward import Forwarder
from .headers import (
    end_to_end,
    key_text,
    presented_key,
    sent_by_caller,
    ticket_text,
    with_length,
)
from .pipe import run
from .visit import Answer, Visit

__all__ = ["ADDRESS_PATH", "FILTER_NAMES", "CallersApplication"]

log = part_logger("pipeline")

ADDRESS_PATH = "/.chervilpitch/addresses"
FILTER_NAMES = (
    "identify",
    "route",
    "enter",
    "receive",
    "remember",
    "admit",
    "forward",
)


class CallersApplication:
    """Serves callers' requests and tells callers which addresses to use.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    upstreams : UpstreamClient
        Connections to upstreams.
    clock : callable
        Returns monotonic seconds.
    max_body_bytes : int
        Most bytes of a request's body.
    metrics : object
        Counters and histograms of the instance.
    hidden : SecretRegister
        Keeps presented keys out of the logs.
    """

    def __init__(self, decisions, upstreams, clock, max_body_bytes, metrics, hidden):
        self._decisions = decisions
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._metrics = metrics
        self._hidden = hidden
        forwarder = Forwarder(decisions, upstreams, clock)
        self._before_body = (
            ("identify", functools.partial(filters.identify, decisions)),
            ("route", functools.partial(filters.match_route, decisions)),
        )
        self._after_body = (
            ("remember", functools.partial(filters.remember, decisions)),
            ("admit", functools.partial(filters.admit, decisions)),
            ("forward", forwarder),
        )

    def __call__(self, environ, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        headers = sent_by_caller(environ)
        if environ["PATH_INFO"] == ADDRESS_PATH:
            return self._answer_addresses(environ, headers, start_response)
        visit = Visit(self._decisions, self._hidden, key_text(headers))
        try:
            answer = self._serve(environ, headers, start_response, visit)
        except Exception:
            log.exception("A request failed.")
            refusal = Refusal(RefusalKind.INTERNAL_ERROR, RunState.UNKNOWN)
            answer = self._refuse(refusal, headers, start_response, visit)
        return Answer(answer, visit)

    def _serve(self, environ, headers, start_response, visit):
        exchange = Exchange(self._request(environ, headers))
        filters = self._filters_of(environ, visit)
        outcome = run(filters, exchange, self._clock, self._metrics.observe_filter)
        if outcome.is_err():
            refusal = outcome.unwrap_err()
            return self._refuse(refusal, headers, start_response, visit)
        return self._deliver(outcome.unwrap(), start_response)

    def _filters_of(self, environ, visit):
        receive = functools.partial(self._receive, environ)
        middle = (("enter", visit.enter), ("receive", receive))
        return self._before_body + middle + self._after_body

    def _receive(self, environ, exchange) -> Result[Exchange, Refusal]:
        length = _declared_length(environ)
        received = receive_body(environ["wsgi.input"], length, self._max_body_bytes)
        return received.map(
            lambda body: exchange._replace(
                request=exchange.request._replace(
                    body=body,
                    headers=with_length(exchange.request.headers, body.length),
                )
            )
        )

    def _request(self, environ, headers):
        query = environ["QUERY_STRING"]
        path = environ["PATH_INFO"]
        raw_path = environ.get("REQUEST_URI", path).partition("?")[0]
        return CallerRequest(
            request_id=uuid.uuid4().hex,
            method=environ["REQUEST_METHOD"],
            path=path,
            query=query,
            target=f"{raw_path}?{query}" if query else raw_path,
            headers=end_to_end(headers),
            presented_key=presented_key(headers),
            ticket=ticket_text(headers) or None,
            body=None,
            received_at_s=self._clock(),
        )

    def _deliver(self, exchange, start_response):
        if exchange.recorded is not None:
            reply = replay(exchange.recorded, self._clock())
            return self._send(reply, start_response)
        delivery = Delivery(self._decisions, exchange, self._clock)
        answer = exchange.answer
        headers = _answer_headers(exchange)
        self._metrics.count_request(RequestOutcome(exchange.route.name))
        try:
            start_response(_status_line(answer.status), self._closing(headers))
        except BaseException:
            delivery.close()
            raise
        if exchange.request.method == "HEAD":
            delivery.close()
            return []
        return delivery

    def _refuse(self, refusal, headers, start_response, visit=None):
        told = refusal_before_lookup(refusal, self._may_have_begun(refusal, headers))
        route = visit.route.name if visit and visit.route else ""
        self._metrics.count_request(RequestOutcome(route, refusal.kind))
        ticket = self._next_ticket(told, visit)
        reply = refusal_response(told, self._clock(), ticket)
        return self._send(reply, start_response)

    def _next_ticket(self, refusal, visit) -> str:
        if visit is None or visit.route is None:
            return ""
        if refusal.run is not RunState.NOT_RUN:
            return ""
        return self._decisions.new_ticket(visit.account, visit.route) or ""

    @staticmethod
    def _may_have_begun(refusal, headers):
        return bool(ticket_text(headers)) and refusal.kind in BEFORE_TICKET_KINDS

    def _answer_addresses(self, environ, headers, start_response):
        query = parse_qs(environ["QUERY_STRING"])
        answer = self._decisions.select_addresses(
            presented_key(headers),
            query.get("path", [""])[0],
            query.get("near", [""])[0],
        )
        if answer.is_err():
            return self._refuse(answer.unwrap_err(), headers, start_response)
        body = json.dumps(answer.unwrap()).encode()
        kind = (("Content-Type", "application/json"), ("Cache-Control", "no-store"))
        return self._send(Response(HTTPStatus.OK, kind, body), start_response)

    def _send(self, reply, start_response):
        length = ("Content-Length", str(len(reply.body)))
        headers = self._closing([*reply.headers, length])
        start_response(_status_line(reply.status), headers)
        return [reply.body]

    def _closing(self, headers) -> list[tuple[str, str]]:
        """Return headers that end the connection while the instance leaves."""
        closing = [("Connection", "close")] if self._decisions.is_leaving else []
        return [*headers, *closing]


BEFORE_TICKET_KINDS = frozenset(
    (
        RefusalKind.BAD_REQUEST,
        RefusalKind.BODY_TOO_LARGE,
        RefusalKind.CALLER_STALLED,
        RefusalKind.KEY_MISSING,
        RefusalKind.KEY_MALFORMED,
        RefusalKind.KEY_UNKNOWN,
        RefusalKind.KEYS_NOT_FRESH,
        RefusalKind.NOT_READY,
        RefusalKind.ROUTE_UNKNOWN,
        RefusalKind.ACCOUNT_NOT_ADMITTED,
        RefusalKind.TOO_MANY_IN_FLIGHT,
    )
)


def _declared_length(environ) -> int | None:
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return None
    return int(environ.get("CONTENT_LENGTH") or 0)


def _answer_headers(exchange):
    length = str(len(exchange.start))
    kept = [item for item in exchange.answer.headers if item[0].lower() != "date"]
    names = {name.lower() for name, _ in kept}
    if exchange.started_whole and "content-length" not in names:
        kept.append(("Content-Length", length))
    if "x-request-id" not in names:
        kept.append(("X-Request-Id", exchange.request.request_id))
    return kept


def _status_line(status: int) -> str:
    try:
        return f"{int(status)} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
