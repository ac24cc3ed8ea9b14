"""Random schedules of faults: revisions never fall and the fleet converges."""

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


def act(fleet, action):
    """Cause one fault or let time pass."""
    match action:
        case ("publish",):
            fleet.platform.publish()
        case ("down", names):
            fleet.down = names
        case ("stale", names, behind):
            fleet.behind = {name: behind for name in names}
        case ("split", names):
            fleet.split(names, set(NAMES) - names)
        case ("one-way", origins, targets):
            fleet.cuts = {(a, b) for a in origins for b in targets}
        case ("freeze", names):
            fleet.frozen = names
        case ("restart", name):
            fleet.start(name)
        case ("pause", seconds):
            fleet.run(seconds)
    fleet.run(0.5)


@given(st.lists(actions, max_size=12), st.integers(0, 99), st.sampled_from([0, 0.3]))
def test_revisions_never_fall_and_all_connected_converge(schedule, seed, loss):
    fleet = Fleet(len(NAMES), seed=seed, loss=loss)
    for action in schedule:
        act(fleet, action)
    fleet.down, fleet.behind, fleet.cuts = set(), {}, set()
    fleet.frozen, fleet.loss = set(), 0.0
    fleet.run(45)
    assert fleet.in_force() == {fleet.platform.head}
    assert fleet.are_ready()
    assert not fleet.recorded("conflict")


@given(st.lists(st.one_of(actions, st.just(("rival",))), max_size=12))
def test_rivals_never_undo_a_note_in_force(schedule):
    fleet = Fleet(len(NAMES))
    fleet.platform.publish()
    held = {}
    for action in schedule:
        if action == ("rival",):
            fleet.platform.rival(rate=50 + len(fleet.platform.history))
            fleet.run(0.5)
        else:
            act(fleet, action)
        if action[0] == "restart":
            held.pop(action[1], None)
        for name, state in fleet.states.items():
            revision, digest = catalogue(state)[:2]
            assert held.get(name, (0, ""))[0] <= revision
            assert held.get(name) in (None, (revision, digest)) or (
                state.chain.digest_of(held[name][0]) in ("", held[name][1])
            )
            held[name] = (revision, digest)
