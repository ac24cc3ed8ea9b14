"""Threads that read the users' configuration service."""

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

__all__ = ["PlatformReader", "event_of"]

log = part_logger("platform")

HEAD = "notes/head"
LIST = "instances"
THREADS = 4
AGAIN_AFTER_FAILURE_S = 1.0


class PlatformReader:
    """Reads values when a decision asks for them, and watches the list.

    Parameters
    ----------
    client : PlatformClient
        Reader of the configuration service.
    control : Control
        Takes what was read.
    cores : Cores
        The decision cores.
    watch_s : float
        Longest time in seconds that one watch waits.
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
        self._pool = ThreadPoolExecutor(THREADS, "platform")
        self._list_thread = threading.Thread(target=self._follow_list, daemon=True)

    def start(self) -> None:
        """Begin to watch the list of instances."""
        self._list_thread.start()

    def stop(self) -> None:
        """Read no more."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def read(self, effect: ReadPlatform) -> None:
        """Read a value in a thread and pass the answer to the decisions.

        Parameters
        ----------
        effect : ReadPlatform
            What to read.
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
        event = event_of(effect.name, read.map(lambda value: value.content or b""))
        if isinstance(event, PlatformHead):
            self._control.platform_heard(event.revision, asked_at_s)
        self._control.platform_answered(event)

    def _follow_list(self):
        version = ""
        while not self._stopped.is_set():
            wait_s = self._watch_s if version else 0.0
            read = self._client.read(LIST, version, wait_s)
            version = read.map_or("", lambda value: value.version)
            taken = read.and_then(lambda value: self._take_list(value.content or b""))
            if taken.is_err():
                failure = str(taken.unwrap_err())
                log.warning("The list was not taken.", failure=failure)
                version = ""
                self._stopped.wait(AGAIN_AFTER_FAILURE_S)

    def _take_list(self, content: bytes) -> Result[None, PlatformError]:
        parsed = membership.parse_instances(content)
        if parsed.is_err():
            return Err(PlatformError(f"{len(parsed.unwrap_err())} problems"))
        self._control.apply_list(parsed.unwrap())
        return Ok(None)


def event_of(name: str, content: Result[bytes, PlatformError]) -> PlatformEvent:
    """Return the event of a read.

    Parameters
    ----------
    name : str
        Name of the value.
    content : Result
        The value, empty when there is none, or why it could not be read.

    Returns
    -------
    PlatformEvent
        What the decisions take in.

    Examples
    --------
    >>> event_of("notes/head", Ok(b"3 e220"))
    PlatformHead(revision=3, digest='e220')
    >>> event_of("notes/head", Ok(b"three"))
    PlatformFailed(name='notes/head')
    """
    if content.is_err():
        return PlatformFailed(name)
    if name != HEAD:
        return PlatformValue(name, content.unwrap())
    return _head_of(content.unwrap())


def _head_of(content: bytes) -> PlatformEvent:
    if not content:
        return PlatformHead(0, "")
    try:
        revision, digest = content.decode("ascii").split()
        return PlatformHead(int(revision), digest)
    except ValueError:
        return PlatformFailed(HEAD)
