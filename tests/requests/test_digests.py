from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.requests import request_digest

REQUESTS = st.tuples(st.text("AB"), st.text("AB/"), st.binary(max_size=3))


@given(REQUESTS, REQUESTS)
def test_only_equal_requests_have_equal_digests(one, other):
    assert (request_digest(*one) == request_digest(*other)) == (one == other)
