"""Routes match by the longest prefix of whole segments."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.model import EMPTY_CATALOGUE, RefusalKind, Route, RunState
from chervilpitch.routing import build_table, match

PREFIXES = ("/", "/stock", "/stock/photos", "/slots", "/slots/holds/v2")


def table_of(prefixes, accounts=()):
    routes = {p: Route(p, p, "desk", 5.0, True, accounts) for p in prefixes}
    return build_table(EMPTY_CATALOGUE._replace(routes=routes))


@pytest.mark.parametrize(
    "path, prefix",
    [
        ("/", "/"),
        ("/stock", "/stock"),
        ("/stock/", "/stock"),
        ("/stock/7?x=/stock/photos", "/stock"),
        ("/stockroom", "/"),
        ("/stock/photos/1", "/stock/photos"),
        ("/slots/holds/v1", "/slots"),
        ("/st%6Fck/photos", "/stock/photos"),
    ],
)
def test_the_longest_prefix_matches(path, prefix):
    assert match(table_of(PREFIXES), path, "shops").unwrap().prefix == prefix


@pytest.mark.parametrize(
    "path",
    [
        "",
        "stock",
        "//stock",
        "/stock//7",
        "/stock/../slots",
        "/stock/%2e%2e/slots",
        "/stock%2Fphotos",
        "/stock\\photos",
        "/stock/%00",
    ],
)
def test_an_ambiguous_path_has_no_route(path):
    refusal = match(table_of(PREFIXES), path, "shops").unwrap_err()
    assert refusal.kind is RefusalKind.ROUTE_UNKNOWN
    assert refusal.run is RunState.NOT_RUN


def test_an_account_that_is_not_admitted_is_refused():
    table = table_of(["/stock"], accounts=("shops",))
    assert match(table, "/stock", "shops").is_ok()
    refusal = match(table, "/stock", "fitters").unwrap_err()
    assert refusal.kind is RefusalKind.ACCOUNT_NOT_ADMITTED
    assert refusal.run is RunState.NOT_RUN


SEGMENTS = st.lists(st.sampled_from("abc"), max_size=4)


@given(st.lists(SEGMENTS, max_size=12), SEGMENTS)
def test_the_table_agrees_with_a_scan_of_all_routes(prefixes, segments):
    table = table_of({"/" + "/".join(parts) for parts in prefixes})
    scanned = [p for p in prefixes if segments[: len(p)] == p]
    found = match(table, "/" + "/".join(segments), "shops")
    assert found.is_ok() == bool(scanned)
    if scanned:
        longest = "/" + "/".join(max(scanned, key=len))
        assert found.unwrap().prefix == longest
