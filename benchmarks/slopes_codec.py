"""Measure the size of messages between instances and the cost of coding them."""

from collections.abc import Iterator

from chervilpitch import accounts, health, limits, membership, requests, spread
from chervilpitch.model import Sender
from chervilpitch.requests import FinalRecord
from chervilpitch.transport import codec
from chervilpitch.transport.frames import HEADER_BYTES, encode_frame, verify_payload

from .slopes_fleet import DIGEST
from .slopes_measure import Point, make_point, time_call

__all__ = ["measure"]

TOPIC = "codec"
SECRET = b"s" * 32
NAME = "region-0-domain-0-0000"
ADDRESS = "10.0.13.37:8081"
ITEM_COUNTS = (1, 4, 16, 64)


def measure() -> Iterator[Point]:
    """Yield the size and coding time of each message by its number of items."""
    for name, make in FIXED_MESSAGES.items():
        yield from _measure_message(name, make(1), 1)
    for name, make in LIST_MESSAGES.items():
        for count in ITEM_COUNTS:
            yield from _measure_message(name, make(count), count)


def _measure_message(name, message, items) -> Iterator[Point]:
    envelope = codec.Envelope(Sender(NAME, 2**63 + 1), NAME, 2**60, 3, message)
    frame = encode_frame(SECRET, codec.encode(envelope))
    payload = frame[HEADER_BYTES:]

    def decode():
        verify_payload(SECRET, frame[:HEADER_BYTES], payload).unwrap()
        return codec.decode(payload).unwrap()

    yield make_point(TOPIC, f"{name}: frame", "bytes", "items", items, len(frame))
    yield time_call(
        TOPIC,
        f"{name}: encoded",
        "items",
        items,
        lambda: encode_frame(SECRET, codec.encode(envelope)),
    )
    yield time_call(TOPIC, f"{name}: decoded", "items", items, decode)


def _make_hello(count):
    announcements = tuple(
        membership.Announcement(
            f"{NAME}{n}",
            2**63 + n,
            n,
            "region-0/domain-0",
            ADDRESS,
            ADDRESS,
            False,
            9,
            1,
        )
        for n in range(count - 1)
    )
    return membership.Hello(
        NAME,
        7,
        "region-0/domain-0",
        ADDRESS,
        ADDRESS,
        False,
        2**40,
        1,
        9,
        2**63 + 5,
        2**62 + 9,
        announcements,
    )


def _make_final_outcomes(count):
    record = FinalRecord(*(_make_field(name) for name in FinalRecord._fields))
    return requests.FinalOutcomes((record,) * count)


def _make_field(name):
    examples = {str: "x" * 16, int: 1, float: 1.0, bytes: b"x" * 200, bool: False}
    return examples[FinalRecord.__annotations__[name]]


def _make_notes_reply(count):
    text = "[changed account account-000007]\nrate-per-s = 11.0\n" * count
    head = f"[note]\nrevision = 2\nfollows = {DIGEST}\nitems = {count}\n"
    return spread.NotesReply((spread.NoteText(2, head + text, False),), False)


FIXED_MESSAGES = {
    "Claim": lambda _: limits.Claim(7, 9),
    "Promise": lambda _: limits.Promise(7, 9, True, False, True, True),
    "Release": lambda _: limits.Release(7),
    "RevisionQuestion": lambda _: accounts.RevisionQuestion(9),
    "RevisionAnswer": lambda _: accounts.RevisionAnswer(9, 4_900),
    "RevisionAdvert": lambda _: spread.RevisionAdvert(
        4_900, DIGEST, 4_900, DIGEST, 1.5, True, False
    ),
    "NoteRequest": lambda _: spread.NoteRequest(4_900),
    "SnapshotRequest": lambda _: spread.SnapshotRequest(4_900, 3),
}
LIST_MESSAGES = {
    "Hello": _make_hello,
    "HealthReport": lambda count: health.HealthReport(
        tuple(f"target-{n:05d}" for n in range(count))
    ),
    "TokenRequest": lambda count: limits.TokenRequest(
        9, tuple(limits.Want(f"account-{n:06d}", 1.5) for n in range(count))
    ),
    "Grant": lambda count: limits.Grant(
        9, True, tuple(limits.Loan(f"account-{n:06d}", 1.5) for n in range(count))
    ),
    "NotesReply": _make_notes_reply,
    "SnapshotPart": lambda count: spread.SnapshotPart(9, 1, bytes(range(256)) * count),
    "FinalOutcomes": _make_final_outcomes,
}
