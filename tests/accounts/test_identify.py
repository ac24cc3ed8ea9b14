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


def catalogue_of(**accounts_by_key):
    keys = {
        digest_of(key): Key(digest_of(key), name)
        for key, name in accounts_by_key.items()
    }
    return EMPTY_CATALOGUE._replace(accounts=ACCOUNTS, keys=keys)


CATALOGUE = catalogue_of(**{SECRET: "fitters"})


def kind_of(result):
    assert result.unwrap_err().run is RunState.NOT_RUN
    return result.unwrap_err().kind


def test_a_known_key_identifies_its_account():
    assert identify(CATALOGUE, PresentedKey(SECRET)).unwrap() == FITTERS


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
def test_a_key_without_an_account_is_refused_with_its_kind(key, kind):
    assert kind_of(identify(CATALOGUE, key)) is kind


def test_a_withdrawn_key_is_refused_from_the_next_request():
    key = PresentedKey(SECRET)
    assert identify(CATALOGUE, key).is_ok()
    assert kind_of(identify(catalogue_of(), key)) is RefusalKind.KEY_UNKNOWN


def test_a_naive_connection_is_served_after_the_withdrawal():
    connection, key = NaiveConnection(), PresentedKey(SECRET)
    assert naive_identify(connection, CATALOGUE, key).is_ok()
    assert naive_identify(connection, catalogue_of(), key).is_ok()


def test_the_key_of_a_withdrawn_account_is_unknown():
    without_account = CATALOGUE._replace(accounts={"counters": COUNTERS})
    result = identify(without_account, PresentedKey(SECRET))
    assert kind_of(result) is RefusalKind.KEY_UNKNOWN


NAMES = st.sampled_from(("k1", "k2", "k3", "k4"))


@given(
    st.lists(st.dictionaries(NAMES, st.sampled_from(sorted(ACCOUNTS))), min_size=1),
    st.lists(NAMES, min_size=1),
)
def test_each_request_is_identified_by_the_catalogue_in_force(catalogues, sent):
    for accounts_by_key in catalogues:
        in_force = catalogue_of(**accounts_by_key)
        for key in sent:
            account = identify(in_force, PresentedKey(key)).ok()
            assert (account.name if account else None) == accounts_by_key.get(key)


@given(st.text("abcdef0123456789", min_size=12, max_size=40))
def test_a_key_appears_in_no_string_representation(text):
    key = PresentedKey(text)
    results = (
        identify(catalogue_of(), key),
        identify(CATALOGUE, key),
        [key],
        {"key": key},
    )
    representations = repr(results) + str(key) + f"{key!r:>40}" + repr(CATALOGUE)
    assert text not in representations
    assert not hasattr(key, "__dict__")
    with pytest.raises(TypeError):
        pickle.dumps(key)


def test_a_route_with_named_accounts_refuses_others():
    named = Route("stock", "/stock", "stock", 1.0, True, ("counters",))
    assert check_admitted(named, COUNTERS).is_ok()
    result = check_admitted(named, FITTERS)
    assert kind_of(result) is RefusalKind.ACCOUNT_NOT_ADMITTED


def test_an_open_route_admits_every_account_but_a_missing_key_is_refused():
    route = Route("open", "/", "any", 1.0, True)
    assert check_admitted(route, FITTERS).is_ok()
    assert identify(CATALOGUE, None).is_err()
