"""The fleet as one instance sees it: the published list and its peers' evidence."""

from collections.abc import Collection, Mapping

from chervilpitch.model import Effect, Event, Instance, InstanceState, Record

from .directory import DirectoryCache
from .evidence import EvidenceTable, SilenceReports
from .following import FollowedList
from .homeseats import HomeSeats
from .neighbours import neighbours
from .schedule import Schedule
from .standing import Condition, Standing
from .survey import Sources, Survey

__all__ = [
    "MembershipState",
    "apply_list",
    "instance_statuses",
    "instances",
    "review",
]


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
        self._expected_since_s: dict[str, float] = {}
        self._reviewed: Mapping[str, Standing] = {}
        self._followed = FollowedList()
        self._evidence = EvidenceTable()
        self._silence = SilenceReports()
        self._schedule = Schedule(now_s)
        self._survey = Survey()
        self._home_seats = HomeSeats()
        self._directories = DirectoryCache()

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

    @property
    def followed(self) -> FollowedList:
        """The published list in use."""
        return self._followed

    @property
    def evidence(self) -> EvidenceTable:
        """Evidence of the peers."""
        return self._evidence

    @property
    def silence(self) -> SilenceReports:
        """Reports of silent instances."""
        return self._silence

    @property
    def schedule(self) -> Schedule:
        """Deadlines and serial numbers of the heartbeats."""
        return self._schedule

    @property
    def status_cache(self) -> Survey:
        """Standings of all instances."""
        return self._survey

    @property
    def home_seats(self) -> HomeSeats:
        """Home seats of the accounts asked for lately."""
        return self._home_seats

    @property
    def directories(self) -> DirectoryCache:
        """Instances that answers may name."""
        return self._directories

    @property
    def expected_since_s(self) -> Mapping[str, float]:
        """Since when each neighbour should send heartbeats, in seconds."""
        return self._expected_since_s

    @property
    def reviewed(self) -> Mapping[str, Standing]:
        """Standings at the last review."""
        return self._reviewed

    def note_leaving(self, now_s: float) -> None:
        """Note that this instance has begun to leave."""
        self._leaving_at_s = now_s
        self._survey.invalidate()

    def note_review(self, reviewed: Mapping[str, Standing]) -> None:
        """Keep standings to compare the next review with."""
        self._reviewed = reviewed

    def expect(self, names: Collection[str], now_s: float) -> None:
        """Expect heartbeats of some instances, new ones from now on."""
        since_s = self._expected_since_s
        self._expected_since_s = {name: since_s.get(name, now_s) for name in names}

    def expect_anew(self, now_s: float) -> None:
        """Give every neighbour a full time-out, since nothing could be heard."""
        self._expected_since_s = dict.fromkeys(self._expected_since_s, now_s)
        self._survey.invalidate()


def apply_list(
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
    name = state.own.name
    was_listed = name in state.followed.instances
    changed = state.followed.follow(listed, now_s)
    if not changed:
        return ()
    if was_listed and name not in listed:
        state.schedule.hurry_announcement(now_s)
    state.status_cache.revive(changed)
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
    before = state.reviewed
    state.status_cache.invalidate()
    after = instance_statuses(state, now_s)
    changed = [
        standing
        for name, standing in after.items()
        if name not in before or before[name].condition is not standing.condition
    ]
    state.note_review(after)
    if changed or len(after) != len(before):
        state.expect(neighbours(state.own.name, instances(state, now_s)), now_s)
    return tuple(
        Record(Event("membership", f"instance-{s.condition.value}", s.instance.name))
        for s in changed
    )


def instance_statuses(state: MembershipState, now_s: float) -> Mapping[str, Standing]:
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
    is_leaving = state.leaving_at_s is not None
    condition = Condition.LEAVING if is_leaving else Condition.LIVE
    is_listed = state.own.name in state.followed.instances
    sources = Sources(
        own=Standing(state.own, condition, listed=is_listed),
        followed=state.followed,
        evidence=state.evidence,
        silence=state.silence,
        expected_since_s=state.expected_since_s,
    )
    return state.status_cache.standings(sources, now_s)


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
        for name, standing in instance_statuses(state, now_s).items()
        if standing.condition is not Condition.GONE
    }
