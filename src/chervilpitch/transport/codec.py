"""Cap'n Proto encoding of the messages between instances."""

import pathlib
from typing import Any, NamedTuple

import capnp
from result import Err, Ok, Result

from chervilpitch import accounts, limits, spread
from chervilpitch.errors import FrameError
from chervilpitch.health.messages import HealthReport
from chervilpitch.membership.messages import Hello
from chervilpitch.model import Sender
from chervilpitch.requests.messages import FinalOutcomes

from .structs import to_plain, to_typed

__all__ = ["MESSAGE_TYPES", "Envelope", "decode", "encode"]

PROTOCOL_VERSION = 1
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peers.capnp")))
TRAVERSAL_LIMIT_WORDS = 4_194_304

MESSAGE_TYPES = {
    "hello": Hello,
    "healthReport": HealthReport,
    "finalOutcomes": FinalOutcomes,
    "claim": limits.Claim,
    "promise": limits.Promise,
    "release": limits.Release,
    "tokenRequest": limits.TokenRequest,
    "grant": limits.Grant,
    "revisionAdvert": spread.RevisionAdvert,
    "noteRequest": spread.NoteRequest,
    "notesReply": spread.NotesReply,
    "snapshotRequest": spread.SnapshotRequest,
    "snapshotPart": spread.SnapshotPart,
    "revisionQuestion": accounts.RevisionQuestion,
    "revisionAnswer": accounts.RevisionAnswer,
}
_UNION_FIELDS = {kind: name for name, kind in MESSAGE_TYPES.items()}


class Envelope(NamedTuple):
    """A message with its sender, receiver and time.

    Parameters
    ----------
    sender : Sender
        Instance that sent the message.
    receiver : str
        Name of the instance to which the message is addressed.
    wall_ns, logical : int
        Time of sending by the sender's hybrid logical clock.
    message : NamedTuple
        Message of one of the ``MESSAGE_TYPES``.
    """

    sender: Sender
    receiver: str
    wall_ns: int
    logical: int
    message: Any


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope.

    Parameters
    ----------
    envelope : Envelope
        The envelope to send.

    Returns
    -------
    bytes
        A packed Cap'n Proto message.
    """
    name = _UNION_FIELDS[type(envelope.message)]
    return SCHEMA.Envelope.new_message(
        version=PROTOCOL_VERSION,
        sender=envelope.sender.name,
        incarnation=envelope.sender.incarnation,
        receiver=envelope.receiver,
        wallNs=envelope.wall_ns,
        logical=envelope.logical,
        body={name: to_plain(envelope.message)},
    ).to_bytes_packed()


def decode(payload: bytes) -> Result[Envelope, FrameError]:
    """Decode an envelope.

    Parameters
    ----------
    payload : bytes
        Payload of a frame whose authentication code was verified.

    Returns
    -------
    Result
        The envelope, or an error if it is malformed or its message type is
        unknown to this release.
    """
    try:
        fields = SCHEMA.Envelope.from_bytes_packed(
            payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ).to_dict()
        name, content = next(iter(fields["body"].items()))
        message = to_typed(MESSAGE_TYPES[name], content)
        sender = Sender(fields["sender"], fields["incarnation"])
        return Ok(
            Envelope(
                sender,
                fields["receiver"],
                fields["wallNs"],
                fields["logical"],
                message,
            )
        )
    except (capnp.KjException, KeyError, TypeError, ValueError, StopIteration) as error:
        return Err(FrameError(type(error).__name__))
