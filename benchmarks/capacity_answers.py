"""Capacity table of the address answers of one instance."""

from . import capacity_plan as plan
from .capacity_fit import Points
from .capacity_row import Row

__all__ = ["address_answer_rows"]


def address_answer_rows(points: Points) -> list[Row]:
    """Return the rows of the address answers of one instance."""
    per_s = plan.CALLERS / plan.ANSWER_TTL_S / plan.DAEMONS
    known = points.value_at_largest("membership", "address answer")
    new = points.value_at_largest("membership", "address answer, account new here")
    after_invalidation = points.value_at_largest(
        "membership", "address answer, first after a review"
    )
    calculation = f"{plan.CALLERS:,} callers ask every {plan.ANSWER_TTL_S:.0f} s"
    module = "membership/address.py"
    return [
        Row("an answer", "the nearest failure domains", known, "us", None, module),
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
            after_invalidation,
            "us",
            None,
            "membership/directory.py",
        ),
        Row("answers of an instance", calculation, per_s, "/s", None, module),
        Row(
            "processor time when all accounts are new",
            "",
            per_s * new / 1e6,
            "core",
            None,
            module,
        ),
        Row(
            "directories, one each second",
            "",
            after_invalidation / 1e6,
            "core",
            plan.BOUND_CORE_SHARE,
            "membership/status_cache.py",
        ),
    ]
