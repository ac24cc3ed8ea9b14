"""The page of capacity: its tables are those computed from the figures."""

import pytest

from benchmarks.capacity_fit import Points, fit_line, load
from benchmarks.capacity_page import MARKED, PAGE, rendered, tables
from benchmarks.capacity_row import Row, verdict


def test_the_page_and_the_figures_agree():
    text = PAGE.read_text()
    assert rendered(text, load()) == text


def test_the_page_shows_every_table():
    shown = {match["name"] for match in MARKED.finditer(PAGE.read_text())}
    assert shown == set(tables(load()))


def test_a_changed_cell_is_noticed():
    text = PAGE.read_text()
    changed = text.replace("**not met**", "met", 1)
    assert changed != text
    assert rendered(changed, load()) == text


def test_a_marker_without_a_table_is_an_error():
    with pytest.raises(KeyError):
        rendered("<!-- figures: no such -->\n<!-- end -->", load())


def test_a_known_line_is_fitted():
    fit = fit_line([1, 2, 4, 8], [13, 16, 22, 34])
    assert fit.slope == pytest.approx(3)
    assert fit.at(100) == pytest.approx(310)
    assert fit.worst == pytest.approx(0, abs=1e-9)
    assert fit.bend == pytest.approx(1)


def test_a_square_bends():
    fit = fit_line([1, 2, 4, 8], [1, 4, 16, 64])
    assert fit.bend == pytest.approx(4)
    assert fit.worst > 0.2


def made(size, median, reference=0.0):
    """Return one point."""
    fields = {"topic": "t", "name": "n", "size": size, "median": median}
    return fields | {"reference": reference}


def points_of(*found):
    """Return points without a machine."""
    return Points({"machine": {}, "full": {}, "points": list(found)})


def test_points_are_read_in_the_order_of_their_sizes():
    points = points_of(*(made(size, 2.0 * size) for size in (9, 3, 6)))
    assert [point["size"] for point in points.of("t", "n")] == [3, 6, 9]
    assert points.last("t", "n") == 18.0


def test_times_are_taken_at_the_median_speed_of_the_run():
    points = points_of(made(1, 10.0, 2.0), made(2, 20.0, 2.0), made(3, 60.0, 4.0))
    assert [point["median"] for point in points.of("t", "n")] == [10.0, 20.0, 30.0]


@pytest.mark.parametrize(
    ("total", "bound", "word"),
    [(1.0, 2.0, "met"), (3.0, 2.0, "**not met**"), (None, 2.0, "**not measured**")],
)
def test_a_verdict_follows_from_total_and_bound(total, bound, word):
    assert verdict(Row("d", "", total, "", bound, "m")) == word
