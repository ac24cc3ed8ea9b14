"""Compute the messages, bytes and seconds of fleet events at the planned size."""

from collections.abc import Iterable
from typing import NamedTuple

from . import capacity_plan as plan
from .capacity_costs import frame_bytes, list_change_us, message_us, note_us, routing_us
from .capacity_fit import Points
from .capacity_row import format_quantity

__all__ = ["EVENTS", "Step", "in_force_times_s", "format_steps"]

HEAD = "| Step | Working | Messages or reads | Bytes | Seconds |"
DOMAIN_INSTANCES = plan.DAEMONS / plan.DOMAINS
REGION_INSTANCES = plan.DAEMONS / plan.REGIONS
PROBE_ROUNDS = 6
MAX_NOTES_PER_BATCH = 64
ROUND_INTERVAL_S = 2.0
US_PER_S = 1e6
KEY_WITHDRAWAL = "withdraw a key"


class Step(NamedTuple):
    """One step of an event; None leaves a column empty.

    Parameters
    ----------
    name, calculation : str
        What happens and how the numbers are computed.
    messages : float or None
        Messages between instances, or reads of the configuration service.
    size : float or None
        Total in bytes.
    seconds : float or None
        Duration.
    """

    name: str
    calculation: str
    messages: float | None = None
    size: float | None = None
    seconds: float | None = None


def format_steps(steps: Iterable[Step]) -> str:
    """Return steps as a Markdown table."""
    lines = [HEAD, "| --- | --- | ---: | ---: | ---: |"]
    for step in steps:
        messages = "" if step.messages is None else f"{step.messages:,.0f}"
        size = "" if step.size is None else format_quantity(step.size, "B")
        seconds = "" if step.seconds is None else f"{step.seconds:,.3g}"
        cells = (step.name, step.calculation, messages, size, seconds)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def failure_domain_start_steps(points: Points) -> list[Step]:
    """Return the steps when all instances of a failure domain start at once."""
    snapshot = points.value_at_largest("notes", "snapshot length")
    parts = points.value_at_largest("notes", "snapshot parts")
    length = points.value_at_largest("membership", "list length")
    read_s = points.value_at_largest("notes", "read a snapshot") / US_PER_S
    apply_s = routing_us(points) / US_PER_S
    encode_s = points.value_at_largest("notes", "take a snapshot") / US_PER_S
    probes = REGION_INSTANCES / PROBE_ROUNDS + 1
    claim = frame_bytes(points, "Claim")
    received = DOMAIN_INSTANCES * probes / REGION_INSTANCES
    coding_s = probes * message_us(points, "Claim") / US_PER_S
    return [
        Step(
            "lists read",
            f"{DOMAIN_INSTANCES:.0f} instances",
            DOMAIN_INSTANCES,
            DOMAIN_INSTANCES * length,
        ),
        Step(
            "snapshots read",
            f"{DOMAIN_INSTANCES:.0f} × {parts + 1:.0f} values",
            DOMAIN_INSTANCES * (parts + 1),
            DOMAIN_INSTANCES * snapshot,
        ),
        Step(
            "one snapshot at 26 kB/s",
            format_quantity(snapshot, "B"),
            None,
            snapshot,
            snapshot / plan.BOUND_BYTES_PER_S,
        ),
        Step("a snapshot decoded", "processor time", None, None, read_s),
        Step("the catalogue put in force", "processor time", None, None, apply_s),
        Step(
            "a peer asked for a snapshot encodes it",
            "processor time, lock held",
            None,
            None,
            encode_s,
        ),
        Step(
            "claims of one instance without a seat",
            f"{probes:.0f} each second",
            probes,
            probes * claim,
        ),
        Step(
            "claims heard by one instance of the region",
            "each second",
            received,
            received * claim,
        ),
        Step(
            "claims coded by one instance",
            "processor time each second",
            None,
            None,
            coding_s,
        ),
    ]


def region_partition_steps(points: Points) -> list[Step]:
    """Return the steps of a region that is partitioned for an hour and then rejoins."""
    notes = plan.NOTES_PER_DAY / 24
    note = frame_bytes(points, "NotesReply")
    times = note_us(points, KEY_WITHDRAWAL)
    applied_s = notes * (times["parsed"] + times["applied"]) / US_PER_S
    batches = -(-notes // MAX_NOTES_PER_BATCH)
    apply_s = batches * (times["limits"] + times["routing and health"]) / US_PER_S
    rounds_s = batches * ROUND_INTERVAL_S
    cross_region_pushes = 3 * 2 * (plan.DOMAINS - plan.DOMAINS / plan.REGIONS) * 3
    return [
        Step(
            "notes missed in the hour",
            f"{plan.NOTES_PER_DAY:,} a day; 256 are kept",
            notes,
            notes * note,
        ),
        Step(
            "pushes over the links of the region at a change",
            "3 bridges × 2 peers × 9 failure domains × 3",
            cross_region_pushes,
        ),
        Step(
            "replies to the fleet's region",
            f"{REGION_INSTANCES:.0f} instances × missed notes",
            REGION_INSTANCES * batches,
            REGION_INSTANCES * notes * note,
        ),
        Step(
            "rounds until the last note is known",
            f"{batches:.0f} batches of at most "
            f"{MAX_NOTES_PER_BATCH}, {ROUND_INTERVAL_S:.0f} s each at worst",
            None,
            None,
            rounds_s,
        ),
        Step("notes parsed and applied", "processor time", None, None, applied_s),
        Step(
            "catalogues put in force",
            f"{batches:.0f} times, lock held",
            None,
            None,
            apply_s,
        ),
        Step(
            "in force after the return",
            "sum of the three",
            None,
            None,
            rounds_s + applied_s + apply_s,
        ),
    ]


def restart_steps(points: Points) -> list[Step]:
    """Return the steps of one day of restarts."""
    count = plan.RESTARTS_PER_DAY
    snapshot = points.value_at_largest("notes", "snapshot length")
    parts = points.value_at_largest("notes", "snapshot parts")
    length = points.value_at_largest("membership", "list length")
    lists = plan.LISTS_PER_DAY
    return [
        Step(
            "snapshots read",
            f"{count:,} × {parts + 1:.0f} values",
            count * (parts + 1),
            count * snapshot,
        ),
        Step(
            "lists read by every instance",
            f"{lists:,} × {plan.DAEMONS:,}",
            lists * plan.DAEMONS,
            lists * plan.DAEMONS * length,
        ),
        Step(
            "lists taken by one instance",
            "processor time in a day",
            None,
            lists * length,
            lists * list_change_us(points) / US_PER_S,
        ),
        Step(
            "time between two lists",
            "none published together",
            None,
            None,
            plan.DAY_S / lists,
        ),
    ]


def in_force_times_s(points: Points) -> dict[str, float]:
    """Return the seconds of each step until a withdrawn key is refused everywhere."""
    hops = points.value_at_largest("spread", "hops of pushes")
    hop_us = message_us(points, "NotesReply") + points.value_at_largest(
        "notes", f"parse: {KEY_WITHDRAWAL}"
    )
    times = note_us(points, KEY_WITHDRAWAL)
    travel = 2 * plan.REGION_HOP_LATENCY_S + (hops - 2) * plan.DOMAIN_HOP_LATENCY_S
    return {
        "a reader's watch answers and it reads the note": plan.WATCH_RESPONSE_S,
        "latency of the hops": travel,
        "decoded, parsed and encoded at each hop": hops * hop_us / US_PER_S,
        "settling time": plan.SETTLING_TIME_S,
        "applied": times["applied"] / US_PER_S,
        "limits follow": times["limits"] / US_PER_S,
        "routing and health follow": times["routing and health"] / US_PER_S,
    }


def key_withdrawal_steps(points: Points) -> list[Step]:
    """Return the steps of withdrawing a key at the planned size."""
    times = in_force_times_s(points)
    pushes = points.value_at_largest("spread", "pushes of the fleet")
    frame = frame_bytes(points, "NotesReply") + 2 * frame_bytes(
        points, "RevisionAdvert"
    )
    steps = [Step(name, "", None, None, seconds) for name, seconds in times.items()]
    total = sum(times.values())
    verdict_text = "met" if total <= plan.BOUND_IN_FORCE_S else "**not met**"
    calculation = f"bound {plan.BOUND_IN_FORCE_S:.0f} s: {verdict_text}"
    return [
        Step(
            "pushes",
            "note, and adverts when known and in force",
            3 * pushes,
            pushes * frame,
        ),
        *steps,
        Step("in force everywhere", calculation, None, None, total),
    ]


def change_steps(points: Points) -> list[Step]:
    """Return the steps of one day of configuration changes."""
    notes = plan.NOTES_PER_DAY
    pushes = points.value_at_largest("spread", "pushes of the fleet")
    frame = frame_bytes(points, "NotesReply") + 2 * frame_bytes(
        points, "RevisionAdvert"
    )
    times = note_us(points, KEY_WITHDRAWAL)
    steps = [
        Step(
            f"one instance: {name}",
            f"{format_quantity(us, 'us')} × {notes:,}",
            None,
            None,
            us * notes / US_PER_S,
        )
        for name, us in times.items()
    ]
    return [
        Step("time between two changes", "", None, None, plan.DAY_S / notes),
        Step(
            "pushes of the fleet",
            f"{notes:,} × 3 × {pushes:,.0f}",
            notes * 3 * pushes,
            notes * pushes * frame,
        ),
        *steps,
        Step(
            "one instance: all",
            "processor time in a day",
            None,
            None,
            sum(times.values()) * notes / US_PER_S,
        ),
    ]


EVENTS = {
    "a failure domain starts": failure_domain_start_steps,
    "a region apart": region_partition_steps,
    "restarts": restart_steps,
    "a key withdrawn": key_withdrawal_steps,
    "changes": change_steps,
}
