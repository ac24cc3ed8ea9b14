"""Random fault schedules: revisions never fall and the fleet converges."""

from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.spread import catalogue
from tests.spread.fleet import Fleet

NAMES = [f"i{n}" for n in range(6)]
some = st.sets(st.sampled_from(NAMES))
actions = st.one_of(
    st.tuples(st.just("publish")),
    st.tuples(st.just("down"), some),
    st.tuples(st.just("stale"), some, st.integers(1, 4)),
    st.tuples(st.just("split"), some),
    st.tuples(st.just("one-way"), some, some),
    st.tuples(st.just("freeze"), some),
    st.tuples(st.just("restart"), st.sampled_from(NAMES)),
    st.tuples(st.just("pause"), st.sampled_from([1, 4, 15])),
)


def run_action(fleet, action):
    """Cause one fault or let time pass."""
    match action:
        case ("publish",):
            fleet.platform.publish()
        case ("down", names):
            fleet.without_platform = names
        case ("stale", names, behind):
            fleet.replica_lags = {name: behind for name in names}
        case ("split", names):
            fleet.partition(names, set(NAMES) - names)
        case ("one-way", origins, targets):
            fleet.cut_links = {(a, b) for a in origins for b in targets}
        case ("freeze", names):
            fleet.frozen = names
        case ("restart", name):
            fleet.start(name)
        case ("pause", seconds):
            fleet.run(seconds)
    fleet.run(0.5)


@given(st.lists(actions, max_size=12), st.integers(0, 99), st.sampled_from([0, 0.3]))
def test_revisions_never_fall_and_connected_instances_converge(schedule, seed, loss):
    fleet = Fleet(len(NAMES), seed=seed, loss=loss)
    for action in schedule:
        run_action(fleet, action)
    fleet.without_platform, fleet.replica_lags, fleet.cut_links = set(), {}, set()
    fleet.frozen, fleet.loss = set(), 0.0
    fleet.run(45)
    assert fleet.in_force() == {fleet.platform.head}
    assert fleet.are_ready()
    assert not fleet.recorders_of("conflict")


@given(st.lists(st.one_of(actions, st.just(("conflict",))), max_size=12))
def test_conflicting_notes_never_undo_a_note_in_force(schedule):
    fleet = Fleet(len(NAMES))
    fleet.platform.publish()
    held = {}
    for action in schedule:
        if action == ("conflict",):
            fleet.platform.publish_conflicting(rate=50 + len(fleet.platform.history))
            fleet.run(0.5)
        else:
            run_action(fleet, action)
        if action[0] == "restart":
            held.pop(action[1], None)
        for name, state in fleet.states.items():
            revision, digest = catalogue(state)[:2]
            assert held.get(name, (0, ""))[0] <= revision
            assert held.get(name) in (None, (revision, digest)) or (
                state.chain.digest_in_force(held[name][0]) in ("", held[name][1])
            )
            held[name] = (revision, digest)
