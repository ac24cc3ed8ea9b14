"""Release notes from the platform and from peers."""

from .effects import PutInForce, ReadPlatform, SpreadEffect
from .events import PlatformEvent, PlatformFailed, PlatformHead, PlatformValue
from .exchange import receive
from .messages import (
    NoteRequest,
    NotesReply,
    NoteText,
    RevisionAdvert,
    SnapshotPart,
    SnapshotRequest,
)
from .reading import platform_answered
from .rounds import follow_instances, tick
from .state import SpreadState, SpreadStatus, catalogue, ready, status
from .suspending import Suspended, suspended

__all__ = [
    "NoteRequest",
    "NoteText",
    "NotesReply",
    "PlatformEvent",
    "PlatformFailed",
    "PlatformHead",
    "PlatformValue",
    "PutInForce",
    "ReadPlatform",
    "RevisionAdvert",
    "SnapshotPart",
    "SnapshotRequest",
    "SpreadEffect",
    "SpreadState",
    "SpreadStatus",
    "Suspended",
    "catalogue",
    "follow_instances",
    "platform_answered",
    "ready",
    "receive",
    "status",
    "suspended",
    "tick",
]
