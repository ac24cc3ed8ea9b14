"""Notes, catalogues and strategies shared by the tests of release notes."""

from hypothesis import strategies as st

from chervilpitch.model import (
    EMPTY_CATALOGUE,
    ClientAccount,
    Key,
    Route,
    Upstream,
)
from chervilpitch.notes import Added, ItemKind, ReleaseNote, Seat, apply, parse

KEY = "ab" * 32
TEXT = f"""\
# The first note.
[note]
revision = 1
follows =

[added account fitters]
rate-per-s = 50
burst = 100

[added key {KEY}]
account = fitters

[added route booking]
prefix = /booking
service = fitting-desk
timeout-s = 5
idempotent = no
accounts = fitters

[added upstream fd-1]
service = fitting-desk
address = 127.0.0.1:9001
failure-domain = punjab/a
slots = 4
connections = 330

[added seat 0]
failure-domain = punjab/a
"""
FIRST = apply(EMPTY_CATALOGUE, parse(TEXT, "1.ini").unwrap()).unwrap()

names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True)
digests = st.integers(0, 2**256 - 1).map(lambda number: f"{number:064x}")
rates = st.floats(0.001, 1e9)


def second(sections):
    """Parse a second note with the given sections."""
    head = f"[note]\nrevision = 2\nfollows = {FIRST.digest}\n"
    return parse(head + sections, "2.ini")


@st.composite
def first_notes(draw):
    """Draw a note for the empty catalogue whose references are valid."""
    accounts = draw(st.lists(names, unique=True, min_size=1, max_size=4))
    keys = draw(st.lists(digests, unique=True, max_size=4))
    upstreams = draw(st.lists(names, unique=True, min_size=1, max_size=4))
    services = [draw(names) for _ in upstreams]
    routes = draw(st.lists(names, unique=True, max_size=3))
    items = [
        *(ClientAccount(n, draw(rates), draw(st.floats(1, 1e9))) for n in accounts),
        *(Key(digest, draw(st.sampled_from(accounts))) for digest in keys),
        *(
            Upstream(
                n, service, f"127.0.0.1:{9000 + i}", "a/b", 4, 330, draw(st.booleans())
            )
            for i, (n, service) in enumerate(zip(upstreams, services))
        ),
        *(
            Route(
                name,
                f"/r{number}",
                draw(st.sampled_from(services)),
                draw(st.floats(0.001, 3600)),
                draw(st.booleans()),
                tuple(draw(st.lists(st.sampled_from(accounts), unique=True))),
            )
            for number, name in enumerate(routes)
        ),
        *(Seat(number, "a/b") for number in range(draw(st.integers(0, 3)))),
    ]
    changes = [
        Added(ItemKind(type(i).__name__.lower().replace("client", "")), str(i[0]), i)
        for i in items
    ]
    return ReleaseNote(1, "", tuple(draw(st.permutations(changes))))
