"""Compute the capacity tables of relays and of the configuration service."""

from . import capacity_plan as plan
from .capacity_costs import frame_bytes, message_us, messages_bytes_per_s
from .capacity_fit import Points
from .capacity_row import Row

__all__ = ["max_fleet_for_reads", "reads_per_s", "reader_rows", "relay_rows"]

NOTE = "NotesReply"
ADVERT = "RevisionAdvert"


def relay_rows(points: Points) -> list[Row]:
    """Return the rows of a bridge that also reads the configuration service."""
    bridge_pushes = points.value_at_largest("spread", "pushes of a bridge")
    ordinary_pushes = points.value_at_largest("spread", "pushes of a change")
    notes_per_s = plan.NOTES_PER_DAY / plan.DAY_S
    extra_adverts_per_s = plan.BRIDGE_ADVERTS_PER_S - plan.MESSAGES_PER_S[ADVERT]
    quiet_bytes_per_s = messages_bytes_per_s(
        points
    ) + extra_adverts_per_s * frame_bytes(points, ADVERT)
    bytes_per_note = bridge_pushes * (
        2 * frame_bytes(points, ADVERT) + frame_bytes(points, NOTE)
    )
    coding_share = extra_adverts_per_s * message_us(points, ADVERT) / 1e6
    module = "spread/neighbours.py"
    return [
        Row(
            "pushes of an ordinary instance",
            "log2 of a failure domain",
            ordinary_pushes,
            "",
            None,
            module,
        ),
        Row(
            "pushes of a bridge",
            "and 2 in each of 11 others",
            bridge_pushes,
            "",
            None,
            module,
        ),
        Row(
            "bytes sent in a quiet second",
            f"{plan.BRIDGE_ADVERTS_PER_S}/s adverts",
            quiet_bytes_per_s,
            "B/s",
            plan.BOUND_BYTES_PER_S,
            "spread/rounds.py",
        ),
        Row(
            "bytes sent for notes",
            f"{bytes_per_note:,.0f} B × {plan.NOTES_PER_DAY:,} a day",
            bytes_per_note * notes_per_s,
            "B/s",
            plan.BOUND_BYTES_PER_S,
            "spread/exchange.py",
        ),
        Row(
            "further processor time for coding",
            "beside the control table",
            coding_share,
            "core",
            plan.BOUND_CORE_SHARE,
            "transport/codec.py",
        ),
        Row(
            "hops of a change to all",
            "from one instance",
            points.value_at_largest("spread", "hops of pushes"),
            "",
            None,
            module,
        ),
        Row(
            "pushes of the fleet for a change",
            "of adverts, and again of the note",
            points.value_at_largest("spread", "pushes of the fleet"),
            "",
            None,
            module,
        ),
    ]


def reads_per_s(points: Points, daemons: float) -> dict[str, float]:
    """Return the reads per second of the configuration service, by kind."""
    scale = daemons / plan.DAEMONS
    list_changes_per_s = plan.LISTS_PER_DAY * scale / plan.DAY_S
    notes_per_s = plan.NOTES_PER_DAY / plan.DAY_S
    values_per_snapshot = points.value_at_largest("notes", "snapshot parts") + 1
    restarts_per_s = plan.RESTARTS_PER_DAY * scale / plan.DAY_S
    return {
        "watches of the list": daemons / plan.LIST_WATCH_INTERVAL_S,
        "new lists": daemons * list_changes_per_s,
        "watches of the head": plan.READERS / plan.HEAD_WATCH_INTERVAL_S,
        "new notes": plan.READERS * 2 * notes_per_s,
        "snapshots after restarts": restarts_per_s * values_per_snapshot,
    }


def max_fleet_for_reads(points: Points) -> int:
    """Return the largest fleet whose reads stay within their bound."""
    low, high = 1, 100_000
    while high - low > 1:
        middle = (low + high) // 2
        is_over_bound = (
            sum(reads_per_s(points, middle).values()) > plan.BOUND_READS_PER_S
        )
        low, high = (low, middle) if is_over_bound else (middle, high)
    return low


def reader_rows(points: Points) -> list[Row]:
    """Return the rows of the readers of the configuration service."""
    bound = plan.BOUND_READS_PER_S
    reads = reads_per_s(points, plan.DAEMONS)
    modules = {
        "watches of the list": "runtime/reader.py",
        "new lists": "runtime/reader.py",
        "watches of the head": "spread/reading.py",
        "new notes": "spread/reading.py",
        "snapshots after restarts": "spread/transfer.py",
    }
    rows = [Row(n, "", reads[n], "/s", bound, module) for n, module in modules.items()]
    length = points.value_at_largest("membership", "list length")
    slope = points.fit("membership", "list length").slope
    sent_bytes_per_s = length * reads["new lists"]
    return rows + [
        Row("all reads", "", sum(reads.values()), "/s", bound, "runtime/reader.py"),
        Row(
            "largest fleet within the bound",
            "daemons",
            max_fleet_for_reads(points),
            "",
            None,
            "runtime/reader.py",
        ),
        Row(
            "bytes that the service sends for lists",
            "",
            sent_bytes_per_s,
            "B/s",
            None,
            "runtime/reader.py",
        ),
        Row(
            "length of the list",
            f"{slope:.0f} B × {plan.DAEMONS:,}",
            length,
            "B",
            plan.BOUND_VALUE_BYTES,
            "membership/listing.py",
        ),
        Row(
            "longest part of a snapshot before compression",
            "fixed",
            900_000,
            "B",
            plan.BOUND_VALUE_BYTES,
            "notes/snapshot.py",
        ),
    ]
