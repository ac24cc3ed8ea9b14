import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import RunState
from chervilpitch.requests import Ticket, sign_ticket, verify_ticket
from chervilpitch.requests.tickets import MAX_TICKET_BYTES

TICKET = Ticket("7f", "a", 2**64 - 1, "fitters", "booking", 60.25)
TEXT = sign_ticket(b"secret", TICKET)


@given(st.builds(Ticket, deadline_at_s=st.floats(0, 1e9)))
def test_issued_ticket_is_verified_unchanged(ticket):
    assert verify_ticket(b"secret", sign_ticket(b"secret", ticket)).unwrap() == ticket


@given(st.integers(0, len(TEXT) - 1), st.sampled_from("Aa0_-"))
def test_modified_text_yields_the_same_ticket_or_an_error(position, character):
    text = TEXT[:position] + character + TEXT[position + 1 :]
    result = verify_ticket(b"secret", text)
    assert result.is_err() or result.unwrap() == TICKET


@pytest.mark.parametrize(
    "text", ["", "ü", "\ud800", "a", "+/" + TEXT[2:], "A" * (MAX_TICKET_BYTES + 1)]
)
def test_foreign_text_is_refused_as_unknown(text):
    assert verify_ticket(b"secret", text).unwrap_err().run is RunState.UNKNOWN


@given(st.text(max_size=200))
def test_arbitrary_text_never_raises(text):
    verify_ticket(b"secret", text)
