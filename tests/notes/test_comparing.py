"""Comparison of catalogues."""

from hypothesis import given

from chervilpitch.model import EMPTY_CATALOGUE
from chervilpitch.notes import ReleaseNote, apply, difference, format_changes
from tests.notes.helpers import FIRST, first_notes, second


def test_difference_shows_each_changed_option():
    sections = "[changed account fitters]\nburst = 7\n[withdrawn seat 0]\n"
    after = apply(FIRST, second(sections).unwrap()).unwrap()
    assert format_changes(difference(FIRST, after)).splitlines() == [
        "~ account fitters: burst = 7.0",
        "- seat 0",
    ]


@given(first_notes(), first_notes())
def test_difference_turns_one_catalogue_into_the_other(one, other):
    before = apply(EMPTY_CATALOGUE, one).unwrap()
    after = apply(EMPTY_CATALOGUE, other).unwrap()
    note = ReleaseNote(2, before.digest, difference(before, after))
    reached = apply(before, note).unwrap()
    assert reached[2:] == after[2:]
