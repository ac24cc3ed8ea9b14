"""Application of release notes: order, references and shared tables."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import EMPTY_CATALOGUE
from chervilpitch.notes import ProblemKind, apply, canonical_text, digest, parse
from tests.notes.helpers import FIRST, KEY, TEXT, first_notes, second

UPSTREAM = (
    "service = s\naddress = {}\nfailure-domain = a/b\nslots = 1\nconnections = 1\n"
)


def apply_second(sections):
    """Apply a second note with the given sections."""
    return apply(FIRST, second(sections).unwrap())


def test_items_are_added_changed_and_withdrawn():
    after = apply_second(
        "[changed account fitters]\nburst = 7\n[withdrawn seat 0]\n"
        "[changed upstream fd-1]\ndraining = yes\n"
        "[added seat 1]\nfailure-domain = a/b\n"
    ).unwrap()
    assert after.accounts["fitters"].burst == 7
    assert after.upstreams["fd-1"].draining
    assert after.seats == {1: "a/b"}
    assert after.revision == 2


def test_untouched_tables_are_shared():
    after = apply_second("[changed account fitters]\nburst = 7\n").unwrap()
    assert after.keys is FIRST.keys and after.upstreams is FIRST.upstreams


def test_withdrawing_an_account_withdraws_its_keys():
    sections = "[withdrawn account fitters]\n[changed route booking]\naccounts = *\n"
    assert not apply_second(sections).unwrap().keys


def test_key_can_move_from_a_withdrawn_account():
    after = apply_second(
        "[withdrawn account fitters]\n[changed route booking]\naccounts = *\n"
        "[added account shop]\nrate-per-s = 1\nburst = 1\n"
        f"[changed key {KEY}]\naccount = shop\n"
    ).unwrap()
    assert after.keys[KEY].account == "shop"


@pytest.mark.parametrize(
    ("sections", "kind"),
    [
        ("[added seat 0]\nfailure-domain = a/b\n", ProblemKind.ALREADY_EXISTS),
        ("[changed seat 5]\nfailure-domain = a/b\n", ProblemKind.DOES_NOT_EXIST),
        ("[withdrawn key " + "0" * 64 + "]\n", ProblemKind.DOES_NOT_EXIST),
        ("[changed account fitters]\nburst = 100\n", ProblemKind.NOTHING_CHANGED),
        (f"[changed key {KEY}]\naccount = x\n", ProblemKind.UNKNOWN_ACCOUNT),
        ("[withdrawn account fitters]\n", ProblemKind.UNKNOWN_ACCOUNT),
        ("[changed route booking]\naccounts = x\n", ProblemKind.UNKNOWN_ACCOUNT),
        ("[withdrawn upstream fd-1]\n", ProblemKind.SERVICE_WITHOUT_UPSTREAMS),
        (
            "[changed upstream fd-1]\nservice = other\n",
            ProblemKind.SERVICE_WITHOUT_UPSTREAMS,
        ),
        (
            "[changed route booking]\nservice = other\n",
            ProblemKind.SERVICE_WITHOUT_UPSTREAMS,
        ),
    ],
)
def test_invalid_change_is_rejected(sections, kind):
    assert [problem.kind for problem in apply_second(sections).err_value] == [kind]


def test_repeated_address_and_prefix_are_rejected():
    sections = "[added upstream u]\n" + UPSTREAM.format("127.0.0.1:9001")
    sections += "[added route r]\nprefix = /booking\nservice = s\n"
    sections += "timeout-s = 1\nidempotent = yes\n"
    found = {problem.kind for problem in apply_second(sections).err_value}
    assert found == {ProblemKind.REPEATED_ADDRESS, ProblemKind.REPEATED_PREFIX}


def test_problem_names_the_line_of_the_section():
    problem = apply_second(
        "[withdrawn account fitters]\n[changed route booking]\n"
        "accounts = fitters, x\n"
    ).err_value[0]
    assert problem.line == 5


@pytest.mark.parametrize("revision", [1, 3])
def test_note_out_of_order_is_rejected(revision):
    note = second("").unwrap()._replace(revision=revision)
    assert apply(FIRST, note).err_value[0].kind is ProblemKind.WRONG_REVISION


def test_note_with_another_predecessor_is_rejected():
    note = second("").unwrap()._replace(follows="0" * 64)
    assert apply(FIRST, note).err_value[0].kind is ProblemKind.WRONG_PREDECESSOR


@given(first_notes())
def test_canonical_text_parses_to_the_same_note(note):
    again = parse(canonical_text(note), "x").unwrap()
    assert canonical_text(again) == canonical_text(note)
    assert (
        apply(EMPTY_CATALOGUE, again).unwrap() == apply(EMPTY_CATALOGUE, note).unwrap()
    )


def test_replaced_digests_are_part_of_the_canonical_text():
    note = parse(TEXT.replace("follows =", f"replaces = {KEY}"), "x").unwrap()
    assert note.replaces == (KEY,)
    assert parse(canonical_text(note), "x").unwrap().replaces == (KEY,)


def test_digest_ignores_order_and_spelling_but_not_meaning():
    note = parse(TEXT, "x").unwrap()
    assert digest(note) == digest(parse(TEXT.replace("= 50", "=  50.0"), "y").unwrap())
    assert digest(note) != digest(parse(TEXT.replace("= 50", "= 51"), "x").unwrap())


@given(first_notes(), st.integers(0, 4_000))
def test_truncated_canonical_text_is_rejected(note, end):
    text = canonical_text(note)
    if end < len(text):
        assert parse(text[:end], "x").is_err()


@given(st.text(alphabet="[]addewithrnkycoupsta 0123=\n", max_size=80))
def test_applying_a_note_does_not_modify_the_catalogue(sections):
    before = copy.deepcopy(FIRST)
    parsed = second(sections)
    if parsed.is_ok():
        apply(FIRST, parsed.ok_value)
    assert FIRST == before
