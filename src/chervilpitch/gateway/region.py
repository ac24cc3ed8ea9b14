"""This instance's view of its region: the others by rank, and its own role."""

from chervilpitch.observe import part_logger
from chervilpitch.policy import (
    AggregatorSelection,
    Group,
    Member,
    MemberTable,
    aggregators_of,
    is_aggregator,
    members_digest,
    preferred_aggregators,
    rank,
)

__all__ = ["RegionView"]

log = part_logger("fleet")

REFRESH_INTERVAL_S = 0.2
REFRESH_AFTER_CHANGE_S = 0.05


class RegionView:
    """Ranks, aggregators and group, refreshed at most every ``REFRESH_INTERVAL_S``.

    Parameters
    ----------
    members : MemberTable
        The other instances.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, members: MemberTable, clock):
        self._members = members
        self._clock = clock
        self._group = Group()
        self._selection = AggregatorSelection()
        self._aggregator: Member | None = None
        self._refresh_due_at_s = float("-inf")
        self._ranked: list[Member] = []
        self._other_aggregators: list[Member] = []
        self._known: tuple[Member, ...] = ()
        self._known_digest = 0
        self._is_aggregator = True
        self._basis: tuple[int, list[str]] | None = None

    @property
    def ranked(self) -> list[Member]:
        """Instances of the region by rank, this one included."""
        self._refresh_if_due()
        return self._ranked

    @property
    def is_first(self) -> bool:
        """Whether this instance ranks first in its region."""
        return self.ranked[0].name == self._members.own.name

    @property
    def is_aggregator(self) -> bool:
        """Whether this instance acts as an aggregator.

        One that others use as their aggregator does so, whatever its rank.
        """
        self._refresh_if_due()
        return self._is_aggregator or bool(self._group.addresses(self._clock()))

    @property
    def other_aggregators(self) -> list[Member]:
        """The other aggregators of the region."""
        self._refresh_if_due()
        return self._other_aggregators

    @property
    def aggregator(self) -> Member | None:
        """The aggregator that this instance uses; None if it is one itself."""
        self._refresh_if_due()
        return None if self.is_aggregator else self._aggregator

    @property
    def group(self) -> Group:
        """Instances that use this one as their aggregator."""
        return self._group

    @property
    def known(self) -> tuple[Member, ...]:
        """All live instances, this one first."""
        self._refresh_if_due()
        return self._known

    @property
    def known_digest(self) -> int:
        """Checksum of :attr:`known`."""
        self._refresh_if_due()
        return self._known_digest

    def refresh(self) -> None:
        """Work out ranks and roles from the members known now."""
        now_s = self._clock()
        self._refresh_due_at_s = now_s + REFRESH_INTERVAL_S
        live = self._members.live(now_s)
        names = [member.name for member in live]
        basis = (self._members.change_count, names)
        if basis == self._basis:
            self._update_heartbeats()
        else:
            self._basis = basis
            self._update_roles(live)
        self._choose_aggregator(now_s)

    def refresh_soon(self) -> None:
        """Refresh earlier than usual, since other instances have become known."""
        due_at_s = self._clock() + REFRESH_AFTER_CHANGE_S
        self._refresh_due_at_s = min(self._refresh_due_at_s, due_at_s)

    def record_timeout(self, name: str) -> None:
        """Record that an aggregator did not answer, and use another one."""
        self._selection.record_timeout(name, self._clock())
        self._choose_aggregator(self._clock())

    def use_aggregator(self, name: str) -> None:
        """Use an aggregator that has answered while the present one is silent."""
        self._selection.use(name)
        self._choose_aggregator(self._clock())

    def _update_roles(self, live):
        own = self._members.own
        near = [item for item in live if item.region == own.region]
        self._ranked = rank([own, *near])
        self._other_aggregators = [
            item for item in aggregators_of(self._ranked) if item.name != own.name
        ]
        was_aggregator = self._is_aggregator
        self._is_aggregator = is_aggregator(self._ranked, own)
        if self._is_aggregator and not was_aggregator:
            self._members.end_relaying(self._clock())
        self._known = (own, *live)
        self._known_digest = members_digest(self._known)

    def _update_heartbeats(self):
        """Replace the records by those with the latest heartbeats."""
        own = self._members.own
        latest = {own.name: own}
        for member in self._known[1:]:
            latest[member.name] = self._members.get(member.name)
        self._known = tuple(latest.values())
        self._ranked = [latest[member.name] for member in self._ranked]

    def _refresh_if_due(self):
        if self._clock() >= self._refresh_due_at_s:
            self.refresh()

    def _choose_aggregator(self, now_s):
        before = self._aggregator.name if self._aggregator else ""
        self._aggregator = None
        if not self._is_aggregator:
            preferred = preferred_aggregators(self._ranked, self._members.own)
            self._aggregator = self._selection.choose(preferred, now_s)
        after = self._aggregator.name if self._aggregator else ""
        if before != after:
            log.info("Aggregator of this instance changed.", before=before, now=after)
