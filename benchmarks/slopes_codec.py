"""Slopes of messages between instances: bytes, encoding and decoding."""

from collections.abc import Iterator

from chervilpitch import accounts, health, limits, membership, requests, spread
from chervilpitch.model import Sender
from chervilpitch.requests import FinalRecord
from chervilpitch.transport import codec
from chervilpitch.transport.frames import HEADER_BYTES, encode_frame, verify_payload

from .slopes_fleet import DIGEST
from .slopes_measure import Point, timed, value

__all__ = ["measure"]

TOPIC = "codec"
SECRET = b"s" * 32
NAME = "region-0-domain-0-0000"
ADDRESS = "10.0.13.37:8081"
ITEMS = (1, 4, 16, 64)


def measure() -> Iterator[Point]:
    """Yield bytes and processor time of each message by its number of items."""
    for name, make in MESSAGES.items():
        yield from _of_message(name, make(1), 1)
    for name, make in LISTS.items():
        for count in ITEMS:
            yield from _of_message(name, make(count), count)


def _of_message(name, message, items) -> Iterator[Point]:
    envelope = codec.Envelope(Sender(NAME, 2**63 + 1), NAME, 2**60, 3, message)
    frame = encode_frame(SECRET, codec.encode(envelope))
    payload = frame[HEADER_BYTES:]

    def decode():
        verify_payload(SECRET, frame[:HEADER_BYTES], payload).unwrap()
        return codec.decode(payload).unwrap()

    yield value(TOPIC, f"{name}: frame", "bytes", "items", items, len(frame))
    yield timed(
        TOPIC,
        f"{name}: encoded",
        "items",
        items,
        lambda: encode_frame(SECRET, codec.encode(envelope)),
    )
    yield timed(TOPIC, f"{name}: decoded", "items", items, decode)


def _hello(count):
    news = tuple(
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
        news,
    )


def _final(count):
    record = FinalRecord(*(_field(name) for name in FinalRecord._fields))
    return requests.FinalOutcomes((record,) * count)


def _field(name):
    kinds = {str: "x" * 16, int: 1, float: 1.0, bytes: b"x" * 200, bool: False}
    return kinds[FinalRecord.__annotations__[name]]


def _notes(count):
    text = "[changed account account-000007]\nrate-per-s = 11.0\n" * count
    head = f"[note]\nrevision = 2\nfollows = {DIGEST}\nitems = {count}\n"
    return spread.NotesReply((spread.NoteText(2, head + text, False),), False)


MESSAGES = {
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
LISTS = {
    "Hello": _hello,
    "HealthReport": lambda count: health.HealthReport(
        tuple(f"target-{n:05d}" for n in range(count))
    ),
    "TokenRequest": lambda count: limits.TokenRequest(
        9, tuple(limits.Want(f"account-{n:06d}", 1.5) for n in range(count))
    ),
    "Grant": lambda count: limits.Grant(
        9, True, tuple(limits.Loan(f"account-{n:06d}", 1.5) for n in range(count))
    ),
    "NotesReply": _notes,
    "SnapshotPart": lambda count: spread.SnapshotPart(9, 1, bytes(range(256)) * count),
    "FinalOutcomes": _final,
}
