"""Compute the sizes at which quantities that grow with the fleet exceed a bound."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from chervilpitch.routing.subset import max_users

from . import capacity_plan as plan
from .capacity_costs import memory, messages_bytes_per_s, routing_us
from .capacity_fit import Fit, Points
from .capacity_relay import max_fleet_for_reads

__all__ = ["ScalingLimit", "scaling_limits", "format_scaling_limits"]

HEAD = "| What grows | With | Bound | Breaks at | Planned | Where |"
UPSTREAM_CONNECTIONS = 330
US_PER_S = 1e6


class ScalingLimit(NamedTuple):
    """A quantity that grows, and the size at which it exceeds its bound.

    Parameters
    ----------
    name, per, bound : str
        The quantity, what the size counts, and the bound.
    breaks_at, planned : float
        Size at which the bound is exceeded, and the planned size.
    where : str
        Modules that implement it.
    """

    name: str
    per: str
    bound: str
    breaks_at: float
    planned: float
    where: str


def scaling_limits(points: Points) -> list[ScalingLimit]:
    """Return the limits, the one with the smallest share of the plan first."""
    computed = _processor_limits(points) + _list_limits(points) + _memory_limits(points)
    users = max_users(UPSTREAM_CONNECTIONS)
    text = "every instance serves every service"
    module = "routing/subset.py, membership/address.py"
    computed.append(
        ScalingLimit(
            "seats that use a service", "seats", text, users, plan.DAEMONS, module
        )
    )
    return sorted(computed, key=lambda limit: limit.breaks_at / limit.planned)


def format_scaling_limits(limits: Iterable[ScalingLimit]) -> str:
    """Return limits as a Markdown table."""
    lines = [HEAD, "| --- | --- | --- | ---: | ---: | --- |"]
    for limit in limits:
        sizes = f"{math.floor(limit.breaks_at):,} | {limit.planned:,.0f}"
        lines.append(
            f"| {limit.name} | {limit.per} | {limit.bound} | {sizes} "
            f"| `{limit.where}` |"
        )
    return "\n".join(lines)


def _size_at(fit: Fit, amount: float) -> float:
    return max(0.0, (amount - fit.intercept) / fit.slope)


def _processor_limits(points) -> list[ScalingLimit]:
    tick_us = plan.BOUND_CORE_SHARE / plan.TICKS_PER_S * US_PER_S
    note_us = plan.BOUND_CORE_SHARE * plan.DAY_S / plan.NOTES_PER_DAY * US_PER_S
    bound = "1.2% of a core"
    routing_total_us = routing_us(points)
    routing_size = math.sqrt(note_us / routing_total_us) * plan.DAEMONS
    ticks_size = _size_at(points.fit("control", "tick of all cores"), tick_us)
    limits = _size_at(points.fit("limits", "tick"), tick_us)
    health_us = plan.BOUND_CORE_SHARE / plan.HEALTH_TICKS_PER_S * US_PER_S
    health_size = _size_at(points.fit("health", "tick"), health_us)
    apply_size = _size_at(points.fit("limits", "put_in_force"), note_us)
    used_upstreams = points.value_at_largest("routing", "upstreams in use")
    accounts = points.full["accounts"]
    return [
        ScalingLimit(
            "a note in routing",
            "daemons, services with them",
            bound,
            routing_size,
            plan.DAEMONS,
            "routing/subset.py",
        ),
        ScalingLimit(
            "a note in limits",
            "accounts",
            bound,
            apply_size,
            accounts,
            "limits/state.py",
        ),
        ScalingLimit(
            "ticks of all cores",
            "daemons",
            bound,
            ticks_size,
            plan.DAEMONS,
            "runtime/control.py",
        ),
        ScalingLimit(
            "limits tick",
            "accounts in use",
            bound,
            limits,
            plan.ACCOUNTS_AT_HOME,
            "limits/state.py",
        ),
        ScalingLimit(
            "health tick",
            "upstreams in use",
            bound,
            health_size,
            used_upstreams,
            "health/detector.py",
        ),
    ]


def _list_limits(points) -> list[ScalingLimit]:
    per_daemon = plan.LISTS_PER_DAY / plan.DAEMONS / plan.DAY_S
    bytes_per_daemon = points.fit("membership", "list length").slope
    available_bytes_per_s = plan.BOUND_BYTES_PER_S - messages_bytes_per_s(points)
    daemons = math.sqrt(available_bytes_per_s / bytes_per_daemon / per_daemon)
    max_list_daemons = plan.BOUND_VALUE_BYTES / bytes_per_daemon
    module = "runtime/reader.py"
    return [
        ScalingLimit(
            "bytes of the list for each",
            "daemons",
            "26 kB/s",
            daemons,
            plan.DAEMONS,
            module,
        ),
        ScalingLimit(
            "reads of the list by all",
            "daemons",
            "2,000 reads/s",
            max_fleet_for_reads(points),
            plan.DAEMONS,
            module,
        ),
        ScalingLimit(
            "length of the list",
            "daemons",
            "1 MB",
            max_list_daemons,
            plan.DAEMONS,
            "membership/listing.py",
        ),
    ]


def _memory_limits(points) -> list[ScalingLimit]:
    memory_parts = memory(points)
    connection_bytes = memory_parts["connections"] / (plan.DAEMONS - 1)
    other_bytes = sum(memory_parts.values()) - memory_parts["connections"]
    available_bytes = plan.BOUND_MEMORY_BYTES - other_bytes
    max_peers = max(0.0, available_bytes / connection_bytes)
    fixed_bytes = sum(memory_parts.values()) - memory_parts["catalogue"]
    accounts = points.full["accounts"]
    scale = max(
        0.0, (plan.BOUND_MEMORY_BYTES - fixed_bytes) / memory_parts["catalogue"]
    )
    return [
        ScalingLimit(
            "connections to all",
            "peers met",
            "128 MB",
            max_peers,
            plan.DAEMONS - 1,
            "spread/rounds.py, transport/peers.py",
        ),
        ScalingLimit(
            "the whole catalogue",
            "accounts, the rest with them",
            "128 MB",
            scale * accounts,
            accounts,
            "model/catalogue.py",
        ),
    ]
