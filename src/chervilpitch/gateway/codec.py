"""Cap'n Proto encoding of the messages between gateway instances."""

import pathlib
import zlib
from typing import Any, NamedTuple

import capnp
from result import Err, Ok, Result

from chervilpitch.errors import FrameError
from chervilpitch.transport.structs import read_struct, to_plain

from .messages import (
    Evidence,
    InstanceEvidence,
    MemberRecords,
    RegionLoads,
    RegionUsage,
    RelayedEvidence,
    StateAnswer,
    StateQuestion,
)

__all__ = ["MESSAGE_TYPES", "Datagram", "decode", "encode"]

VERSION = 2
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("gateway.capnp")))
MAX_MESSAGE_BYTES = 4_194_304
BYTES_PER_WORD = 8
COMPRESSION_THRESHOLD_BYTES = 600
UNCOMPRESSED, COMPRESSED = b"\0", b"\1"

MESSAGE_TYPES = {
    "memberRecords": MemberRecords,
    "evidence": Evidence,
    "regionUsage": RegionUsage,
    "stateQuestion": StateQuestion,
    "stateAnswer": StateAnswer,
    "instanceEvidence": InstanceEvidence,
    "relayedEvidence": RelayedEvidence,
    "regionLoads": RegionLoads,
}
_UNION_FIELDS = {kind: name for name, kind in MESSAGE_TYPES.items()}


class Datagram(NamedTuple):
    """A message and the instance that sent it.

    Parameters
    ----------
    sender : str
        Name of the instance that sent it.
    incarnation : int
        Start time of the sender's process in Unix milliseconds.
    message : NamedTuple
        One of ``MESSAGE_TYPES``.
    """

    sender: str
    incarnation: int
    message: Any


def encode(datagram: Datagram) -> bytes:
    """Return the encoded datagram; large ones are compressed with zlib."""
    name = _UNION_FIELDS[type(datagram.message)]
    content = SCHEMA.Envelope.new_message(
        version=VERSION,
        sender=datagram.sender,
        incarnation=datagram.incarnation,
        body={name: to_plain(datagram.message, by_column=True)},
    ).to_bytes_packed()
    if len(content) < COMPRESSION_THRESHOLD_BYTES:
        return UNCOMPRESSED + content
    return COMPRESSED + zlib.compress(content)


def decode(payload: bytes) -> Result[Datagram, FrameError]:
    """Decode a datagram.

    Returns
    -------
    Result
        The datagram, or a FrameError with the name of the exception if the payload
        is malformed or holds a message type that this version does not know.
    """
    try:
        envelope = SCHEMA.Envelope.from_bytes_packed(
            _decompressed(payload),
            traversal_limit_in_words=MAX_MESSAGE_BYTES // BYTES_PER_WORD,
        )
        if envelope.version != VERSION:
            return Err(FrameError("UnknownVersion"))
        body = envelope.body
        name = str(body.which())
        message = read_struct(MESSAGE_TYPES[name], getattr(body, name))
        return Ok(Datagram(envelope.sender, envelope.incarnation, message))
    except (
        capnp.KjException,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        zlib.error,
    ) as error:
        return Err(FrameError(type(error).__name__))


def _decompressed(payload: bytes) -> bytes:
    if payload[:1] == COMPRESSED:
        inflater = zlib.decompressobj()
        content = inflater.decompress(payload[1:], MAX_MESSAGE_BYTES)
        if not inflater.eof:
            raise ValueError("the message is cut or larger than the limit")
        return content
    return payload[1:]
