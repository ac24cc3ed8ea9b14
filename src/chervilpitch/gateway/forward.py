"""Forwarding of a request to upstreams, with retries and hedges up to its deadline."""

import asyncio
import random
from typing import NamedTuple

from chervilpitch.model import RefusalKind
from chervilpitch.observe import part_logger
from chervilpitch.policy import (
    AdmissionRequest,
    Choice,
    admission_limit_s,
    is_overloaded,
)

from .attempt import AttemptOutcome, AttemptRunner, OutgoingRequest
from .http_client import ClientResponse
from .pool import ConnectionPool
from .state import GatewayState

__all__ = ["ForwardResult", "Forwarder", "StartedAttempt"]

log = part_logger("forward")

HEDGE_CHECK_INTERVAL_S = 0.04
SUSPECT_HEDGE_SURVIVAL = 0.35
HEDGE_FAILURE_PROBABILITY = 0.6
HEDGE_SURVIVAL = 0.04
MAX_UPSTREAMS_TRIED = 5
NOT_RUN_OUTCOMES = (
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.NOT_RUN,
    AttemptOutcome.SHED,
)
SUSPECT_FAILURE_PROBABILITY = 0.5
"""Probability of failure from which the load of an upstream says nothing about the
capacity of its service."""


class StartedAttempt(NamedTuple):
    """An attempt to serve a request at an upstream.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    started_at_s : float
        Monotonic time in seconds; the request is sent once a connection is open.
    expected_s, cost_s : float
        Expected response time, and estimated cost without the wait, in seconds.
    """

    upstream: str
    started_at_s: float
    expected_s: float
    cost_s: float


class ForwardResult(NamedTuple):
    """Result of forwarding a request.

    Parameters
    ----------
    response : ClientResponse or None
        The upstream's response, if there is one to deliver.
    refusal : RefusalKind or None
        Why there is no response.
    may_have_run : bool
        Whether an upstream may have run the request.
    attempts : tuple of StartedAttempt
        Attempts that were started, in order.
    retry_after_s : float or None
        Seconds after which the caller may retry, if a retry may succeed.
    """

    response: ClientResponse | None
    refusal: RefusalKind | None
    may_have_run: bool
    attempts: tuple[StartedAttempt, ...] = ()
    retry_after_s: float | None = None


class _Progress:
    """State of the attempts to serve one request."""

    def __init__(self, end_signal: asyncio.Future) -> None:
        self.end_signal = end_signal
        self.running: dict[asyncio.Task, Choice] = {}
        self.attempts: list[StartedAttempt] = []
        self.sent_count = 0
        self.is_admitted = False
        self.admission_request: AdmissionRequest | None = None
        self.unused_tokens = 0
        self.may_have_run = False
        self.fallback: ClientResponse | None = None

    @property
    def tried_upstreams(self) -> frozenset[str]:
        """Names of the upstreams at which an attempt was started."""
        return frozenset(attempt.upstream for attempt in self.attempts)

    def response_result(self, response: ClientResponse) -> ForwardResult:
        """Return the result that delivers a response of an upstream."""
        return ForwardResult(response, None, True, tuple(self.attempts))

    def refusal_result(
        self,
        kind: RefusalKind,
        may_have_run: bool,
        retry_after_s: float | None = None,
    ) -> ForwardResult:
        """Return the result that refuses the request."""
        attempts = tuple(self.attempts)
        return ForwardResult(None, kind, may_have_run, attempts, retry_after_s)


class Forwarder:
    """Send requests to upstreams; retry and hedge where the route allows it.

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
        self._runner = AttemptRunner(state, pool, clock)
        self._clock = clock
        self._end_signals: set[asyncio.Future] = set()

    def end_requests(self) -> None:
        """Respond to all requests in progress now, as the instance is stopping."""
        for signal in self._end_signals:
            signal.set_result(None)
        self._end_signals.clear()

    async def forward(self, outgoing: OutgoingRequest) -> ForwardResult:
        """Return the response to deliver, or why there is none."""
        self._state.retry_budget(outgoing.service).count_request(self._clock())
        progress = _Progress(asyncio.get_running_loop().create_future())
        self._end_signals.add(progress.end_signal)
        try:
            return await self._run_attempts(outgoing, progress)
        finally:
            self._end_signals.discard(progress.end_signal)
            for task in progress.running:
                task.cancel()

    async def _run_attempts(self, outgoing, progress) -> ForwardResult:
        refusal = self._start_attempt(outgoing, progress)
        while refusal is None:
            remaining_s = outgoing.deadline_at_s - self._clock()
            if remaining_s <= 0:
                return self._unfinished_result(progress, RefusalKind.DEADLINE_EXCEEDED)
            if progress.end_signal.done():
                return self._unfinished_result(progress, RefusalKind.INSTANCE_STOPPING)
            timeout_s = remaining_s
            if self._may_hedge(outgoing, progress):
                timeout_s = min(remaining_s, self._hedge_check_s(outgoing))
            done, _ = await asyncio.wait(
                (*progress.running, progress.end_signal),
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done - {progress.end_signal}:
                choice = progress.running.pop(task)
                final_result = self._handle_result(
                    outgoing, progress, choice, task.result()
                )
                if final_result is not None:
                    return final_result
            if not progress.running:
                refusal = self._start_attempt(outgoing, progress)
            elif self._should_hedge(outgoing, progress):
                self._hedge(outgoing, progress)
        return self._failure_result(outgoing, progress, refusal)

    def _handle_result(
        self, outgoing, progress, choice, result
    ) -> ForwardResult | None:
        """Record the result of an attempt; return the final result if it is one."""
        if result.outcome is AttemptOutcome.SERVED:
            self._state.admission.record_served(outgoing.service)
            return progress.response_result(result.response)
        now_s = self._clock()
        log.info(
            "Attempt failed.",
            request=outgoing.request_id,
            upstream=choice.upstream.entry.name,
            outcome=result.cause,
            suspicion=round(choice.upstream.failure_probability(now_s), 3),
            age_ms=_milliseconds(now_s - outgoing.request.arrived_at_s),
        )
        if result.outcome is AttemptOutcome.SHED:
            self._state.admission.record_shed(outgoing.service)
        if result.outcome is AttemptOutcome.UNREACHABLE:
            progress.sent_count -= 1
        if result.outcome in NOT_RUN_OUTCOMES:
            progress.unused_tokens += 1
        else:
            progress.may_have_run = True
            progress.fallback = result.response or progress.fallback
        return None

    def _start_attempt(self, outgoing, progress) -> RefusalKind | None:
        """Start an attempt, or return why none may start."""
        now_s = self._clock()
        refusal = self._refusal_of_attempt(outgoing, progress, now_s)
        if refusal is not None:
            return refusal
        route = outgoing.route
        choice = self._state.upstreams.choose(
            outgoing.service,
            route.kind,
            self._state.route_statistics.latency_baseline(route),
            progress.tried_upstreams,
            now_s,
            iter(random.random, None),
            self._state.route_statistics.cost(route, outgoing.traits),
        )
        if choice is None:
            return RefusalKind.NO_UPSTREAM
        if not progress.sent_count:
            refusal = self._admission_refusal(outgoing, progress, choice, now_s)
            if refusal is not None:
                return refusal
        if progress.sent_count:
            self._state.retry_budget(outgoing.service).count_retry(now_s)
        self._take_token(outgoing, progress, now_s)
        progress.sent_count += 1
        name = choice.upstream.entry.name
        progress.attempts.append(
            StartedAttempt(name, now_s, choice.expected_s, choice.cost.mean_s)
        )
        task = asyncio.get_running_loop().create_task(
            self._runner.run(outgoing, choice)
        )
        progress.running[task] = choice
        return None

    def _admission_refusal(
        self, outgoing, progress, choice, now_s
    ) -> RefusalKind | None:
        """Return why a request is not admitted, or None if it is.

        The admission level decides once for each request, as each decision counts the
        request and is a matter of chance.
        """
        request = _admission_request(outgoing, choice, now_s)
        progress.admission_request = request
        if progress.is_admitted:
            return RefusalKind.NO_SLOT if request.is_overloaded else None
        refusal = self._state.admission.refusal(outgoing.service, request)
        progress.is_admitted = refusal is None
        return refusal

    def _take_token(self, outgoing, progress, now_s):
        """Take a token for an attempt, or use that of one that has not run."""
        if progress.unused_tokens:
            progress.unused_tokens -= 1
        else:
            self._state.take_token(outgoing.account, now_s)

    def _refusal_of_attempt(self, outgoing, progress, now_s) -> RefusalKind | None:
        if len(progress.attempts) >= MAX_UPSTREAMS_TRIED:
            return RefusalKind.UPSTREAM_UNREACHABLE
        if progress.may_have_run and not outgoing.route.kind.is_idempotent:
            return RefusalKind.UPSTREAM_FAILED
        if not progress.sent_count:
            return None
        if progress.sent_count >= outgoing.route.max_attempts:
            return RefusalKind.UPSTREAM_SHED
        if not self._has_retry_budget(outgoing, now_s):
            return RefusalKind.UPSTREAM_SHED
        if not self._state.admission.admits_retry(outgoing.service, outgoing.priority):
            return RefusalKind.UPSTREAM_SHED
        return None

    def _has_retry_budget(self, outgoing, now_s):
        instances = 1 + len(self._state.members.not_leaving())
        return self._state.retry_budget(outgoing.service).allows_retry(now_s, instances)

    def _may_hedge(self, outgoing, progress):
        route = outgoing.route
        return (
            route.kind.is_idempotent
            and len(progress.running) == 1
            and progress.sent_count < route.max_attempts
        )

    def _hedge_check_s(self, outgoing) -> float:
        """Return the time in seconds until a hedge may be due."""
        baseline = self._state.route_statistics.latency_baseline(outgoing.route)
        first_at_s = outgoing.request.arrived_at_s + baseline.min_age_s(
            SUSPECT_HEDGE_SURVIVAL
        )
        return max(HEDGE_CHECK_INTERVAL_S, first_at_s - self._clock())

    def _should_hedge(self, outgoing, progress):
        """Return whether the response is so late that a hedge is due.

        It is late if only a small share of good responses takes longer. A larger
        share suffices if the upstream is probably failing. A hedge needs retry
        budget, and a token of the client account.
        """
        if not self._may_hedge(outgoing, progress):
            return False
        now_s = self._clock()
        choice = next(iter(progress.running.values()))
        age_s = now_s - outgoing.request.arrived_at_s
        survival = self._state.route_statistics.latency_baseline(
            outgoing.route
        ).survival(age_s)
        if survival < HEDGE_SURVIVAL:
            return self._may_send_hedge(outgoing, now_s)
        if survival > SUSPECT_HEDGE_SURVIVAL:
            return False
        is_suspect = (
            choice.upstream.failure_probability(now_s) > HEDGE_FAILURE_PROBABILITY
        )
        return is_suspect and self._may_send_hedge(outgoing, now_s)

    def _may_send_hedge(self, outgoing, now_s):
        return self._has_retry_budget(outgoing, now_s) and self._state.allows_attempt(
            outgoing.account, now_s
        )

    def _hedge(self, outgoing, progress):
        """Also send the request to another upstream; the silent one may respond."""
        first = next(iter(progress.running.values())).upstream
        if self._start_attempt(outgoing, progress) is not None:
            return
        now_s = self._clock()
        log.info(
            "Request hedged: also trying another upstream.",
            request=outgoing.request_id,
            silent=first.entry.name,
            second=progress.attempts[-1].upstream,
            suspicion=round(first.failure_probability(now_s), 3),
            age_ms=_milliseconds(now_s - outgoing.request.arrived_at_s),
        )

    def _unfinished_result(self, progress, kind: RefusalKind) -> ForwardResult:
        if progress.fallback is not None:
            return progress.response_result(progress.fallback)
        has_run = bool(progress.running) or progress.may_have_run
        return progress.refusal_result(kind, has_run)

    def _failure_result(self, outgoing, progress, refusal) -> ForwardResult:
        if progress.fallback is not None:
            return progress.response_result(progress.fallback)
        if progress.may_have_run:
            return progress.refusal_result(RefusalKind.UPSTREAM_FAILED, True)
        retry_s = self._state.admission.retry_after_s(
            outgoing.service, refusal, progress.admission_request
        )
        return progress.refusal_result(refusal, False, retry_s)


def _admission_request(outgoing, choice, now_s) -> AdmissionRequest:
    upstream = choice.upstream
    failure_probability = upstream.failure_probability(now_s)
    remaining_s = outgoing.deadline_at_s - now_s
    return AdmissionRequest(
        priority=outgoing.priority,
        account=outgoing.account,
        expected_s=choice.expected_s,
        aim_s=outgoing.route.aim_s,
        remaining_s=remaining_s,
        limit_s=admission_limit_s(outgoing.route, outgoing.priority),
        slots=upstream.entry.slots,
        load=upstream.load(now_s),
        is_suspect=failure_probability > SUSPECT_FAILURE_PROBABILITY,
        is_overloaded=is_overloaded(
            outgoing.route, outgoing.priority, choice.expected_s, remaining_s
        ),
    )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
