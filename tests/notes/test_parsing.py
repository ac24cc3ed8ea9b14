"""Parsing of release notes: all problems are returned, no exception is raised."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.notes import (
    MAX_NOTE_BYTES,
    NoteProblem,
    ProblemKind,
    ReleaseNote,
    parse,
)
from tests.notes.helpers import KEY, TEXT


def problem_kinds(text):
    """Return the kinds of the problems of a text."""
    outcome = parse(text, "x.ini")
    return [problem.kind for problem in outcome.err_value] if outcome.is_err() else []


def assert_note_or_typed_problems(outcome):
    """Assert that the outcome is a note or a non-empty tuple of problems."""
    if outcome.is_ok():
        assert isinstance(outcome.ok_value, ReleaseNote)
        return
    assert outcome.err_value
    assert all(isinstance(problem, NoteProblem) for problem in outcome.err_value)


def test_every_problem_has_its_line_and_option():
    text = TEXT.replace("= 50", "= nan").replace("= 5\n", "= -1\n")
    text = text.replace("slots = 4", "slots = four\nslots = 4\ncolour = red")
    found = [(p.kind, p.line, p.option, p.seen) for p in parse(text, "x").err_value]
    assert found == [
        (ProblemKind.BAD_VALUE, 7, "rate-per-s", "nan"),
        (ProblemKind.BAD_VALUE, 16, "timeout-s", "-1"),
        (ProblemKind.BAD_VALUE, 24, "slots", "four"),
        (ProblemKind.REPEATED_OPTION, 25, "slots", "slots = 4"),
        (ProblemKind.UNKNOWN_OPTION, 26, "colour", "red"),
    ]


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "-1", "0", "1e10", "x", ""])
def test_invalid_rate_is_rejected(value):
    assert problem_kinds(TEXT.replace("= 50", f"= {value}")) == [ProblemKind.BAD_VALUE]


@pytest.mark.parametrize(
    "value",
    ["host:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "1.2.3:80", "[::g]:1"],
)
def test_address_other_than_ip_and_port_is_rejected(value):
    assert problem_kinds(TEXT.replace("127.0.0.1:9001", value)) == [
        ProblemKind.BAD_VALUE
    ]


def test_ipv6_address_is_accepted():
    assert parse(TEXT.replace("127.0.0.1:9001", "[::1]:9001"), "x").is_ok()


@pytest.mark.parametrize("value", ["booking", "/a/", "/a b", "//", "/a?b", "/a/../b#"])
def test_prefix_other_than_a_plain_path_is_rejected(value):
    text = TEXT.replace("prefix = /booking", f"prefix = {value}")
    assert problem_kinds(text) == [ProblemKind.BAD_VALUE]


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (b"\xff\xfe[note]\n", ProblemKind.BAD_ENCODING),
        ("\ud800\n", ProblemKind.BAD_ENCODING),
        (TEXT.replace("fitters", "fit\0ters"), ProblemKind.BAD_CHARACTER),
        (TEXT[:-1], ProblemKind.TRUNCATED),
        (TEXT + "[added seat 0]\nfailure-domain = a/b\n", ProblemKind.REPEATED_SECTION),
        (TEXT + "[removed seat 0]\n", ProblemKind.BAD_SECTION),
        (TEXT + "[added seat 00]\n", ProblemKind.BAD_SECTION),
        (TEXT + "[added seat 1\n", ProblemKind.BAD_SECTION),
        (TEXT + "[added seat 1]\n", ProblemKind.MISSING_OPTION),
        (TEXT + "[changed seat 1]\n", ProblemKind.NOTHING_CHANGED),
        (TEXT + "[withdrawn seat 1]\nx = y\n", ProblemKind.UNKNOWN_OPTION),
        (TEXT + "[note]\nrevision = 2\n", ProblemKind.REPEATED_SECTION),
        (TEXT + "  continued\n", ProblemKind.BAD_LINE),
        (TEXT + "no delimiter\n", ProblemKind.BAD_LINE),
        (TEXT.replace("follows =", "items = 4"), ProblemKind.TRUNCATED),
        ("", ProblemKind.TRUNCATED),
        ("\n", ProblemKind.MISSING_OPTION),
    ],
)
def test_malformed_text_is_a_typed_problem(text, kind):
    assert problem_kinds(text) == [kind]


def test_text_over_the_size_limit_is_rejected():
    assert problem_kinds(TEXT + "#" * MAX_NOTE_BYTES) == [ProblemKind.TOO_LARGE]


def test_too_many_sections_are_rejected():
    sections = "".join(f"[withdrawn seat {n}]\n" for n in range(1, 25_000))
    assert problem_kinds(TEXT + sections) == [ProblemKind.TOO_LARGE]


def test_empty_list_of_accounts_does_not_allow_all_accounts():
    assert problem_kinds(TEXT.replace("accounts = fitters", "accounts =")) == [
        ProblemKind.BAD_VALUE
    ]


def test_key_written_in_place_of_its_digest_is_not_shown():
    text = TEXT.replace(KEY, "sesame") + "[adde key sesame]\n[added KEY sesame\n"
    assert "sesame" not in repr(parse(text, "x.ini").err_value)


def test_number_of_problems_is_limited():
    found = problem_kinds(TEXT + "junk\n" * 100_000)
    assert len(found) == 101
    assert ProblemKind.TOO_MANY_PROBLEMS in found


@given(st.binary(max_size=400) | st.text(max_size=400))
def test_any_input_gives_a_note_or_typed_problems(text):
    outcome = parse(text, "x")
    assert_note_or_typed_problems(outcome)


@given(st.integers(0, len(TEXT)), st.integers(0, len(TEXT)), st.text(max_size=9))
def test_mutated_note_gives_a_note_or_typed_problems(start, end, inserted):
    outcome = parse(TEXT[:start] + inserted + TEXT[end:], "x")
    assert_note_or_typed_problems(outcome)


lines = st.sampled_from([*TEXT.splitlines(), "[x", "=", "a", " b", "[added key q]"])


@given(st.lists(lines, max_size=40))
def test_shuffled_lines_give_a_note_or_typed_problems(drawn):
    outcome = parse("\n".join(drawn) + "\n", "x")
    assert_note_or_typed_problems(outcome)
