"""Tables of the relays of a failure domain and of the configuration service."""

from . import capacity_plan as plan
from .capacity_costs import frame_bytes, message_us, messages_bytes_per_s
from .capacity_fit import Points
from .capacity_row import Row

__all__ = ["list_break", "reads_per_s", "readers", "relay"]

NOTE = "NotesReply"
ADVERT = "RevisionAdvert"


def relay(points: Points) -> list[Row]:
    """Return the rows of an instance that is a bridge and a reader."""
    pushes = points.last("spread", "pushes of a bridge")
    ordinary = points.last("spread", "pushes of a change")
    notes_per_s = plan.NOTES_PER_DAY / plan.DAY_S
    more = plan.BRIDGE_ADVERTS_PER_S - plan.MESSAGES_PER_S[ADVERT]
    quiet = messages_bytes_per_s(points) + more * frame_bytes(points, ADVERT)
    per_note = pushes * (2 * frame_bytes(points, ADVERT) + frame_bytes(points, NOTE))
    coded = more * message_us(points, ADVERT) / 1e6
    by = "spread/neighbours.py"
    return [
        Row(
            "pushes of an ordinary instance",
            "log2 of a failure domain",
            ordinary,
            "",
            None,
            by,
        ),
        Row("pushes of a bridge", "and 2 in each of 11 others", pushes, "", None, by),
        Row(
            "bytes sent in a quiet second",
            f"{plan.BRIDGE_ADVERTS_PER_S}/s adverts",
            quiet,
            "B/s",
            plan.BOUND_BYTES_PER_S,
            "spread/rounds.py",
        ),
        Row(
            "bytes sent for notes",
            f"{per_note:,.0f} B × {plan.NOTES_PER_DAY:,} a day",
            per_note * notes_per_s,
            "B/s",
            plan.BOUND_BYTES_PER_S,
            "spread/exchange.py",
        ),
        Row(
            "further processor time for coding",
            "beside the control table",
            coded,
            "core",
            plan.BOUND_CORE,
            "transport/codec.py",
        ),
        Row(
            "hops of a change to all",
            "from one instance",
            points.last("spread", "hops of pushes"),
            "",
            None,
            by,
        ),
        Row(
            "pushes of the fleet for a change",
            "of adverts, and again of the note",
            points.last("spread", "pushes of the fleet"),
            "",
            None,
            by,
        ),
    ]


def reads_per_s(points: Points, daemons: float) -> dict[str, float]:
    """Return the reads of the configuration service in a fleet of one size."""
    part = daemons / plan.DAEMONS
    changes = plan.LISTS_PER_DAY * part / plan.DAY_S
    notes = plan.NOTES_PER_DAY / plan.DAY_S
    values = points.last("notes", "snapshot parts") + 1
    restarts = plan.RESTARTS_PER_DAY * part / plan.DAY_S
    return {
        "watches of the list": daemons / plan.LIST_WATCH_S,
        "new lists": daemons * changes,
        "watches of the head": plan.READERS / plan.HEAD_WATCH_S,
        "new notes": plan.READERS * 2 * notes,
        "snapshots after restarts": restarts * values,
    }


def list_break(points: Points) -> int:
    """Return the fleet size at which the reads pass their bound."""
    low, high = 1, 100_000
    while high - low > 1:
        middle = (low + high) // 2
        over = sum(reads_per_s(points, middle).values()) > plan.BOUND_READS_PER_S
        low, high = (low, middle) if over else (middle, high)
    return low


def readers(points: Points) -> list[Row]:
    """Return the rows of the readers of the configuration service."""
    bound = plan.BOUND_READS_PER_S
    reads = reads_per_s(points, plan.DAEMONS)
    carriers = {
        "watches of the list": "runtime/reader.py",
        "new lists": "runtime/reader.py",
        "watches of the head": "spread/reading.py",
        "new notes": "spread/reading.py",
        "snapshots after restarts": "spread/transfer.py",
    }
    rows = [Row(n, "", reads[n], "/s", bound, by) for n, by in carriers.items()]
    length = points.last("membership", "list length")
    slope = points.fit("membership", "list length").slope
    out = length * reads["new lists"]
    return rows + [
        Row("all reads", "", sum(reads.values()), "/s", bound, "runtime/reader.py"),
        Row(
            "largest fleet within the bound",
            "daemons",
            list_break(points),
            "",
            None,
            "runtime/reader.py",
        ),
        Row(
            "bytes that the service sends for lists",
            "",
            out,
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
