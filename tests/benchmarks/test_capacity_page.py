"""Tests of the capacity page: its tables match those computed from the figures."""

import pytest

from benchmarks.capacity_fit import Points, fit_line, load
from benchmarks.capacity_page import PAGE, TABLE_PATTERN, compute_tables, render
from benchmarks.capacity_row import Row, verdict


def test_page_matches_committed_figures():
    text = PAGE.read_text()
    assert render(text, load()) == text


def test_page_contains_every_table():
    shown = {match["name"] for match in TABLE_PATTERN.finditer(PAGE.read_text())}
    assert shown == set(compute_tables(load()))


def test_changed_cell_is_restored():
    text = PAGE.read_text()
    changed = text.replace("**not met**", "met", 1)
    assert changed != text
    assert render(changed, load()) == text


def test_marker_without_table_raises_key_error():
    with pytest.raises(KeyError):
        render("<!-- figures: no such -->\n<!-- end -->", load())


def test_fit_recovers_exact_line():
    fit = fit_line([1, 2, 4, 8], [13, 16, 22, 34])
    assert fit.slope == pytest.approx(3)
    assert fit.at(100) == pytest.approx(310)
    assert fit.max_residual == pytest.approx(0, abs=1e-9)
    assert fit.slope_ratio == pytest.approx(1)


def test_quadratic_growth_raises_slope_ratio():
    fit = fit_line([1, 2, 4, 8], [1, 4, 16, 64])
    assert fit.slope_ratio == pytest.approx(4)
    assert fit.max_residual > 0.2


def make_point_dict(size, median, reference=0.0):
    """Return a point as it stands in ``capacity.json``."""
    fields = {"topic": "t", "name": "n", "size": size, "median": median}
    return fields | {"reference": reference}


def make_points(*found):
    """Return `Points` without machine data."""
    return Points({"machine": {}, "full": {}, "points": list(found)})


def test_points_are_sorted_by_size():
    points = make_points(*(make_point_dict(size, 2.0 * size) for size in (9, 3, 6)))
    assert [point["size"] for point in points.select("t", "n")] == [3, 6, 9]
    assert points.value_at_largest("t", "n") == 18.0


def test_times_are_scaled_to_median_machine_speed():
    points = make_points(
        make_point_dict(1, 10.0, 2.0),
        make_point_dict(2, 20.0, 2.0),
        make_point_dict(3, 60.0, 4.0),
    )
    assert [point["median"] for point in points.select("t", "n")] == [10.0, 20.0, 30.0]


@pytest.mark.parametrize(
    ("total", "bound", "expected"),
    [(1.0, 2.0, "met"), (3.0, 2.0, "**not met**"), (None, 2.0, "**not measured**")],
)
def test_verdict_compares_total_with_bound(total, bound, expected):
    assert verdict(Row("d", "", total, "", bound, "m")) == expected
