"""Events at the planned size worked through: messages, bytes and seconds."""

from collections.abc import Iterable
from typing import NamedTuple

from . import capacity_plan as plan
from .capacity_costs import frame_bytes, list_change_us, message_us, note_us, routing_us
from .capacity_fit import Points
from .capacity_row import quantity

__all__ = ["SCENES", "Step", "in_force_s", "steps_table"]

HEAD = "| Step | Working | Messages or reads | Bytes | Seconds |"
DOMAIN = plan.DAEMONS / plan.DOMAINS
REGION = plan.DAEMONS / plan.REGIONS
PROBE_ROUNDS = 6
NOTES_AHEAD = 64
ROUND_S = 2.0
US_PER_S = 1e6
WITHDRAWN = "withdraw a key"


class Step(NamedTuple):
    """One step; None where a column says nothing.

    Parameters
    ----------
    name, working : str
        What happens and how the numbers were found.
    messages : float or None
        Messages between instances, or reads of the configuration service.
    size : float or None
        Bytes.
    seconds : float or None
        Time.
    """

    name: str
    working: str
    messages: float | None = None
    size: float | None = None
    seconds: float | None = None


def steps_table(steps: Iterable[Step]) -> str:
    """Return steps as a table of Markdown."""
    lines = [HEAD, "| --- | --- | ---: | ---: | ---: |"]
    for step in steps:
        messages = "" if step.messages is None else f"{step.messages:,.0f}"
        size = "" if step.size is None else quantity(step.size, "B")
        seconds = "" if step.seconds is None else f"{step.seconds:,.3g}"
        cells = (step.name, step.working, messages, size, seconds)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def domain_starts(points: Points) -> list[Step]:
    """Return the steps of a whole failure domain that starts at once."""
    snapshot = points.last("notes", "snapshot length")
    parts = points.last("notes", "snapshot parts")
    length = points.last("membership", "list length")
    read_s = points.last("notes", "read a snapshot") / US_PER_S
    put_s = routing_us(points) / US_PER_S
    take_s = points.last("notes", "take a snapshot") / US_PER_S
    probes = REGION / PROBE_ROUNDS + 1
    claim = frame_bytes(points, "Claim")
    heard = DOMAIN * probes / REGION
    coded = probes * message_us(points, "Claim") / US_PER_S
    return [
        Step("lists read", f"{DOMAIN:.0f} instances", DOMAIN, DOMAIN * length),
        Step(
            "snapshots read",
            f"{DOMAIN:.0f} × {parts + 1:.0f} values",
            DOMAIN * (parts + 1),
            DOMAIN * snapshot,
        ),
        Step(
            "one snapshot at 26 kB/s",
            quantity(snapshot, "B"),
            None,
            snapshot,
            snapshot / plan.BOUND_BYTES_PER_S,
        ),
        Step("a snapshot decoded", "processor time", None, None, read_s),
        Step("the catalogue put in force", "processor time", None, None, put_s),
        Step(
            "a peer asked for a snapshot encodes it",
            "processor time, lock held",
            None,
            None,
            take_s,
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
            heard,
            heard * claim,
        ),
        Step(
            "claims coded by one instance",
            "processor time each second",
            None,
            None,
            coded,
        ),
    ]


def region_apart(points: Points) -> list[Step]:
    """Return the steps of a region apart for an hour, and of its return."""
    notes = plan.NOTES_PER_DAY / 24
    note = frame_bytes(points, "NotesReply")
    times = note_us(points, WITHDRAWN)
    applied = notes * (times["parsed"] + times["applied"]) / US_PER_S
    batches = -(-notes // NOTES_AHEAD)
    put = batches * (times["limits"] + times["routing and health"]) / US_PER_S
    rounds = batches * ROUND_S
    crossing = 3 * 2 * (plan.DOMAINS - plan.DOMAINS / plan.REGIONS) * 3
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
            crossing,
        ),
        Step(
            "replies to the fleet's region",
            f"{REGION:.0f} instances × missed notes",
            REGION * batches,
            REGION * notes * note,
        ),
        Step(
            "rounds until the last note is known",
            f"{batches:.0f} batches of at most "
            f"{NOTES_AHEAD}, {ROUND_S:.0f} s each at worst",
            None,
            None,
            rounds,
        ),
        Step("notes parsed and applied", "processor time", None, None, applied),
        Step(
            "catalogues put in force",
            f"{batches:.0f} times, lock held",
            None,
            None,
            put,
        ),
        Step(
            "in force after the return",
            "sum of the three",
            None,
            None,
            rounds + applied + put,
        ),
    ]


def restarts(points: Points) -> list[Step]:
    """Return the steps of the restarts of a day."""
    count = plan.RESTARTS_PER_DAY
    snapshot = points.last("notes", "snapshot length")
    parts = points.last("notes", "snapshot parts")
    length = points.last("membership", "list length")
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


def in_force_s(points: Points) -> dict[str, float]:
    """Return the seconds of each step until a key is withdrawn everywhere."""
    hops = points.last("spread", "hops of pushes")
    hop_us = message_us(points, "NotesReply") + points.last(
        "notes", f"parse: {WITHDRAWN}"
    )
    times = note_us(points, WITHDRAWN)
    travel = 2 * plan.BETWEEN_REGIONS_S + (hops - 2) * plan.BETWEEN_DOMAINS_S
    return {
        "a reader's watch answers and it reads the note": plan.WATCH_ANSWERED_S,
        "latency of the hops": travel,
        "decoded, parsed and encoded at each hop": hops * hop_us / US_PER_S,
        "settling time": plan.SETTLE_S,
        "applied": times["applied"] / US_PER_S,
        "limits follow": times["limits"] / US_PER_S,
        "routing and health follow": times["routing and health"] / US_PER_S,
    }


def key_withdrawn(points: Points) -> list[Step]:
    """Return the steps of a key withdrawn at the planned size."""
    times = in_force_s(points)
    pushes = points.last("spread", "pushes of the fleet")
    frame = frame_bytes(points, "NotesReply") + 2 * frame_bytes(
        points, "RevisionAdvert"
    )
    steps = [Step(name, "", None, None, seconds) for name, seconds in times.items()]
    total = sum(times.values())
    word = "met" if total <= plan.BOUND_IN_FORCE_S else "**not met**"
    working = f"bound {plan.BOUND_IN_FORCE_S:.0f} s: {word}"
    return [
        Step(
            "pushes",
            "note, and adverts when known and in force",
            3 * pushes,
            pushes * frame,
        ),
        *steps,
        Step("in force everywhere", working, None, None, total),
    ]


def changes(points: Points) -> list[Step]:
    """Return the steps of the changes of a day."""
    notes = plan.NOTES_PER_DAY
    pushes = points.last("spread", "pushes of the fleet")
    frame = frame_bytes(points, "NotesReply") + 2 * frame_bytes(
        points, "RevisionAdvert"
    )
    times = note_us(points, WITHDRAWN)
    steps = [
        Step(
            f"one instance: {name}",
            f"{quantity(us, 'us')} × {notes:,}",
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


SCENES = {
    "a failure domain starts": domain_starts,
    "a region apart": region_apart,
    "restarts": restarts,
    "a key withdrawn": key_withdrawn,
    "changes": changes,
}
