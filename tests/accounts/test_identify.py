import pickle

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chervilpitch.accounts import (
    MAX_KEY_BYTES,
    PresentedKey,
    check_admitted,
    digest_of,
    identify,
)
from chervilpitch.accounts.naive import NaiveConnection, naive_identify
from chervilpitch.model import (
    EMPTY_CATALOGUE,
    ClientAccount,
    Key,
    RefusalKind,
    Route,
    RunState,
)

SECRET = "k-7c1f0e55aa"
FITTERS = ClientAccount("fitters", 5.0, 10.0)
COUNTERS = ClientAccount("counters", 5.0, 10.0)
ACCOUNTS = {"fitters": FITTERS, "counters": COUNTERS}


def catalogue(**owners):
    keys = {digest_of(key): Key(digest_of(key), name) for key, name in owners.items()}
    return EMPTY_CATALOGUE._replace(accounts=ACCOUNTS, keys=keys)


GRANTED = catalogue(**{SECRET: "fitters"})


def kind_of(result):
    assert result.unwrap_err().run is RunState.NOT_RUN
    return result.unwrap_err().kind


def test_key_names_its_account():
    assert identify(GRANTED, PresentedKey(SECRET)).unwrap() == FITTERS


@pytest.mark.parametrize(
    "key, kind",
    [
        (None, RefusalKind.KEY_MISSING),
        (PresentedKey(""), RefusalKind.KEY_MISSING),
        (PresentedKey("x" * (MAX_KEY_BYTES + 1)), RefusalKind.KEY_MALFORMED),
        (PresentedKey("ключ"), RefusalKind.KEY_MALFORMED),
        (PresentedKey("\ud800"), RefusalKind.KEY_MALFORMED),
        (PresentedKey("a\nb"), RefusalKind.KEY_MALFORMED),
        (PresentedKey(digest_of(SECRET)), RefusalKind.KEY_UNKNOWN),
    ],
)
def test_key_without_account_is_refused_by_type(key, kind):
    assert kind_of(identify(GRANTED, key)) is kind


def test_withdrawn_key_stops_on_the_next_request():
    key = PresentedKey(SECRET)
    assert identify(GRANTED, key).is_ok()
    assert kind_of(identify(catalogue(), key)) is RefusalKind.KEY_UNKNOWN


def test_naive_connection_goes_on_after_the_withdrawal():
    connection, key = NaiveConnection(), PresentedKey(SECRET)
    assert naive_identify(connection, GRANTED, key).is_ok()
    assert naive_identify(connection, catalogue(), key).is_ok()


def test_key_of_a_withdrawn_account_is_unknown():
    orphaned = GRANTED._replace(accounts={"counters": COUNTERS})
    result = identify(orphaned, PresentedKey(SECRET))
    assert kind_of(result) is RefusalKind.KEY_UNKNOWN


NAMES = st.sampled_from(("k1", "k2", "k3", "k4"))


@given(
    st.lists(st.dictionaries(NAMES, st.sampled_from(sorted(ACCOUNTS))), min_size=1),
    st.lists(NAMES, min_size=1),
)
def test_each_request_follows_the_catalogue_in_force(catalogues, sent):
    for owners in catalogues:
        in_force = catalogue(**owners)
        for key in sent:
            account = identify(in_force, PresentedKey(key)).ok()
            assert (account.name if account else None) == owners.get(key)


@given(st.text("abcdef0123456789", min_size=12, max_size=40))
def test_key_is_in_no_text_form(text):
    key = PresentedKey(text)
    results = identify(catalogue(), key), identify(GRANTED, key), [key], {"key": key}
    shown = repr(results) + str(key) + f"{key!r:>40}" + repr(GRANTED)
    assert text not in shown
    assert not hasattr(key, "__dict__")
    with pytest.raises(TypeError):
        pickle.dumps(key)


def test_route_for_named_accounts_refuses_the_others():
    named = Route("stock", "/stock", "stock", 1.0, True, ("counters",))
    assert check_admitted(named, COUNTERS).is_ok()
    result = check_admitted(named, FITTERS)
    assert kind_of(result) is RefusalKind.ACCOUNT_NOT_ADMITTED


def test_open_route_admits_every_account_but_no_unknown_key():
    route = Route("open", "/", "any", 1.0, True)
    assert check_admitted(route, FITTERS).is_ok()
    assert identify(GRANTED, None).is_err()
