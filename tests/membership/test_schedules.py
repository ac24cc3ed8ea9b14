"""Random schedules of blocked links, pauses, delayed messages, stops and restarts."""

from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from chervilpitch.membership import Condition, instance_statuses, select_addresses
from tests.membership.fleet import Fleet, instance, seats_of

SIZE = 12
PHASES = (Phase.explicit, Phase.reuse, Phase.generate)
NAMES = [f"i{seat}" for seat in range(SIZE)]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["cut", "heal", "freeze", "thaw", "late", "leave", "replace", "wait"]
        ),
        st.sampled_from(NAMES),
        st.sampled_from(NAMES),
    ),
    max_size=10,
)


class FaultSchedule:
    """Applies steps and records which instances were paused, left or were replaced."""

    def __init__(self):
        self.fleet = Fleet(SIZE)
        self.fleet.run(4, step_s=1)
        self.paused = set()
        self.left = set()
        self.replaced = set()

    def is_running(self, name):
        return any(k[0] == name for k in self.fleet.states if self.runs(k))

    def runs(self, key):
        return key not in self.fleet.stopped

    def apply_step(self, step, name, other):
        fleet = self.fleet
        if step == "cut" and name != other:
            fleet.blocked_links.add((name, other))
        elif step == "heal":
            fleet.blocked_links.clear()
        elif step == "late":
            fleet.deliver_delayed()
        elif step == "thaw":
            fleet.stopped -= self.paused
            self.paused.clear()
        elif step == "replace":
            self._replace(name)
        elif self.is_running(name):
            self._apply_fault(step, name)
        fleet.run(3, step_s=1)

    def _apply_fault(self, step, name):
        if step == "freeze":
            self.paused.add(self.fleet.key_of(name))
            self.fleet.stop(name)
        elif step == "leave":
            self.fleet.leave(name)
            self.left.add(name)

    def _replace(self, name):
        """Start another process with the same name; a paused one may still resume."""
        if name in self.replaced:
            return
        if self.is_running(name):
            self.fleet.stop(name)
        self.replaced.add(name)
        self.left.discard(name)
        seat = int(name[1:])
        self.fleet.start(instance(seat, name), incarnation=5_000 + seat)


def ask(schedule, name):
    fleet = schedule.fleet
    seats = seats_of(fleet.listed)
    return select_addresses(
        fleet.state_of(name), seats, "fitters", fleet.now_s
    ).instances


@settings(max_examples=40, phases=PHASES)
@given(STEPS)
def test_selections_are_never_empty_and_never_name_instances_known_to_leave(steps):
    schedule = FaultSchedule()
    for step in steps:
        schedule.apply_step(*step)
        for name in filter(schedule.is_running, NAMES):
            state = schedule.fleet.state_of(name)
            named = ask(schedule, name)
            seen = instance_statuses(state, schedule.fleet.now_s).values()
            usable = {Condition.LIVE, Condition.SUSPECT}
            assert named or not any(s.condition in usable for s in seen)
            assert state.leaving_at_s is None or name not in named


@settings(max_examples=40, phases=PHASES)
@given(STEPS)
@example([("leave", "i4", "i0"), ("replace", "i1", "i0")])
@example([("freeze", "i0", "i0"), ("leave", "i10", "i0"), ("wait", "i0", "i0")])
def test_views_converge_to_the_actual_state_after_the_last_fault(steps):
    schedule = FaultSchedule()
    for step in steps:
        schedule.apply_step(*step)
    fleet = schedule.fleet
    fleet.blocked_links.clear()
    fleet.stopped -= schedule.paused
    fleet.run(70, step_s=2)
    for name in filter(schedule.is_running, NAMES):
        seen = instance_statuses(fleet.state_of(name), fleet.now_s)
        for other in NAMES:
            expected = {Condition.LIVE}
            if other in schedule.left:
                expected = {Condition.LEAVING}
                if other in schedule.replaced:
                    expected.add(Condition.LIVE)
            assert seen[other].condition in expected, (name, other)
