"""View of the fleet in one instance: the published list and evidence from peers."""

from collections.abc import Collection, Mapping

from chervilpitch.model import Effect, Event, Instance, InstanceState, Record

from .directory import DirectoryCache
from .evidence import EvidenceTable, SilenceReports
from .homeseats import HomeSeatCache
from .neighbours import neighbours
from .published_list import PublishedList
from .schedule import Schedule
from .status import Condition, InstanceStatus
from .status_cache import StatusCache, StatusSources

__all__ = [
    "MembershipState",
    "apply_list",
    "instance_statuses",
    "instances",
    "refresh_statuses",
]


class MembershipState:
    """Membership state of one instance.

    Parameters
    ----------
    own : Instance
        This instance.
    incarnation : int
        Random 64-bit number drawn when this process started.
    now_s : float
        Monotonic time in seconds.
    started_wall_ms : int
        Wall-clock time of the start in milliseconds since the Unix epoch; used
        only to choose between incarnations of the same name.

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
        self._last_statuses: Mapping[str, InstanceStatus] = {}
        self._published_list = PublishedList()
        self._evidence = EvidenceTable()
        self._silence_reports = SilenceReports()
        self._schedule = Schedule(now_s)
        self._status_cache = StatusCache()
        self._home_seat_cache = HomeSeatCache()
        self._directory_cache = DirectoryCache()

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
    def published_list(self) -> PublishedList:
        """The published list in use."""
        return self._published_list

    @property
    def evidence(self) -> EvidenceTable:
        """Evidence from peers."""
        return self._evidence

    @property
    def silence_reports(self) -> SilenceReports:
        """Reports of silent instances."""
        return self._silence_reports

    @property
    def schedule(self) -> Schedule:
        """Timers and serial numbers of the heartbeats."""
        return self._schedule

    @property
    def status_cache(self) -> StatusCache:
        """Cache of the statuses of all instances."""
        return self._status_cache

    @property
    def home_seat_cache(self) -> HomeSeatCache:
        """Cache of the home seats of client accounts."""
        return self._home_seat_cache

    @property
    def directory_cache(self) -> DirectoryCache:
        """Cache of the directory of usable instances."""
        return self._directory_cache

    @property
    def expected_since_s(self) -> Mapping[str, float]:
        """Monotonic time since when each neighbour should send heartbeats."""
        return self._expected_since_s

    @property
    def last_statuses(self) -> Mapping[str, InstanceStatus]:
        """Instance statuses at the last refresh."""
        return self._last_statuses

    def record_leaving(self, now_s: float) -> None:
        """Record that this instance has begun to leave."""
        self._leaving_at_s = now_s
        self._status_cache.invalidate()

    def record_statuses(self, statuses: Mapping[str, InstanceStatus]) -> None:
        """Record statuses for the comparison at the next refresh."""
        self._last_statuses = statuses

    def expect_heartbeats(self, names: Collection[str], now_s: float) -> None:
        """Replace the neighbours; heartbeats of new ones are expected from now on."""
        since_s = self._expected_since_s
        self._expected_since_s = {name: since_s.get(name, now_s) for name in names}

    def restart_heartbeat_timeouts(self, now_s: float) -> None:
        """Restart the timeout of every neighbour after this process was paused."""
        self._expected_since_s = dict.fromkeys(self._expected_since_s, now_s)
        self._status_cache.invalidate()


def apply_list(
    state: MembershipState, listed: Mapping[str, Instance], now_s: float
) -> tuple[Effect, ...]:
    """Apply a published list; call it for every list read, even if unchanged.

    Parameters
    ----------
    state : MembershipState
        Membership state; modified in place.
    listed : mapping of str to Instance
        Instances by name, from :func:`parse_instances`.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    name = state.own.name
    was_listed = name in state.published_list.instances
    changed = state.published_list.update(listed, now_s)
    if not changed:
        return ()
    if was_listed and name not in listed:
        state.schedule.trigger_announcement(now_s)
    state.status_cache.invalidate_names(changed)
    return refresh_statuses(state, now_s)


def refresh_statuses(state: MembershipState, now_s: float) -> tuple[Effect, ...]:
    """Refresh the status of every instance and choose the neighbours.

    Parameters
    ----------
    state : MembershipState
        Membership state; modified in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        An event for each instance whose condition changed.
    """
    before = state.last_statuses
    state.status_cache.invalidate()
    after = instance_statuses(state, now_s)
    changed = [
        status
        for name, status in after.items()
        if name not in before or before[name].condition is not status.condition
    ]
    state.record_statuses(after)
    if changed or len(after) != len(before):
        state.expect_heartbeats(
            neighbours(state.own.name, instances(state, now_s)), now_s
        )
    return tuple(
        Record(Event("membership", f"instance-{s.condition.value}", s.instance.name))
        for s in changed
    )


def instance_statuses(
    state: MembershipState, now_s: float
) -> Mapping[str, InstanceStatus]:
    """Return the statuses of all known instances, including gone ones.

    Parameters
    ----------
    state : MembershipState
        Membership state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    mapping of str to InstanceStatus
        Instance statuses by name.
    """
    is_leaving = state.leaving_at_s is not None
    condition = Condition.LEAVING if is_leaving else Condition.LIVE
    is_listed = state.own.name in state.published_list.instances
    sources = StatusSources(
        own=InstanceStatus(state.own, condition, listed=is_listed),
        published_list=state.published_list,
        evidence=state.evidence,
        silence_reports=state.silence_reports,
        expected_since_s=state.expected_since_s,
    )
    return state.status_cache.statuses(sources, now_s)


def instances(state: MembershipState, now_s: float) -> Mapping[str, Instance]:
    """Return the known instances except those that are gone.

    Parameters
    ----------
    state : MembershipState
        Membership state.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    mapping of str to Instance
        Instances by name; their state shows whether they are leaving.
    """
    return {
        name: status.instance
        for name, status in instance_statuses(state, now_s).items()
        if status.condition is not Condition.GONE
    }
