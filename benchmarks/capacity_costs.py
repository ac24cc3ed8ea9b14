"""Compute costs that several tables of the capacity page share."""

from . import capacity_plan as plan
from .capacity_fit import Points

__all__ = [
    "control_cpu",
    "frame_bytes",
    "list_change_us",
    "memory",
    "message_us",
    "messages_bytes_per_s",
    "messages_core",
    "note_us",
    "request_us",
    "routing_us",
    "upstreams_used",
]

US_PER_S = 1e6


def upstreams_used(points: Points) -> float:
    """Return the number of upstreams that one instance uses at the planned size."""
    return points.value_at_largest("routing", "upstreams in use")


def frame_bytes(points: Points, name: str) -> float:
    """Return the size in bytes of a message with one item, frame header included."""
    return points.select("codec", f"{name}: frame")[0]["median"]


def message_us(points: Points, name: str) -> float:
    """Return the time to encode and to decode one message, in microseconds."""
    encode_us = points.select("codec", f"{name}: encoded")[0]["median"]
    decode_us = points.select("codec", f"{name}: decoded")[0]["median"]
    return encode_us + decode_us


def messages_core(points: Points) -> float:
    """Return the share of a core that message coding takes without callers."""
    rates = plan.MESSAGES_PER_S.items()
    return sum(rate * message_us(points, name) for name, rate in rates) / US_PER_S


def messages_bytes_per_s(points: Points) -> float:
    """Return the bytes per second that an instance sends without callers."""
    rates = plan.MESSAGES_PER_S.items()
    return sum(rate * frame_bytes(points, name) for name, rate in rates)


def routing_us(points: Points) -> float:
    """Return the time in which routing applies a catalogue of the planned size.

    Returns
    -------
    float
        Microseconds as measured. They are not scaled by the reference loop, because
        the machine speed may change during a call of this length.
    """
    return points.select("routing", "put_in_force")[-1]["raw"]


def note_us(points: Points, change: str) -> dict[str, float]:
    """Return the time of each step that puts one note in force, in microseconds."""
    return {
        "parsed": points.value_at_largest("notes", f"parse: {change}"),
        "applied": points.value_at_largest("notes", f"apply: {change}"),
        "limits": points.value_at_largest("limits", "put_in_force"),
        "routing and health": routing_us(points),
    }


def list_change_us(points: Points) -> float:
    """Return the time to apply a list with one change in all cores, in microseconds."""
    return (
        points.value_at_largest("membership", "list parsed with one change")
        + points.value_at_largest("membership", "follow_list with one change")
        + points.value_at_largest("limits", "follow_instances")
        + points.value_at_largest("accounts", "follow_instances")
        + points.value_at_largest("spread", "find_neighbours")
    )


def request_us(points: Points) -> float:
    """Return the time of all decisions for one served request, in microseconds."""
    identify_us = points.value_at_largest("accounts", "identify")
    freshness_us = points.value_at_largest("accounts", "freshness check")
    choice_us = points.fit("routing", "upstream chosen and released").at(16)
    match_us = points.value_at_largest("routing", "match")
    admission_us = points.value_at_largest("limits", "admission")
    return 2 * (identify_us + freshness_us) + match_us + admission_us + choice_us


def control_cpu(points: Points) -> dict[str, float]:
    """Return the share of a core that each part of the control path takes."""
    used_upstreams = upstreams_used(points)
    tick_and_report_us = sum(
        points.fit("health", n).at(used_upstreams) for n in ("tick", "report")
    )
    probes_us = points.fit("health", "probes_due").at(used_upstreams)
    limits_us = points.fit("limits", "tick").at(plan.ACCOUNTS_AT_HOME)
    collection_us = points.value_at_largest(
        "control", "addresses in use collected in a tick"
    )
    heartbeats_us = points.value_at_largest("membership", "second of heartbeats")
    questions_us = points.value_at_largest("accounts", "round of questions")
    notes_us = sum(note_us(points, "withdraw a key").values())
    per_tick = plan.TICKS_PER_S / US_PER_S
    return {
        "ticks": points.value_at_largest("control", "tick of all cores") * per_tick,
        "addresses": collection_us * per_tick,
        "limits": limits_us * per_tick,
        "health": tick_and_report_us * plan.HEALTH_TICKS_PER_S / US_PER_S
        + probes_us * per_tick,
        "messages": messages_core(points),
        "applied": (heartbeats_us + questions_us * plan.QUESTION_ROUNDS_PER_S)
        / US_PER_S,
        "lists": list_change_us(points) * plan.LISTS_PER_DAY / plan.DAY_S / US_PER_S,
        "notes": notes_us * plan.NOTES_PER_DAY / plan.DAY_S / US_PER_S,
    }


def memory(points: Points) -> dict[str, float]:
    """Return the memory in bytes of each part of one instance."""
    peer_bytes = points.fit("peers", "connection out, closed by the peer").slope
    account_bytes = points.fit("limits", "accounts in use").slope
    upstream_bytes = points.fit("health", "upstreams in use").slope
    return {
        "program": points.value_at_largest("memory", "resident after imports"),
        "catalogue": points.value_at_largest("notes", "catalogue"),
        "routes": points.value_at_largest("routing", "route table"),
        "list": points.value_at_largest("membership", "list followed"),
        "neighbours": points.value_at_largest("spread", "neighbours"),
        "connections": peer_bytes * (plan.DAEMONS - 1),
        "accounts": account_bytes * plan.ACCOUNTS_AT_HOME,
        "upstreams": upstream_bytes * upstreams_used(points),
    }
