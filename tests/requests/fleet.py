"""A simulated fleet with its network and an upstream that counts executions."""

from collections import Counter
from typing import NamedTuple

from hypothesis import strategies as st
from result import Ok

from chervilpitch.model import Instance, RefusalKind, RunState, Sender
from chervilpitch.requests import (
    Answered,
    FirstRun,
    NotRun,
    Recorded,
    TicketRecords,
    Unknown,
    begin_request,
    close_unused_tickets,
    hand_over,
    issue_ticket,
    receive,
    record_outcome,
    tick,
    update_instances,
    verify_ticket,
)
from chervilpitch.requests.naive import (
    NaiveRecords,
    naive_begin_request,
    naive_record_outcome,
)

SECRET = b"secret of the fleet"
NAMES = ("a", "b", "c")
ENDS = ("answered", "answer-lost", "shed", "not-connected", "nothing-known")


class CallerResponse(NamedTuple):
    """What a caller receives: the run state, and the body of a response."""

    run: RunState
    body: bytes | None = None


def response_of(outcome):
    match outcome:
        case Answered(body=body):
            return CallerResponse(RunState.RUN, body)
        case NotRun():
            return CallerResponse(RunState.NOT_RUN)
        case _:
            return CallerResponse(RunState.UNKNOWN)


class TicketInstance:
    """An instance with the ticket records under test."""

    def __init__(self, name, incarnation):
        self.sender = Sender(name, incarnation)
        self.records = TicketRecords(name, incarnation, SECRET, max_records=40)

    def grant(self, account, number, now_s):
        return issue_ticket(self.records, account, "booking", f"t{number}", now_s).ok()

    def begin(self, token, account, digest, now_s):
        tick(self.records, now_s)
        ticket = verify_ticket(SECRET, token).unwrap()
        result = begin_request(self.records, ticket, account, "booking", digest, now_s)
        return result.ok_value if isinstance(result, Ok) else result.err_value

    def finish(self, record_id, outcome, now_s):
        record_outcome(self.records, record_id, outcome, now_s)

    def update_peers(self, others, now_s):
        known = {n: Instance(n, 1, "r/d", f"{n}:1", f"{n}:2") for n in NAMES}
        update_instances(self.records, known, now_s)
        for other in others:
            self.records.peer_tickets.record_incarnation(other.sender)

    def stop(self, others, now_s):
        close_unused_tickets(self.records, now_s)
        for send in hand_over(self.records, ("any",), now_s):
            for other in others:
                receive(send.message, other.records, self.sender, now_s)

    def retries_after(self, end):
        return False


class NaiveInstance:
    """An instance with a cache of idempotency keys."""

    def __init__(self, name, incarnation):
        self.records = NaiveRecords(max_entries=8)

    def grant(self, account, number, now_s):
        return f"t{number}"

    def begin(self, token, account, digest, now_s):
        return naive_begin_request(self.records, token)

    def finish(self, record_id, outcome, now_s):
        if isinstance(outcome, Answered):
            naive_record_outcome(self.records, record_id, outcome)

    def update_peers(self, others, now_s):
        pass

    def stop(self, others, now_s):
        pass

    def retries_after(self, end):
        return end in ("answer-lost", "nothing-known")


class Message(NamedTuple):
    """A request in the network; a slow link or a paused instance may delay it."""

    name: str
    token: str
    account: str
    digest: str


class Run(NamedTuple):
    """A request that an instance has started."""

    name: str
    record_id: str
    token: str
    digest: str


class Fleet:
    """Apply events to the instances and count the executions of each ticket."""

    def __init__(self, kind):
        self.kind = kind
        self.now_s = 0.0
        self.incarnations = Counter()
        self.instances = {name: kind(name, 0) for name in NAMES}
        self.tokens = []
        self.network = []
        self.runs = []
        self.ran = Counter()
        self.reported_not_run = set()
        self.update_peers()

    def update_peers(self):
        for instance in self.instances.values():
            instance.update_peers(self.instances.values(), self.now_s)

    def apply(self, event):
        getattr(self, event[0])(*event[1:])
        self.check()

    def check(self):
        assert all(count <= 1 for count in self.ran.values()), "ran twice"
        assert not self.reported_not_run & set(self.ran), "not-run was false"

    def grant(self, name):
        token = self.instances[name].grant("own", len(self.tokens), self.now_s)
        if token is not None:
            self.tokens.append(token)

    def send(self, index, name, account, variant):
        if self.tokens:
            token = self.tokens[index % len(self.tokens)]
            self.network.append(Message(name, token, account, f"{token}/{variant}"))

    def request(self, name, copies):
        self.grant(name)
        for _ in range(copies):
            self.send(len(self.tokens) - 1, name, "own", 0)

    def deliver(self, index):
        if not self.network:
            return
        message = self.network.pop(index % len(self.network))
        instance = self.instances[message.name]
        result = instance.begin(*message[1:], self.now_s)
        if isinstance(result, FirstRun):
            assert message.account == "own", "ran for another account"
            run = Run(message.name, result.record_id, message.token, message.digest)
            self.runs.append(run)
        elif isinstance(result, Recorded):
            assert message.account == "own", "answered another account"
            self.check_response(
                message.token, message.digest, response_of(result.outcome)
            )
        else:
            self.check_response(
                message.token, message.digest, CallerResponse(result.run)
            )

    def complete(self, index, end):
        if not self.runs:
            return
        run = self.runs.pop(index % len(self.runs))
        instance = self.instances[run.name]
        if end in ("answered", "answer-lost"):
            self.ran[run.token] += 1
        if instance.retries_after(end):
            self.ran[run.token] += 1
            end = "answered"
        outcome = self.outcome(end, run)
        instance.finish(run.record_id, outcome, self.now_s)
        if end != "answer-lost":
            self.check_response(run.token, run.digest, response_of(outcome))

    def outcome(self, end, run):
        if end == "answered":
            return Answered(200, (), run.digest.encode())
        if end in ("shed", "not-connected"):
            return NotRun(RefusalKind.UPSTREAM_SHED)
        return Unknown(RefusalKind.UPSTREAM_FAILED)

    def check_response(self, token, digest, response):
        if response.body is not None:
            assert response.body == digest.encode(), "response of another request"
        if response.run is RunState.NOT_RUN:
            self.reported_not_run.add(token)

    def crash(self, name):
        self.ran.update(run.token for run in self.runs if run.name == name)
        self.runs = [run for run in self.runs if run.name != name]
        self.replace(name)

    def stop(self, name):
        while any(run.name == name for run in self.runs):
            indices = [i for i, run in enumerate(self.runs) if run.name == name]
            self.complete(indices[0], "answered")
        others = [self.instances[other] for other in NAMES if other != name]
        self.instances[name].stop(others, self.now_s)
        self.replace(name)

    def replace(self, name):
        self.incarnations[name] += 1
        self.instances[name] = self.kind(name, self.incarnations[name])
        self.update_peers()

    def advance(self, seconds):
        self.now_s += seconds


_INDEX = st.integers(0, 9)
_NAME = st.sampled_from(NAMES)
_REQUEST = st.tuples(st.just("request"), _NAME, st.integers(1, 3))
_SEND = st.tuples(
    st.just("send"),
    _INDEX,
    _NAME,
    st.sampled_from(("own", "own", "own", "thief")),
    st.integers(0, 1),
)
_DELIVER = st.tuples(st.just("deliver"), _INDEX)
_COMPLETE = st.tuples(st.just("complete"), _INDEX, st.sampled_from(ENDS))
_FAULT = st.one_of(
    st.tuples(st.just("crash"), _NAME),
    st.tuples(st.just("stop"), _NAME),
    st.tuples(st.just("advance"), st.sampled_from((0.5, 59.5, 60.0, 180.0))),
)
_CHOICES = (_REQUEST, _DELIVER, _DELIVER, _DELIVER, _COMPLETE, _COMPLETE, _SEND, _FAULT)
EVENTS = st.lists(
    st.integers(0, len(_CHOICES) - 1).flatmap(_CHOICES.__getitem__),
    min_size=40,
    max_size=90,
)


def run(kind, events):
    """Apply events to a new fleet and return it."""
    fleet = Fleet(kind)
    for event in events:
        fleet.apply(event)
    return fleet
