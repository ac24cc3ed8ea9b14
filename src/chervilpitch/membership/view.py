"""The fleet as one instance sees it: the published list and its peers' evidence."""

import math
from collections.abc import Mapping
from typing import TypedDict

import xxhash

from chervilpitch.model import Effect, Event, Instance, InstanceState, Record

from .evidence import EvidenceTable, SilenceReports
from .homeseats import HomeSeats
from .listing import format_instances
from .neighbours import neighbours
from .schedule import Schedule
from .standing import Condition, Judgement, Standing, judge

__all__ = [
    "InstanceSnapshot",
    "MembershipState",
    "follow_list",
    "instances",
    "is_current",
    "review",
    "snapshot",
    "standings",
    "view_age",
]

PAUSE_S = 3.0
CURRENT_FOR_S = 10.0
OBSERVERS_NEEDED = 2
STANDINGS_FOR_S = 1.0


class MembershipState:
    """State of the membership part of one instance.

    Parameters
    ----------
    own : Instance
        This instance.
    incarnation : int
        Random 64-bit number drawn when this process started.
    now_s : float
        Monotonic time in seconds.
    started_wall_ms : int
        Wall-clock time of the start in milliseconds since the Unix epoch; it
        only chooses between two incarnations of one name.

    Examples
    --------
    >>> own = Instance("a", 0, "punjab/a", "10.0.0.1:80", "10.0.0.1:90")
    >>> state = MembershipState(own, 7, 0.0)
    >>> list(instances(state, 0.0))
    ['a']
    """

    def __init__(
        self, own: Instance, incarnation: int, now_s: float, started_wall_ms: int = 0
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._started_wall_ms = started_wall_ms
        self._leaving_at_s: float | None = None
        self._listed: Mapping[str, Instance] = {}
        self._list_digest = 0
        self._list_read_at_s = -math.inf
        self._leaving_listed_at_s: dict[str, float] = {}
        self._delisted_at_s: dict[str, float] = {}
        self._expected_since_s: dict[str, float] = {}
        self._members: frozenset[str] = frozenset()
        self._gone: set[str] = set()
        self._standings: Mapping[str, Standing] = {}
        self._judged_until_s = -math.inf
        self.evidence = EvidenceTable()
        self.silence = SilenceReports()
        self.schedule = Schedule(now_s)
        self.home_seats = HomeSeats()

    @property
    def own(self) -> Instance:
        """This instance."""
        if self._leaving_at_s is None:
            return self._own
        return self._own._replace(state=InstanceState.LEAVING)

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self._incarnation

    @property
    def started_wall_ms(self) -> int:
        """Wall-clock time of the start in milliseconds since the Unix epoch."""
        return self._started_wall_ms

    @property
    def leaving_at_s(self) -> float | None:
        """Monotonic time in seconds at which it began to leave, if it has."""
        return self._leaving_at_s

    @leaving_at_s.setter
    def leaving_at_s(self, now_s: float) -> None:
        self._leaving_at_s = now_s
        self._judged_until_s = -math.inf

    @property
    def listed(self) -> Mapping[str, Instance]:
        """The published list in use."""
        return self._listed

    @property
    def list_digest(self) -> int:
        """Digest of the published list in use; 0 for none."""
        return self._list_digest

    @property
    def expected_since_s(self) -> Mapping[str, float]:
        """Since when each neighbour should send heartbeats, in seconds."""
        return self._expected_since_s

    def expect_anew(self, now_s: float) -> None:
        """Give every neighbour a full time-out, since nothing could be heard."""
        self._expected_since_s = dict.fromkeys(self._expected_since_s, now_s)
        self._judged_until_s = -math.inf

    def revive(self, name: str) -> None:
        """Judge an instance anew after a sign of life."""
        self._gone.discard(name)
        self._judged_until_s = -math.inf


class InstanceSnapshot(TypedDict):
    """One instance as the status command shows it."""

    name: str
    seat: int
    failure_domain: str
    callers_address: str
    condition: str
    two_way: bool
    listed: bool
    neighbour: bool


def follow_list(
    state: MembershipState, listed: Mapping[str, Instance], now_s: float
) -> tuple[Effect, ...]:
    """Follow a published list; call it for each list read, also an unchanged one.

    Parameters
    ----------
    state : MembershipState
        State, changed in place.
    listed : mapping of str to Instance
        Instances by name, as :func:`parse_instances` gave them.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    state._list_read_at_s = now_s
    if listed == state._listed:
        return ()
    if state.own.name in state._listed.keys() - listed.keys():
        state.schedule.hurry_announcement(now_s)
    for name in state._listed.keys() - listed.keys():
        state._delisted_at_s[name] = now_s
        state._leaving_listed_at_s.pop(name, None)
    for name, instance in listed.items():
        if instance != state._listed.get(name):
            _follow_entry(state, instance, now_s)
    state._listed = dict(listed)
    text = format_instances(listed)
    state._list_digest = xxhash.xxh3_64_intdigest(text.encode())
    return review(state, now_s)


def review(state: MembershipState, now_s: float) -> tuple[Effect, ...]:
    """Judge every instance anew and choose the neighbours.

    Parameters
    ----------
    state : MembershipState
        State, changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        An event for each instance whose condition has changed.
    """
    before = state._standings
    state._judged_until_s = -math.inf
    after = standings(state, now_s)
    _choose_neighbours(state, now_s)
    changed = [
        standing
        for name, standing in after.items()
        if name not in before or before[name].condition is not standing.condition
    ]
    return tuple(
        Record(Event("membership", f"instance-{s.condition.value}", s.instance.name))
        for s in changed
    )


def standings(state: MembershipState, now_s: float) -> Mapping[str, Standing]:
    """Return what is believed of every instance known, gone ones included.

    Parameters
    ----------
    state : MembershipState
        State.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    mapping of str to Standing
        Standings by name.
    """
    if now_s >= state._judged_until_s:
        state._standings = _fresh_standings(state, now_s)
        state._judged_until_s = now_s + STANDINGS_FOR_S
    return state._standings


def instances(state: MembershipState, now_s: float) -> Mapping[str, Instance]:
    """Return the instances known, without those that are gone.

    Parameters
    ----------
    state : MembershipState
        State.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    mapping of str to Instance
        Instances by name; the state tells the leaving ones.
    """
    return {
        name: standing.instance
        for name, standing in standings(state, now_s).items()
        if standing.condition is not Condition.GONE
    }


def view_age(state: MembershipState, now_s: float) -> float:
    """Return how long ago the list or a two-way heartbeat confirmed the view.

    Parameters
    ----------
    state : MembershipState
        State.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Age in seconds; infinite when nothing has confirmed it.
    """
    confirmed_at_s = max(state._list_read_at_s, state.evidence.confirmed_at_s)
    return now_s - confirmed_at_s


def is_current(state: MembershipState, now_s: float) -> bool:
    """Return whether the view may be trusted after a pause or a cut.

    Parameters
    ----------
    state : MembershipState
        State.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False when the process has not run for seconds or heard nothing lately.
    """
    if now_s - state.schedule.ticked_at_s > PAUSE_S:
        return False
    return view_age(state, now_s) <= CURRENT_FOR_S


def snapshot(state: MembershipState, now_s: float) -> tuple[InstanceSnapshot, ...]:
    """Return the view for the status command, by seat and name.

    Parameters
    ----------
    state : MembershipState
        State.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of InstanceSnapshot
        One entry per instance known.
    """
    ordered = sorted(
        standings(state, now_s).values(), key=lambda s: (s.instance.seat, s.instance)
    )
    return tuple(
        InstanceSnapshot(
            name=standing.instance.name,
            seat=standing.instance.seat,
            failure_domain=standing.instance.failure_domain,
            callers_address=standing.instance.callers_address,
            condition=standing.condition.value,
            two_way=standing.two_way,
            listed=standing.listed,
            neighbour=standing.instance.name in state.expected_since_s,
        )
        for standing in ordered
    )


def _follow_entry(state: MembershipState, instance: Instance, now_s: float) -> None:
    name = instance.name
    state._gone.discard(name)
    state._delisted_at_s.pop(name, None)
    if instance.state is InstanceState.LEAVING:
        state._leaving_listed_at_s.setdefault(name, now_s)
    else:
        state._leaving_listed_at_s.pop(name, None)


def _fresh_standings(state: MembershipState, now_s: float) -> Mapping[str, Standing]:
    """Judge the instances that anything but the list bears on."""
    own_name = state.own.name
    fresh = {name: _as_listed(instance) for name, instance in state.listed.items()}
    by_name = state.evidence.by_name
    judged = by_name.keys() | state._expected_since_s.keys() & fresh.keys()
    judged |= (state.silence.subjects | state._gone) & fresh.keys()
    for name in judged - {own_name}:
        fresh[name] = judge(_judgement(state, name, now_s), now_s)
        if fresh[name].condition is Condition.GONE:
            state._gone.add(name)
    is_leaving = state.leaving_at_s is not None
    own_condition = Condition.LEAVING if is_leaving else Condition.LIVE
    fresh[own_name] = Standing(state.own, own_condition, listed=own_name in fresh)
    return fresh


def _as_listed(instance: Instance) -> Standing:
    if instance.state is InstanceState.LEAVING:
        return Standing(instance, Condition.LEAVING, two_way=False)
    return Standing(instance, Condition.LIVE)


def _judgement(state: MembershipState, name: str, now_s: float) -> Judgement:
    return Judgement(
        listed=state._listed.get(name),
        leaving_listed_at_s=state._leaving_listed_at_s.get(name, math.inf),
        delisted_at_s=state._delisted_at_s.get(name, -math.inf),
        incarnations=tuple(state.evidence.by_name.get(name, {}).values()),
        expected_since_s=state._expected_since_s.get(name),
        is_reported_silent=state.silence.observers(name, now_s) >= OBSERVERS_NEEDED,
        was_gone=name in state._gone,
    )


def _choose_neighbours(state: MembershipState, now_s: float) -> None:
    """Keep the neighbours unless an instance has come or gone."""
    known = instances(state, now_s)
    if known.keys() == state._members:
        return
    state._members = frozenset(known)
    chosen = neighbours(state.own.name, known)
    since_s = state._expected_since_s
    state._expected_since_s = {name: since_s.get(name, now_s) for name in chosen}
