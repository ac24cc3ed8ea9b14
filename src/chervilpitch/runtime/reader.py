"""Reads and watches of the configuration service, run in threads."""

import threading
from concurrent.futures import ThreadPoolExecutor

from result import Err, Ok, Result

from chervilpitch import membership
from chervilpitch.errors import PlatformError
from chervilpitch.observe import part_logger
from chervilpitch.spread import (
    PlatformEvent,
    PlatformFailed,
    PlatformHead,
    PlatformValue,
    ReadPlatform,
)
from chervilpitch.transport.platform import PlatformClient

from .control import Control
from .cores import Cores

__all__ = ["PlatformReader", "to_platform_event"]

log = part_logger("platform")

HEAD_NAME = "notes/head"
LIST_NAME = "instances"
THREAD_COUNT = 4
RETRY_DELAY_S = 1.0


class PlatformReader:
    """Read values on request of a decision, and watch the list of instances.

    Parameters
    ----------
    client : PlatformClient
        Client of the configuration service.
    control : Control
        Receives the values that were read.
    cores : Cores
        The decision cores.
    watch_s : float
        Maximum duration of one watch (long poll) in seconds.
    """

    def __init__(
        self, client: PlatformClient, control: Control, cores: Cores, watch_s: float
    ):
        self._client = client
        self._control = control
        self._cores = cores
        self._watch_s = watch_s
        self._versions: dict[str, str] = {}
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(THREAD_COUNT, "platform")
        self._list_thread = threading.Thread(target=self._watch_list, daemon=True)

    def start(self) -> None:
        """Start watching the list of instances."""
        self._list_thread.start()

    def stop(self) -> None:
        """Stop reading and cancel queued reads."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def read(self, effect: ReadPlatform) -> None:
        """Read a value in a thread and pass the result to the control plane.

        Parameters
        ----------
        effect : ReadPlatform
            Name of the value, and how long to wait for a change.
        """
        if not self._stopped.is_set():
            self._pool.submit(self._read, effect)

    def _read(self, effect):
        asked_at_s = self._cores.clock()
        wait_s = min(effect.wait_until_s - asked_at_s, self._watch_s)
        after = self._versions.get(effect.name, "") if wait_s > 0 else ""
        read = self._client.read(effect.name, after, max(0.0, wait_s))
        if read.is_ok():
            self._versions[effect.name] = read.unwrap().version
        event = to_platform_event(
            effect.name, read.map(lambda value: value.content or b"")
        )
        if isinstance(event, PlatformHead):
            self._control.record_platform_revision(event.revision, asked_at_s)
        self._control.handle_platform_event(event)

    def _watch_list(self):
        version = ""
        while not self._stopped.is_set():
            wait_s = self._watch_s if version else 0.0
            read = self._client.read(LIST_NAME, version, wait_s)
            version = read.map_or("", lambda value: value.version)
            applied = read.and_then(
                lambda value: self._apply_list(value.content or b"")
            )
            if applied.is_err():
                failure = str(applied.unwrap_err())
                log.warning(
                    "The list of instances was not applied; it is read again.",
                    failure=failure,
                )
                version = ""
                self._stopped.wait(RETRY_DELAY_S)

    def _apply_list(self, content: bytes) -> Result[None, PlatformError]:
        parsed = membership.parse_instances(content)
        if parsed.is_err():
            return Err(
                PlatformError(f"{len(parsed.unwrap_err())} problems in the list")
            )
        self._control.apply_list(parsed.unwrap())
        return Ok(None)


def to_platform_event(
    name: str, content: Result[bytes, PlatformError]
) -> PlatformEvent:
    """Return the event that reports the result of a read to the decision cores.

    Parameters
    ----------
    name : str
        Name of the value.
    content : Result
        The value, empty when it does not exist, or why it could not be read.

    Returns
    -------
    PlatformEvent
        The value, the parsed head, or the failure.

    Examples
    --------
    >>> to_platform_event("notes/head", Ok(b"3 e220"))
    PlatformHead(revision=3, digest='e220')
    >>> to_platform_event("notes/head", Ok(b"three"))
    PlatformFailed(name='notes/head')
    """
    if content.is_err():
        return PlatformFailed(name)
    if name != HEAD_NAME:
        return PlatformValue(name, content.unwrap())
    return _parse_head(content.unwrap())


def _parse_head(content: bytes) -> PlatformEvent:
    if not content:
        return PlatformHead(0, "")
    try:
        revision, digest = content.decode("ascii").split()
        return PlatformHead(int(revision), digest)
    except ValueError:
        return PlatformFailed(HEAD_NAME)
