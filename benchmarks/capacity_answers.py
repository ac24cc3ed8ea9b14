"""Table of the address answers of one instance."""

from . import capacity_plan as plan
from .capacity_fit import Points
from .capacity_row import Row

__all__ = ["address_answers"]


def address_answers(points: Points) -> list[Row]:
    """Return the rows of the address answers of one instance."""
    per_s = plan.CALLERS / plan.ANSWER_KEPT_S / plan.DAEMONS
    known = points.last("membership", "address answer")
    new = points.last("membership", "address answer, account new here")
    first = points.last("membership", "address answer, first after a review")
    working = f"{plan.CALLERS:,} callers ask every {plan.ANSWER_KEPT_S:.0f} s"
    by = "membership/address.py"
    return [
        Row("an answer", "the nearest failure domains", known, "us", None, by),
        Row(
            "an answer for an account new here",
            "ranks all seats",
            new,
            "us",
            None,
            "membership/homeseats.py",
        ),
        Row(
            "the first answer after a review",
            "directory of all instances",
            first,
            "us",
            None,
            "membership/directory.py",
        ),
        Row("answers of an instance", working, per_s, "/s", None, by),
        Row(
            "processor time when all accounts are new",
            "",
            per_s * new / 1e6,
            "core",
            None,
            by,
        ),
        Row(
            "directories, one each second",
            "",
            first / 1e6,
            "core",
            plan.BOUND_CORE,
            "membership/survey.py",
        ),
    ]
