"""Baseline for comparison: polls, and applies whichever note arrives last."""

from chervilpitch.model import EMPTY_CATALOGUE, Catalogue, Send
from chervilpitch.notes import apply, parse

from .effects import HEAD_NAME, ReadPlatform
from .events import PlatformHead, PlatformValue
from .messages import NoteText

__all__ = ["NaiveSpread"]

POLL_INTERVAL_S = 5.0


class NaiveSpread:
    """An instance that polls the platform and copies notes to its peers.

    Parameters
    ----------
    peers : tuple of str
        Names of the other instances.
    """

    def __init__(self, peers: tuple[str, ...]) -> None:
        self._peers = peers
        self._catalogues: dict[int, Catalogue] = {0: EMPTY_CATALOGUE}
        self._next_poll_at_s = 0.0
        self.catalogue = EMPTY_CATALOGUE

    def tick(self, now_s: float) -> tuple:
        """Read the head if a poll is due."""
        if now_s < self._next_poll_at_s:
            return ()
        self._next_poll_at_s = now_s + POLL_INTERVAL_S
        return (ReadPlatform(HEAD_NAME, 0.0),)

    def handle_platform_event(self, event: PlatformHead | PlatformValue) -> tuple:
        """Read the note that the head names, apply it and send it to the peers."""
        if isinstance(event, PlatformHead):
            return (ReadPlatform(f"notes/{event.revision}", 0.0),)
        if not isinstance(event, PlatformValue) or not event.data:
            return ()
        text = event.data.decode()
        self._apply_note(text)
        revision = self.catalogue.revision
        return tuple(Send(p, NoteText(revision, text, True)) for p in self._peers)

    def receive(self, message: NoteText) -> tuple:
        """Apply a note from a peer."""
        self._apply_note(message.text)
        return ()

    def _apply_note(self, text: str) -> None:
        note = parse(text, "note").unwrap()
        before = self._catalogues.get(note.revision - 1)
        if before is None:
            return
        applied = apply(before, note)
        if applied.is_ok():
            self.catalogue = applied.ok_value
            self._catalogues[note.revision] = applied.ok_value
