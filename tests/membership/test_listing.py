"""A published list is accepted or rejected as a whole."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.membership import (
    ListProblemKind,
    format_instances,
    parse_instances,
    shared_seats,
)
from chervilpitch.model import Instance, InstanceState

GOOD = """
[instance a]
seat = 0
failure-domain = punjab/a
callers = 10.0.0.1:80
peers = 10.0.0.1:90
state = live
"""
OTHER = GOOD.replace("instance a", "instance b").replace("10.0.0.1", "10.0.0.2")
KIND = ListProblemKind


def kinds(text):
    return [problem.kind for problem in parse_instances(text).err()]


@pytest.mark.parametrize(
    "text, kind",
    [
        (b"\xff\xfe", KIND.NOT_TEXT),
        ("seat = 0", KIND.NOT_INI),
        (GOOD + GOOD, KIND.DUPLICATE_SECTION),
        ("x" * 2_000_000, KIND.TOO_LARGE),
        ("\n", KIND.EMPTY),
        (GOOD + "[thing]\n", KIND.BAD_SECTION),
        (GOOD.replace("instance a", "instance A b"), KIND.BAD_NAME),
        (GOOD.replace("state = live", ""), KIND.MISSING_OPTION),
        (GOOD + "colour = red\n", KIND.UNKNOWN_OPTION),
        (GOOD.replace("seat = 0", "seat = -1"), KIND.BAD_VALUE),
        (GOOD.replace("seat = 0", "seat = ²"), KIND.BAD_VALUE),
        (GOOD.replace("punjab/a", "punjab"), KIND.BAD_VALUE),
        (GOOD.replace("10.0.0.1:80", "somewhere:80"), KIND.BAD_VALUE),
        (GOOD.replace("10.0.0.1:80", "10.0.0.1:0"), KIND.BAD_VALUE),
        (GOOD.replace("10.0.0.1:80", "::1:80"), KIND.BAD_VALUE),
        (GOOD.replace("= live", "= dead"), KIND.BAD_VALUE),
        (GOOD + OTHER.replace("punjab/a", "punjab/b"), KIND.SEAT_IN_TWO_DOMAINS),
    ],
)
def test_an_invalid_list_is_rejected_with_its_problem(text, kind):
    assert kind in kinds(text)


def test_comments_before_the_first_section_are_skipped():
    assert list(parse_instances("# published at noon\n; twice" + GOOD).ok()) == ["a"]


def test_every_problem_is_reported():
    text = GOOD.replace("live", "dead") + OTHER.replace("seat = 0", "seat = x")
    assert kinds(text) == [KIND.BAD_VALUE, KIND.BAD_VALUE]


def test_two_seats_cannot_share_an_address():
    clash = GOOD.replace("instance a", "instance b").replace("seat = 0", "seat = 1")
    assert kinds(GOOD + clash) == [KIND.DUPLICATE_ADDRESS] * 2


def test_a_replacement_may_keep_seat_and_address():
    listed = parse_instances(GOOD + GOOD.replace("instance a", "instance b")).ok()
    assert shared_seats(listed) == {0: ("a", "b")}


def test_a_leaving_instance_does_not_share_its_seat():
    listed = parse_instances(GOOD + OTHER.replace("live", "leaving")).ok()
    assert shared_seats(listed) == {}


@st.composite
def fleets(draw):
    seats = draw(st.lists(st.integers(0, 4_000), min_size=1, max_size=8, unique=True))
    state = st.sampled_from(InstanceState)
    return {
        f"i{seat}": Instance(
            f"i{seat}",
            seat,
            f"r{seat % 3}/d{seat % 2}",
            f"10.0.{seat // 250}.{seat % 250}:80",
            f"[fd00::{seat:x}]:90",
            draw(state),
        )
        for seat in seats
    }


@given(fleets())
def test_format_and_parse_are_inverse(fleet):
    assert parse_instances(format_instances(fleet).encode()).ok() == fleet


@given(st.text(max_size=300))
def test_any_text_gives_a_typed_result(text):
    result = parse_instances(text)
    assert result.is_ok() or all(p.kind in KIND for p in result.err())
