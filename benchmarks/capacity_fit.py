"""Fit lines through the measured points."""

import json
import pathlib
import statistics
from typing import Any, NamedTuple

import numpy as np

__all__ = ["FIGURES", "Fit", "Points", "fit_line", "load"]

FIGURES = pathlib.Path(__file__).with_name("capacity.json")


class Fit(NamedTuple):
    """A straight line through the points of one quantity.

    Parameters
    ----------
    slope : float
        Increase for each further item, in the unit of the quantity.
    intercept : float
        Fitted value at size 0.
    max_residual : float
        Largest deviation of a point from the line, as a share of its value.
    slope_ratio : float
        Slope between the last two points divided by that between the first two;
        1 for a line, about the ratio of the sizes for quadratic growth.
    """

    slope: float
    intercept: float
    max_residual: float
    slope_ratio: float

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size


class Points:
    """Measured points by topic and name, with times scaled to the median machine speed.

    Parameters
    ----------
    figures : dict
        Contents of ``capacity.json``.
    """

    def __init__(self, figures: dict[str, Any]):
        self._machine = figures["machine"]
        self._full = figures["full"]
        self._speeds = [p["reference"] for p in figures["points"] if p["reference"]]
        self._by_name: dict[tuple[str, str], list[dict]] = {}
        for point in figures["points"]:
            key = (point["topic"], point["name"])
            self._by_name.setdefault(key, []).append(self._at_median_speed(point))

    @property
    def machine(self) -> dict[str, Any]:
        """Properties of the machine that the figures depend on."""
        return self._machine

    @property
    def full(self) -> dict[str, int]:
        """Planned counts by kind of item."""
        return self._full

    @property
    def speeds(self) -> list[float]:
        """Times of the reference loop for each timed point, in microseconds."""
        return self._speeds

    def _at_median_speed(self, point: dict) -> dict:
        """Return a point with its time scaled to the median machine speed."""
        raw = point["median"]
        if not point["reference"]:
            return point | {"raw": raw}
        factor = statistics.median(self._speeds) / point["reference"]
        return point | {"raw": raw, "median": raw * factor}

    def select(self, topic: str, name: str) -> list[dict]:
        """Return the points of a quantity, sorted by size."""
        return sorted(self._by_name[topic, name], key=lambda point: point["size"])

    def names(self, topic: str, ending: str) -> list[str]:
        """Return the names in a topic that end in `ending`, without that ending."""
        matching = [name for key, name in self._by_name if key == topic]
        return [name.removesuffix(ending) for name in matching if name.endswith(ending)]

    def value_at_largest(self, topic: str, name: str) -> float:
        """Return the value at the largest size measured."""
        return self.select(topic, name)[-1]["median"]

    def fit(self, topic: str, name: str) -> Fit:
        """Return the fitted line through the points of a quantity."""
        points = self.select(topic, name)
        sizes = [point["size"] for point in points]
        return fit_line(sizes, [point["median"] for point in points])


def fit_line(sizes: list[float], values: list[float]) -> Fit:
    """Return the least-squares line through points.

    Parameters
    ----------
    sizes, values : list of float
        At least three points, sorted by size.

    Returns
    -------
    Fit
        The line and how well it fits.
    """
    x_values, y_values = np.array(sizes, float), np.array(values, float)
    slope, intercept = np.polyfit(x_values, y_values, 1)
    max_residual = np.max(
        np.abs(intercept + slope * x_values - y_values)
        / np.maximum(np.abs(y_values), 1e-12)
    )
    segment_slopes = np.diff(y_values) / np.diff(x_values)
    slope_ratio = (
        segment_slopes[-1] / segment_slopes[0] if segment_slopes[0] else float("nan")
    )
    return Fit(float(slope), float(intercept), float(max_residual), float(slope_ratio))


def load(path: pathlib.Path = FIGURES) -> Points:
    """Load the points of the committed figures."""
    return Points(json.loads(path.read_text()))
