"""WSGI application that serves callers."""

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
    forwarded_headers,
    key_text,
    presented_key,
    request_headers,
    ticket_text,
    with_content_length,
)
from .pipe import run_filters
from .tracker import RequestTracker, TrackedBody

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
    """WSGI application for callers' requests and for the address endpoint.

    Parameters
    ----------
    decisions : Decisions
        The decision cores.
    upstreams : UpstreamClient
        Client that sends the requests to the upstreams.
    clock : callable
        Returns monotonic seconds.
    max_body_bytes : int
        Largest accepted request body, in bytes.
    metrics : object
        Counters and histograms of this instance.
    hidden : SecretRegister
        Register of secrets that are redacted in the logs.
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
            ("remember", functools.partial(filters.begin_at_most_once, decisions)),
            ("admit", functools.partial(filters.admit, decisions)),
            ("forward", forwarder),
        )

    def __call__(self, environ, start_response: Callable) -> Iterable[bytes]:
        """Serve one request."""
        headers = request_headers(environ)
        if environ["PATH_INFO"] == ADDRESS_PATH:
            return self._serve_addresses(environ, headers, start_response)
        tracker = RequestTracker(self._decisions, self._hidden, key_text(headers))
        try:
            body = self._serve(environ, headers, start_response, tracker)
        except Exception:
            log.exception("A request failed with an unexpected error.")
            refusal = Refusal(RefusalKind.INTERNAL_ERROR, RunState.UNKNOWN)
            body = self._refuse(refusal, headers, start_response, tracker)
        return TrackedBody(body, tracker)

    def _serve(self, environ, headers, start_response, tracker):
        exchange = Exchange(self._build_request(environ, headers))
        filters = self._build_filters(environ, tracker)
        outcome = run_filters(
            filters, exchange, self._clock, self._metrics.observe_filter
        )
        if outcome.is_err():
            refusal = outcome.unwrap_err()
            return self._refuse(refusal, headers, start_response, tracker)
        return self._deliver(outcome.unwrap(), start_response)

    def _build_filters(self, environ, tracker):
        receive = functools.partial(self._receive, environ)
        middle = (("enter", tracker.start), ("receive", receive))
        return self._before_body + middle + self._after_body

    def _receive(self, environ, exchange) -> Result[Exchange, Refusal]:
        length = _declared_length(environ)
        received = receive_body(environ["wsgi.input"], length, self._max_body_bytes)
        return received.map(
            lambda body: exchange._replace(
                request=exchange.request._replace(
                    body=body,
                    headers=with_content_length(exchange.request.headers, body.length),
                )
            )
        )

    def _build_request(self, environ, headers):
        query = environ["QUERY_STRING"]
        path = environ["PATH_INFO"]
        raw_path = environ.get("REQUEST_URI", path).partition("?")[0]
        return CallerRequest(
            request_id=uuid.uuid4().hex,
            method=environ["REQUEST_METHOD"],
            path=path,
            query=query,
            target=f"{raw_path}?{query}" if query else raw_path,
            headers=forwarded_headers(headers),
            presented_key=presented_key(headers),
            ticket=ticket_text(headers) or None,
            body=None,
            received_at_s=self._clock(),
        )

    def _deliver(self, exchange, start_response):
        if exchange.recorded_outcome is not None:
            replayed = replay(exchange.recorded_outcome, self._clock())
            return self._send(replayed, start_response)
        delivery = Delivery(self._decisions, exchange, self._clock)
        response = exchange.response
        headers = _response_headers(exchange)
        self._metrics.count_request(RequestOutcome(exchange.route.name))
        try:
            start_response(
                _status_line(response.status), self._with_connection_close(headers)
            )
        except BaseException:
            delivery.close()
            raise
        if exchange.request.method == "HEAD":
            delivery.close()
            return []
        return delivery

    def _refuse(self, refusal, headers, start_response, tracker=None):
        sent = refusal_before_lookup(refusal, self._may_have_run(refusal, headers))
        route = tracker.route.name if tracker and tracker.route else ""
        self._metrics.count_request(RequestOutcome(route, refusal.kind))
        ticket = self._new_ticket(sent, tracker)
        response = refusal_response(sent, self._clock(), ticket)
        return self._send(response, start_response)

    def _new_ticket(self, refusal, tracker) -> str:
        if tracker is None or tracker.route is None:
            return ""
        if refusal.run is not RunState.NOT_RUN:
            return ""
        return self._decisions.new_ticket(tracker.account, tracker.route) or ""

    @staticmethod
    def _may_have_run(refusal, headers):
        return bool(ticket_text(headers)) and refusal.kind in KINDS_BEFORE_TICKET_LOOKUP

    def _serve_addresses(self, environ, headers, start_response):
        query = parse_qs(environ["QUERY_STRING"])
        selected = self._decisions.select_addresses(
            presented_key(headers),
            query.get("path", [""])[0],
            query.get("near", [""])[0],
        )
        if selected.is_err():
            return self._refuse(selected.unwrap_err(), headers, start_response)
        body = json.dumps(selected.unwrap()).encode()
        fields = (("Content-Type", "application/json"), ("Cache-Control", "no-store"))
        return self._send(Response(HTTPStatus.OK, fields, body), start_response)

    def _send(self, response, start_response):
        length = ("Content-Length", str(len(response.body)))
        headers = self._with_connection_close([*response.headers, length])
        start_response(_status_line(response.status), headers)
        return [response.body]

    def _with_connection_close(self, headers) -> list[tuple[str, str]]:
        """Add ``Connection: close`` to the headers while the instance is leaving."""
        closing = [("Connection", "close")] if self._decisions.is_leaving else []
        return [*headers, *closing]


KINDS_BEFORE_TICKET_LOOKUP = frozenset(
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


def _response_headers(exchange):
    length = str(len(exchange.body_start))
    kept = [item for item in exchange.response.headers if item[0].lower() != "date"]
    names = {name.lower() for name, _ in kept}
    if exchange.is_body_complete and "content-length" not in names:
        kept.append(("Content-Length", length))
    if "x-request-id" not in names:
        kept.append(("X-Request-Id", exchange.request.request_id))
    return kept


def _status_line(status: int) -> str:
    try:
        return f"{int(status)} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
