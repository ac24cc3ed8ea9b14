"""Lines fitted through measured points."""

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
        Units for each item more.
    base : float
        Units at size 0.
    worst : float
        Largest deviation of a point as a share of its value.
    bend : float
        Slope between the last two points over that between the first two; 1 for
        a line, about the ratio of their sizes for a square.
    """

    slope: float
    base: float
    worst: float
    bend: float

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.base + self.slope * size


class Points:
    """Measured points by topic and name, times at the median speed of the run.

    Parameters
    ----------
    figures : dict
        Contents of the file of figures.
    """

    def __init__(self, figures: dict[str, Any]):
        self._machine = figures["machine"]
        self._full = figures["full"]
        self._speeds = [p["reference"] for p in figures["points"] if p["reference"]]
        self._by_name: dict[tuple[str, str], list[dict]] = {}
        for point in figures["points"]:
            key = (point["topic"], point["name"])
            self._by_name.setdefault(key, []).append(self._at_usual_speed(point))

    @property
    def machine(self) -> dict[str, Any]:
        """What the figures depend on."""
        return self._machine

    @property
    def full(self) -> dict[str, int]:
        """The planned size."""
        return self._full

    @property
    def speeds(self) -> list[float]:
        """Microseconds of the reference loop beside each time."""
        return self._speeds

    def _at_usual_speed(self, point: dict) -> dict:
        """Return a point as if the machine had had its median speed."""
        raw = point["median"]
        if not point["reference"]:
            return point | {"raw": raw}
        factor = statistics.median(self._speeds) / point["reference"]
        return point | {"raw": raw, "median": raw * factor}

    def of(self, topic: str, name: str) -> list[dict]:
        """Return the points of a quantity in the order of their sizes."""
        return sorted(self._by_name[topic, name], key=lambda point: point["size"])

    def names(self, topic: str, ending: str) -> list[str]:
        """Return the names of a topic that have an ending, without it."""
        found = [name for key, name in self._by_name if key == topic]
        return [name.removesuffix(ending) for name in found if name.endswith(ending)]

    def last(self, topic: str, name: str) -> float:
        """Return the value at the largest size measured."""
        return self.of(topic, name)[-1]["median"]

    def fit(self, topic: str, name: str) -> Fit:
        """Return the line through the points of a quantity."""
        points = self.of(topic, name)
        sizes = [point["size"] for point in points]
        return fit_line(sizes, [point["median"] for point in points])


def fit_line(sizes: list[float], values: list[float]) -> Fit:
    """Return the line of least squares through some points.

    Parameters
    ----------
    sizes, values : list of float
        At least three points, in the order of their sizes.

    Returns
    -------
    Fit
        The line and how well it fits.
    """
    x, y = np.array(sizes, float), np.array(values, float)
    slope, base = np.polyfit(x, y, 1)
    worst = np.max(np.abs(base + slope * x - y) / np.maximum(np.abs(y), 1e-12))
    steps = np.diff(y) / np.diff(x)
    bend = steps[-1] / steps[0] if steps[0] else float("nan")
    return Fit(float(slope), float(base), float(worst), float(bend))


def load(path: pathlib.Path = FIGURES) -> Points:
    """Return the committed points."""
    return Points(json.loads(path.read_text()))
