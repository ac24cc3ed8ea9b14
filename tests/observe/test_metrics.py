"""The number of time series is bounded."""

import pytest
from prometheus_client import generate_latest

from chervilpitch.model import RefusalKind
from chervilpitch.observe import Metrics, RequestOutcome, TopAccounts


def series_count(metrics):
    lines = generate_latest(metrics.registry).decode().splitlines()
    return sum(not line.startswith("#") for line in lines)


def test_series_are_bounded_after_ten_thousand_accounts_and_routes():
    metrics, top = Metrics(["admit", "forward"]), TopAccounts()
    kinds = [None, *RefusalKind]
    for n in range(50_000):
        top.count(f"tenant-{n % 10_000}")
        metrics.count_request(
            RequestOutcome(f"route-{n % 11_000}", kinds[n % len(kinds)])
        )
        metrics.observe_filter("admit", 0.001)
    assert series_count(metrics) <= 65 * len(kinds) * 2 + 100
    assert "tenant-" not in generate_latest(metrics.registry).decode()
    assert len(top) == 100


def test_an_unknown_filter_is_an_error():
    with pytest.raises(ValueError):
        Metrics(["admit"]).observe_filter("other", 0.1)


def test_a_busy_account_stays_in_the_top_list_among_thousands_of_others():
    top = TopAccounts()
    for n in range(20_000):
        top.count("busy" if n % 5 == 0 else f"account-{n}")
    first = top.top(1)[0]
    assert first.account == "busy"
    assert first.count - first.error <= 4_000 <= first.count
