"""Sizes at which what grows with the whole fleet passes a bound."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from chervilpitch.routing.subset import max_users

from . import capacity_plan as plan
from .capacity_costs import memory, messages_bytes_per_s, routing_us
from .capacity_fit import Fit, Points
from .capacity_relay import list_break

__all__ = ["Limit", "breaks", "breaks_table"]

HEAD = "| What grows | With | Bound | Breaks at | Planned | Where |"
UPSTREAM_CONNECTIONS = 330
US_PER_S = 1e6


class Limit(NamedTuple):
    """Something that grows, and the size at which it breaks.

    Parameters
    ----------
    name, per, bound : str
        What grows, what the size counts, and what it passes.
    breaks_at, planned : float
        The sizes.
    where : str
        Module.
    """

    name: str
    per: str
    bound: str
    breaks_at: float
    planned: float
    where: str


def breaks(points: Points) -> list[Limit]:
    """Return what grows, the smallest part of the plan first."""
    found = _processor(points) + _lists(points) + _memory(points)
    users = max_users(UPSTREAM_CONNECTIONS)
    text = "every instance serves every service"
    by = "routing/subset.py, membership/address.py"
    found.append(
        Limit("seats that use a service", "seats", text, users, plan.DAEMONS, by)
    )
    return sorted(found, key=lambda limit: limit.breaks_at / limit.planned)


def breaks_table(limits: Iterable[Limit]) -> str:
    """Return the table of Markdown."""
    lines = [HEAD, "| --- | --- | --- | ---: | ---: | --- |"]
    for limit in limits:
        sizes = f"{math.floor(limit.breaks_at):,} | {limit.planned:,.0f}"
        lines.append(
            f"| {limit.name} | {limit.per} | {limit.bound} | {sizes} "
            f"| `{limit.where}` |"
        )
    return "\n".join(lines)


def _size_at(fit: Fit, amount: float) -> float:
    return max(0.0, (amount - fit.base) / fit.slope)


def _processor(points) -> list[Limit]:
    tick_us = plan.BOUND_CORE / plan.TICKS_PER_S * US_PER_S
    note_us = plan.BOUND_CORE * plan.DAY_S / plan.NOTES_PER_DAY * US_PER_S
    core = "1.2% of a core"
    whole = routing_us(points)
    routed = math.sqrt(note_us / whole) * plan.DAEMONS
    ticks = _size_at(points.fit("control", "tick of all cores"), tick_us)
    limits = _size_at(points.fit("limits", "tick"), tick_us)
    health_us = plan.BOUND_CORE / plan.HEALTH_TICKS_PER_S * US_PER_S
    health = _size_at(points.fit("health", "tick"), health_us)
    settled = _size_at(points.fit("limits", "put_in_force"), note_us)
    used = points.last("routing", "upstreams in use")
    accounts = points.full["accounts"]
    return [
        Limit(
            "a note in routing",
            "daemons, services with them",
            core,
            routed,
            plan.DAEMONS,
            "routing/subset.py",
        ),
        Limit(
            "a note in limits", "accounts", core, settled, accounts, "limits/state.py"
        ),
        Limit(
            "ticks of all cores",
            "daemons",
            core,
            ticks,
            plan.DAEMONS,
            "runtime/control.py",
        ),
        Limit(
            "limits tick",
            "accounts in use",
            core,
            limits,
            plan.ACCOUNTS_AT_HOME,
            "limits/state.py",
        ),
        Limit(
            "health tick", "upstreams in use", core, health, used, "health/detector.py"
        ),
    ]


def _lists(points) -> list[Limit]:
    per_daemon = plan.LISTS_PER_DAY / plan.DAEMONS / plan.DAY_S
    slope = points.fit("membership", "list length").slope
    left = plan.BOUND_BYTES_PER_S - messages_bytes_per_s(points)
    daemons = math.sqrt(left / slope / per_daemon)
    value = plan.BOUND_VALUE_BYTES / slope
    by = "runtime/reader.py"
    return [
        Limit(
            "bytes of the list for each",
            "daemons",
            "26 kB/s",
            daemons,
            plan.DAEMONS,
            by,
        ),
        Limit(
            "reads of the list by all",
            "daemons",
            "2,000 reads/s",
            list_break(points),
            plan.DAEMONS,
            by,
        ),
        Limit(
            "length of the list",
            "daemons",
            "1 MB",
            value,
            plan.DAEMONS,
            "membership/listing.py",
        ),
    ]


def _memory(points) -> list[Limit]:
    held = memory(points)
    connection = held["connections"] / (plan.DAEMONS - 1)
    others = sum(held.values()) - held["connections"]
    room = plan.BOUND_MEMORY - others
    peers = max(0.0, room / connection)
    fixed = sum(held.values()) - held["catalogue"]
    accounts = points.full["accounts"]
    part = max(0.0, (plan.BOUND_MEMORY - fixed) / held["catalogue"])
    return [
        Limit(
            "connections to all",
            "peers met",
            "128 MB",
            peers,
            plan.DAEMONS - 1,
            "spread/rounds.py, transport/peers.py",
        ),
        Limit(
            "the whole catalogue",
            "accounts, the rest with them",
            "128 MB",
            part * accounts,
            accounts,
            "model/catalogue.py",
        ),
    ]
