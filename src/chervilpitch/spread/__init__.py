"""Distribution of release notes: reads of the platform and gossip among peers."""

from .effects import ApplyCatalogue, ReadPlatform, SpreadEffect
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
from .reading import handle_platform_event
from .rounds import tick, update_instances
from .state import SpreadState, SpreadStatus, catalogue, ready, status
from .suspending import Suspended, suspended

__all__ = [
    "ApplyCatalogue",
    "NoteRequest",
    "NoteText",
    "NotesReply",
    "PlatformEvent",
    "PlatformFailed",
    "PlatformHead",
    "PlatformValue",
    "ReadPlatform",
    "RevisionAdvert",
    "SnapshotPart",
    "SnapshotRequest",
    "SpreadEffect",
    "SpreadState",
    "SpreadStatus",
    "Suspended",
    "catalogue",
    "handle_platform_event",
    "ready",
    "receive",
    "status",
    "suspended",
    "tick",
    "update_instances",
]
