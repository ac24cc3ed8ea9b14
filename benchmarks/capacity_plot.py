"""Plot the measured points, the fitted lines and their residuals.

Run ``python -m benchmarks.capacity_plot``; it writes ``docs/capacity.svg``.
"""

import pathlib

import matplotlib
import numpy as np

from .capacity_fit import Points, load

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "capacity"

import matplotlib.pyplot as plt  # noqa: E402

__all__ = ["DRAWN", "draw", "main"]

PLOT = pathlib.Path(__file__).parent.parent / "docs" / "capacity.svg"
DRAWN = (
    ("routing", "put_in_force"),
    ("limits", "put_in_force"),
    ("limits", "tick"),
    ("control", "tick of all cores"),
    ("notes", "catalogue"),
    ("peers", "connection out, closed by the peer"),
)
PERCENT = 100


def draw(points: Points) -> plt.Figure:
    """Return a figure of the quantities in `DRAWN`.

    Parameters
    ----------
    points : Points
        Measured points.

    Returns
    -------
    matplotlib.figure.Figure
        One column for each quantity: points and line above, residuals below.
    """
    rows = {"height_ratios": (3, 1)}
    figure, axes = plt.subplots(
        2, len(DRAWN), figsize=(18, 6), sharex="col", gridspec_kw=rows
    )
    for (line, residual), key in zip(axes.T, DRAWN):
        _column(line, residual, points, key)
    axes[1][0].set_ylabel("residual, %")
    figure.tight_layout()
    return figure


def _column(line, residual, points, key) -> None:
    measured = points.select(*key)
    sizes = np.array([point["size"] for point in measured])
    values = np.array([point["median"] for point in measured])
    fitted = points.fit(*key).at(sizes)
    line.plot(sizes, values, "o", label="median")
    line.plot(sizes, fitted, "-", label="fitted line")
    line.set_title(": ".join(key), fontsize=9)
    line.set_ylabel(measured[0]["unit"])
    line.set_ylim(bottom=min(0, fitted.min()))
    line.legend(fontsize=8)
    residual.axhline(0, linewidth=0.5)
    residual.plot(sizes, PERCENT * (values - fitted) / values, "o-")
    residual.set_xlabel(measured[0]["per"])


def main() -> None:
    """Write the plot to ``docs/capacity.svg``."""
    draw(load()).savefig(PLOT, metadata={"Date": None})


if __name__ == "__main__":
    main()
