"""Threads that watch the users' configuration service."""

import threading

import structlog
from result import Err, Ok, Result

from chervilpitch import membership, notes
from chervilpitch.errors import PlatformError
from chervilpitch.transport.platform import PlatformClient, PlatformValue

from .control import Control
from .cores import Cores

__all__ = ["PlatformWatch"]

log = structlog.get_logger()

HEAD = "notes/head"
LIST = "instances"
AGAIN_AFTER_FAILURE_S = 1.0


class PlatformWatch:
    """Follows the head of the release notes and the list of instances.

    Parameters
    ----------
    client : PlatformClient
        Reader of the configuration service.
    control : Control
        Takes what was read.
    cores : Cores
        The decision cores.
    watch_s : float
        Seconds that one watch waits.
    """

    def __init__(
        self, client: PlatformClient, control: Control, cores: Cores, watch_s: float
    ):
        self._client = client
        self._control = control
        self._cores = cores
        self._watch_s = watch_s
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._follow, args=item, daemon=True)
            for item in ((HEAD, self._take_head), (LIST, self._take_list))
        ]

    def start(self) -> None:
        """Begin to watch."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Watch no more."""
        self._stop.set()

    def _follow(self, name, take):
        version = ""
        while not self._stop.is_set():
            asked_at_s = self._cores.clock()
            wait_s = self._watch_s if version else 0.0
            read = self._client.read(name, version, wait_s)
            taken = read.and_then(lambda value: take(value, asked_at_s))
            if taken.is_err():
                log.warning(
                    "platform: A value was not taken.",
                    value=name,
                    failure=str(taken.unwrap_err()),
                )
                version = ""
                self._stop.wait(AGAIN_AFTER_FAILURE_S)
                continue
            version = read.unwrap().version

    def _take_head(
        self, value: PlatformValue, asked_at_s: float
    ) -> Result[None, PlatformError]:
        try:
            revision = int((value.content or b"0").split()[0])
        except (ValueError, IndexError):
            return Err(PlatformError("the head of the notes is malformed"))
        self._control.platform_heard(revision, asked_at_s)
        while self._cores.catalogue.revision < revision:
            applied = self._take_note(self._cores.catalogue.revision + 1)
            if applied.is_err():
                return applied
        return Ok(None)

    def _take_note(self, revision: int) -> Result[None, PlatformError]:
        read = self._client.read(f"notes/{revision}")
        note = read.and_then(
            lambda value: notes.parse(value.content or b"", f"notes/{revision}")
        )
        applied = note.and_then(
            lambda parsed: notes.apply(self._cores.catalogue, parsed)
        )
        if applied.is_err():
            return Err(PlatformError(f"note {revision}: {applied.unwrap_err()}"))
        self._control.put_in_force(applied.unwrap())
        log.info("notes: A revision is in force.", revision=revision)
        return Ok(None)

    def _take_list(
        self, value: PlatformValue, asked_at_s: float
    ) -> Result[None, PlatformError]:
        parsed = membership.parse_instances(value.content or b"")
        if parsed.is_err():
            return Err(PlatformError(f"the list: {parsed.unwrap_err()}"))
        self._control.follow_list(parsed.unwrap())
        return Ok(None)
