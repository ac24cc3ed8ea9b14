"""Compute the capacity table of each role of an instance."""

from . import capacity_plan as plan
from .capacity_answers import address_answer_rows
from .capacity_costs import (
    control_cpu,
    list_change_us,
    memory,
    messages_bytes_per_s,
    note_us,
    request_us,
    upstreams_used,
)
from .capacity_fit import Points
from .capacity_relay import reader_rows, relay_rows
from .capacity_row import Row, format_quantity

__all__ = ["ROLES", "control_rows", "data_path_rows"]


def data_path_rows(points: Points) -> list[Row]:
    """Return the rows of the data path of an entry instance."""
    bound = plan.BOUND_REQUEST_US
    value_of = points.value_at_largest
    choice_fit = points.fit("routing", "upstream chosen and released")
    refusal_us = value_of("accounts", "freshness check that refuses")
    note_steps = note_us(points, "withdraw a key")
    rows = [
        ("a key identified", ("accounts", "identify"), "accounts/identify.py"),
        ("a route matched", ("routing", "match"), "routing/match.py"),
        (
            "a request admitted or refused",
            ("limits", "admission"),
            "limits/admission.py",
        ),
    ]
    per = "flat in {per}"
    found = [
        Row(
            name,
            per.format(per=points.select(*key)[0]["per"]),
            value_of(*key),
            "us",
            bound,
            module,
        )
        for name, key, module in rows
    ]
    choice_text = (
        f"{choice_fit.intercept:.0f} us + {choice_fit.slope:.2f} us × 16 upstreams"
    )
    cold_us = value_of("limits", "home seats of an account not asked for before")
    per_seat = points.fit(
        "limits", "home seats of an account not asked for before"
    ).slope
    return found + [
        Row(
            "an upstream chosen and released",
            choice_text,
            choice_fit.at(16),
            "us",
            bound,
            "routing/choice.py",
        ),
        Row(
            "all decisions of a request",
            "2 identifications and freshness checks, " "match, admission, choice",
            request_us(points),
            "us",
            bound,
            "pipeline",
        ),
        Row(
            "processor time of these",
            f"× {plan.REQUESTS_PER_S:.0f} requests/s",
            request_us(points) * plan.REQUESTS_PER_S / 1e6,
            "core",
            None,
            "pipeline",
        ),
        Row(
            "added time for 99 in 100, sockets included",
            "",
            None,
            "us",
            bound,
            "pipeline",
        ),
        Row(
            "first request of an account new here",
            f"{per_seat:.2f} us × " f"{plan.DAEMONS:,} seats",
            cold_us,
            "us",
            bound,
            "limits/homes.py",
        ),
        Row(
            "a request refused for want of freshness",
            "sorts all instances",
            refusal_us,
            "us",
            bound,
            "accounts/evidence.py",
        ),
        Row(
            "longest wait for the lock: a note put in force",
            "see control",
            note_steps["limits"] + note_steps["routing and health"],
            "us",
            bound,
            "runtime/control.py",
        ),
        Row(
            "a full garbage collection",
            "grows with the catalogue",
            value_of("notes", "full garbage collection"),
            "us",
            bound,
            "model/catalogue.py",
        ),
        Row(
            "accounts and services without a common seat",
            "share of pairs sampled",
            value_of("routing", "accounts and services without a common seat"),
            "",
            0.0,
            "membership/address.py",
        ),
        Row(
            "connections of the fleet to one upstream",
            "its users × connections of each",
            value_of("routing", "connections of the fleet to one upstream"),
            "",
            330.0,
            "routing/concurrency_windows.py",
        ),
        Row(
            "upstreams in use",
            f"{value_of('routing', 'services in use'):.0f} services",
            upstreams_used(points),
            "",
            None,
            "routing/subset.py",
        ),
    ]


def control_rows(points: Points) -> list[Row]:
    """Return the rows of the control path of an entry instance."""
    cpu, memory_parts = control_cpu(points), memory(points)
    bound = plan.BOUND_CORE_SHARE
    tick_slope_us = points.fit("limits", "tick").slope
    used = upstreams_used(points)
    labels = {
        "ticks": ("ticks of all cores, empty", "as often as due", "runtime/control.py"),
        "addresses": ("addresses collected", "every 0.05 s", "runtime/loop.py"),
        "limits": (
            "limits tick",
            f"{tick_slope_us:.1f} us × {plan.ACCOUNTS_AT_HOME:.0f} accounts "
            "in use, every 0.05 s",
            "limits/state.py",
        ),
        "health": (
            "health tick, report and probes",
            f"{used:.0f} upstreams, every 0.1 s",
            "health/detector.py",
        ),
        "messages": (
            "messages coded",
            f"{sum(plan.MESSAGES_PER_S.values()):.1f}/s out " "and in",
            "transport/codec.py",
        ),
        "applied": (
            "heartbeats and questions applied",
            "18 and 12 each second",
            "membership/heartbeats.py",
        ),
        "lists": (
            "lists taken",
            f"{format_quantity(list_change_us(points), 'us')} × "
            f"{plan.LISTS_PER_DAY:,} a day",
            "membership/listing.py",
        ),
        "notes": (
            "notes put in force",
            f"{plan.NOTES_PER_DAY:,} a day",
            "routing/subset.py",
        ),
    }
    rows = [
        Row(*labels[key][:2], cpu[key], "core", bound, labels[key][2]) for key in cpu
    ]
    rows.append(Row("all of these", "", sum(cpu.values()), "core", bound, "runtime"))
    rows += _memory_rows(memory_parts)
    return rows + _byte_rows(points)


def _memory_rows(memory_parts) -> list[Row]:
    bound = plan.BOUND_MEMORY_BYTES
    modules = {
        "program": "cli/main.py",
        "catalogue": "notes/snapshot.py",
        "routes": "routing/match.py",
        "list": "membership/published_list.py",
        "neighbours": "spread/neighbours.py",
        "connections": "transport/peers.py",
        "accounts": "limits/state.py",
        "upstreams": "health/state.py",
    }
    details = {
        "program": "resident after imports",
        "connections": (
            f"{memory_parts['connections'] / (plan.DAEMONS - 1) / 1e3:.1f} kB × "
            f"{plan.DAEMONS - 1:,} peers met"
        ),
        "accounts": f"{plan.ACCOUNTS_AT_HOME:.0f} accounts in use",
    }
    rows = [
        Row(
            f"memory: {name}",
            details.get(name, ""),
            memory_parts[name],
            "B",
            bound,
            module,
        )
        for name, module in modules.items()
    ]
    total = sum(memory_parts.values())
    rows.append(Row("memory: all of these", "", total, "B", bound, "runtime"))
    return rows


def _byte_rows(points) -> list[Row]:
    bound = plan.BOUND_BYTES_PER_S
    quiet_bytes_per_s = messages_bytes_per_s(points)
    length = points.value_at_largest("membership", "list length")
    lists_bytes_per_s = length * plan.LISTS_PER_DAY / plan.DAY_S
    snapshot = points.value_at_largest("notes", "snapshot length")
    snapshots_bytes_per_s = snapshot * plan.RESTARTS_PER_DAY / plan.DAEMONS / plan.DAY_S
    list_calculation = f"{format_quantity(length, 'B')} × {plan.LISTS_PER_DAY:,} a day"
    snapshot_calculation = (
        f"{format_quantity(snapshot, 'B')} × "
        f"{plan.RESTARTS_PER_DAY / plan.DAEMONS:.2f} a day"
    )
    return [
        Row(
            "bytes sent in a quiet second",
            "messages above",
            quiet_bytes_per_s,
            "B/s",
            bound,
            "transport/codec.py",
        ),
        Row(
            "the list read anew",
            list_calculation,
            lists_bytes_per_s,
            "B/s",
            bound,
            "runtime/reader.py",
        ),
        Row(
            "snapshots after restarts",
            snapshot_calculation,
            snapshots_bytes_per_s,
            "B/s",
            bound,
            "spread/transfer.py",
        ),
        Row(
            "all bytes",
            "",
            quiet_bytes_per_s + lists_bytes_per_s + snapshots_bytes_per_s,
            "B/s",
            bound,
            "runtime",
        ),
        Row(
            "token requests and grants",
            "rate of messages at this size",
            None,
            "B/s",
            bound,
            "limits/lending.py",
        ),
    ]


ROLES = {
    "data path": data_path_rows,
    "control": control_rows,
    "relay": relay_rows,
    "address answers": address_answer_rows,
    "readers": reader_rows,
}
