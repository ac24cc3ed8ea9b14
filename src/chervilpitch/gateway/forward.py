"""Sends a request to upstreams until one answers or the time is over."""

import asyncio
import random
from enum import StrEnum
from typing import NamedTuple

from chervilpitch import platform
from chervilpitch.model import HostRoute, RefusalKind
from chervilpitch.observe import part_logger
from chervilpitch.policy import Choice, is_overloaded, retry_after_s

from .http_client import Answer, ExchangeError, FailureKind, HttpRequest
from .http_server import ServerRequest
from .pool import ConnectionPool
from .state import GatewayState

__all__ = ["Ending", "Forwarder", "Outgoing"]

log = part_logger("forward")

CHECK_S = 0.04
DOUBTFUL_SURVIVAL = 0.35
DOUBTFUL_SUSPICION = 0.6
LATE_SURVIVAL = 0.04
MOST_PLACES = 5


class Outgoing(NamedTuple):
    """A request that is to be forwarded.

    Parameters
    ----------
    request : ServerRequest
        The caller's request.
    request_id : str
        Id of the caller's attempt.
    route : HostRoute
        Its route.
    service : str
        The service that answers it.
    account : str
        Name of the client account; empty for none.
    deadline_at_s : float
        Monotonic time in seconds at which its answer is of no use any more.
    """

    request: ServerRequest
    request_id: str
    route: HostRoute
    service: str
    account: str
    deadline_at_s: float


class Ending(NamedTuple):
    """How forwarding ended.

    Parameters
    ----------
    answer : Answer or None
        The upstream's answer, if there is one to deliver.
    refusal : RefusalKind or None
        Why there is none.
    may_have_run : bool
        Whether an upstream may have run the request.
    places : tuple of str
        Upstreams that were chosen, in order.
    retry_after_s : float or None
        Seconds after which another attempt may succeed.
    """

    answer: Answer | None
    refusal: RefusalKind | None
    may_have_run: bool
    places: tuple[str, ...]
    retry_after_s: float | None = None


class Outcome(StrEnum):
    """How one attempt ended."""

    SERVED = "served"
    FAILED_ANSWER = "failed-answer"
    NOT_RUN = "not-run"
    UNREACHABLE = "unreachable"
    FAILED = "failed"


class _Result(NamedTuple):
    outcome: Outcome
    answer: Answer | None = None
    cause: str = ""


class _Progress:
    """What is known of the attempts of one request."""

    def __init__(self) -> None:
        self.running: dict[asyncio.Task, Choice] = {}
        self.places: list[str] = []
        self.sends = 0
        self.may_have_run = False
        self.fallback: Answer | None = None


class Forwarder:
    """Places requests, sends them once more where that is allowed.

    Parameters
    ----------
    state : GatewayState
        What the instance knows.
    pool : ConnectionPool
        Connections to upstreams.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, state: GatewayState, pool: ConnectionPool, clock):
        self._state = state
        self._pool = pool
        self._clock = clock

    async def forward(self, outgoing: Outgoing) -> Ending:
        """Return the answer to deliver, or why there is none."""
        self._state.budget(outgoing.service).count_request(self._clock())
        progress = _Progress()
        try:
            return await self._attempts(outgoing, progress)
        finally:
            for task in progress.running:
                task.cancel()

    async def _attempts(self, outgoing, progress) -> Ending:
        refusal = self._place(outgoing, progress)
        while refusal is None:
            left_s = outgoing.deadline_at_s - self._clock()
            if left_s <= 0:
                return self._overdue(progress)
            timeout_s = left_s
            if self._may_double(outgoing, progress):
                timeout_s = min(left_s, CHECK_S)
            done, _ = await asyncio.wait(
                progress.running,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                choice = progress.running.pop(task)
                ending = self._take(outgoing, progress, choice, task.result())
                if ending is not None:
                    return ending
            if not progress.running:
                refusal = self._place(outgoing, progress)
            elif self._is_doubtful(outgoing, progress):
                self._double(outgoing, progress)
        return self._without_answer(progress, refusal)

    def _take(self, outgoing, progress, choice, result) -> Ending | None:
        """Take in the result of an attempt; return the ending if it is one."""
        if result.outcome is Outcome.SERVED:
            return Ending(result.answer, None, True, tuple(progress.places))
        now_s = self._clock()
        log.info(
            "Attempt failed.",
            request=outgoing.request_id,
            upstream=choice.upstream.entry.name,
            outcome=result.cause,
            suspicion=round(choice.upstream.failure_probability(now_s), 3),
            age_ms=_milliseconds(now_s - outgoing.request.arrived_at_s),
        )
        if result.outcome is Outcome.UNREACHABLE:
            progress.sends -= 1
        elif result.outcome is not Outcome.NOT_RUN:
            progress.may_have_run = True
            progress.fallback = result.answer or progress.fallback
        return None

    def _place(self, outgoing, progress) -> RefusalKind | None:
        """Begin an attempt, or return why none may begin."""
        now_s = self._clock()
        refusal = self._refusal_of_send(outgoing, progress, now_s)
        if refusal is not None:
            return refusal
        route = outgoing.route
        choice = self._state.upstreams.choose(
            outgoing.service,
            route.kind,
            self._state.baseline(route),
            frozenset(progress.places),
            now_s,
            iter(random.random, None),
        )
        if choice is None:
            return RefusalKind.NO_UPSTREAM
        left_s = outgoing.deadline_at_s - now_s
        if not progress.sends and is_overloaded(route, choice.expected_s, left_s):
            return RefusalKind.NO_SLOT
        if progress.sends:
            self._state.budget(outgoing.service).count_retry(now_s)
        progress.sends += 1
        progress.places.append(choice.upstream.entry.name)
        task = asyncio.get_running_loop().create_task(self._attempt(outgoing, choice))
        progress.running[task] = choice
        return None

    def _refusal_of_send(self, outgoing, progress, now_s) -> RefusalKind | None:
        if len(progress.places) >= MOST_PLACES:
            return RefusalKind.UPSTREAM_UNREACHABLE
        if progress.may_have_run and not outgoing.route.kind.is_idempotent:
            return RefusalKind.UPSTREAM_FAILED
        if not progress.sends:
            return None
        if progress.sends >= outgoing.route.max_attempts:
            return RefusalKind.UPSTREAM_SHED
        if not self._may_repeat(outgoing, now_s):
            return RefusalKind.UPSTREAM_SHED
        return None

    def _may_repeat(self, outgoing, now_s):
        instances = 1 + len(self._state.members.not_leaving())
        return self._state.budget(outgoing.service).allows_retry(now_s, instances)

    def _may_double(self, outgoing, progress):
        route = outgoing.route
        return (
            route.kind.is_idempotent
            and len(progress.running) == 1
            and progress.sends < route.max_attempts
        )

    def _is_doubtful(self, outgoing, progress):
        """Return whether a request that may be repeated is sent once more."""
        if not self._may_double(outgoing, progress):
            return False
        now_s = self._clock()
        choice = next(iter(progress.running.values()))
        age_s = now_s - outgoing.request.arrived_at_s
        survival = self._state.baseline(outgoing.route).survival(age_s)
        if survival < LATE_SURVIVAL:
            return self._may_repeat(outgoing, now_s)
        if survival > DOUBTFUL_SURVIVAL:
            return False
        is_suspect = choice.upstream.failure_probability(now_s) > DOUBTFUL_SUSPICION
        return is_suspect and self._may_repeat(outgoing, now_s)

    def _double(self, outgoing, progress):
        """Send a request to a second upstream while the first is silent."""
        silent = next(iter(progress.running.values())).upstream
        if self._place(outgoing, progress) is not None:
            return
        now_s = self._clock()
        log.info(
            "Sent once more.",
            request=outgoing.request_id,
            silent=silent.entry.name,
            second=progress.places[-1],
            suspicion=round(silent.failure_probability(now_s), 3),
            age_ms=_milliseconds(now_s - outgoing.request.arrived_at_s),
        )

    def _overdue(self, progress) -> Ending:
        places = tuple(progress.places)
        has_run = bool(progress.running) or progress.may_have_run
        if progress.fallback is not None:
            return Ending(progress.fallback, None, True, places)
        return Ending(None, RefusalKind.DEADLINE_EXCEEDED, has_run, places)

    def _without_answer(self, progress, refusal) -> Ending:
        places = tuple(progress.places)
        if progress.fallback is not None:
            return Ending(progress.fallback, None, True, places)
        if progress.may_have_run:
            return Ending(None, RefusalKind.UPSTREAM_FAILED, True, places)
        usual_s = retry_after_s(refusal)
        spread_s = usual_s * (0.5 + random.random())
        return Ending(None, refusal, False, places, spread_s)

    async def _attempt(self, outgoing, choice) -> _Result:
        upstream = choice.upstream
        name = upstream.entry.name
        number = self._state.upstreams.next_attempt_number()
        upstream.start_attempt(
            number, self._state.baseline(outgoing.route), self._clock()
        )
        try:
            lease = await self._pool.take(name, upstream.entry.address)
        except ExchangeError:
            upstream.record_unreachable(number, self._clock())
            return _Result(Outcome.UNREACHABLE, cause=FailureKind.NOT_CONNECTED)
        except asyncio.CancelledError:
            upstream.record_not_run(number)
            raise
        try:
            answer = await lease.connection.exchange(
                self._request(outgoing, name), _is_foreign(outgoing.request_id)
            )
        except ExchangeError as error:
            self._pool.drop(name)
            if lease.is_reused and error.kind is FailureKind.RESET:
                upstream.record_not_run(number)
            else:
                upstream.record_failure(number, self._clock())
            return _Result(Outcome.FAILED, cause=error.kind)
        except asyncio.CancelledError:
            upstream.record_abandoned(number, self._clock())
            if lease.is_reused:
                self._pool.drop(name)
            raise
        return self._judge(upstream, number, lease.connection, answer)

    def _request(self, outgoing, upstream) -> HttpRequest:
        request = outgoing.request
        left_s = max(0.0, outgoing.deadline_at_s - self._clock())
        headers = platform.upstream_headers(
            request.headers, upstream, outgoing.account, left_s
        )
        return HttpRequest(request.method, request.target, headers, request.body)

    def _judge(self, upstream, number, connection, answer) -> _Result:
        now_s = self._clock()
        facts = platform.answer_facts(answer.status, answer.headers)
        if facts.load is not None:
            upstream.record_load(facts.load[0], facts.load[1], now_s)
        self._pool.give_back(upstream.entry.name, connection, facts.idle_for_s)
        if facts.is_not_run:
            if facts.is_misdirected:
                upstream.record_not_run(number)
                upstream.mark_misdirected()
            else:
                upstream.record_shed(number, now_s)
            return _Result(Outcome.NOT_RUN, cause=f"not-run {answer.status}")
        is_success = 200 <= answer.status < 300
        if facts.is_encoded or (is_success and not facts.is_sealed):
            upstream.record_failure(number, now_s)
            return _Result(Outcome.FAILED, cause="not the upstream's body")
        if answer.status >= 500:
            upstream.record_failure(number, now_s)
            cause = f"answered {answer.status}"
            return _Result(Outcome.FAILED_ANSWER, answer, cause)
        upstream.record_success(number, now_s)
        return _Result(Outcome.SERVED, answer)


def _is_foreign(request_id: str):
    """Return a test whether an answer belongs to another request."""

    def is_foreign(answer: Answer) -> bool:
        answered = platform.answer_facts(answer.status, answer.headers).request_id
        return bool(answered) and answered != request_id

    return is_foreign


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
