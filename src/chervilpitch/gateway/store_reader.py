"""Reads the platform's store for the instances of a region."""

import asyncio

from chervilpitch import platform
from chervilpitch.observe import part_logger

from .fleet import Fleet
from .http_client import ExchangeError, HttpRequest, connect
from .state import GatewayState

__all__ = ["StoreReader"]

log = part_logger("store")

CONNECT_TIMEOUT_S = 0.8
READ_TIMEOUT_S = 1.0
CONFIGURATION_WAIT_MS = 600
ENTRIES_WAIT_MS = 1_500
ENTRIES_PAUSE_S = 0.5
IDLE_POLL_S = 0.15
RETRY_S = 0.3
MS_PER_S = 1_000
DEAF_WATCH_S = 1.0
"""A watch may miss changes for this long, so that its silence proves less."""


class StoreCallError(Exception):
    """A call of the store that gave nothing.

    Parameters
    ----------
    problem : platform.StoreProblem
        Why.
    """

    def __init__(self, problem: platform.StoreProblem):
        super().__init__(problem.value)
        self._problem = problem

    @property
    def problem(self) -> platform.StoreProblem:
        """Why it gave nothing."""
        return self._problem


class _StoreConnection:
    """A connection to the store that is opened anew when it fails."""

    def __init__(self, address: str):
        self._address = address
        self._connection = None

    async def get(self, target: str, timeout_s: float):
        """Return the answer to a reading call.

        Raises
        ------
        ExchangeError, TimeoutError
            No whole answer came.
        """
        async with asyncio.timeout(timeout_s):
            if self._connection is None or not self._connection.is_reusable:
                self._connection = await connect(self._address, CONNECT_TIMEOUT_S)
            headers = [(b"Host", self._address.encode())]
            request = HttpRequest(b"GET", target.encode(), headers)
            return await self._connection.exchange(request)

    def close(self):
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class StoreReader:
    """Keeps the configuration and the upstreams' entries up to date.

    Parameters
    ----------
    address : str
        Host and port of the store.
    state : GatewayState
        What the instance knows.
    fleet : Fleet
        Decides whether this instance reads.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, address: str, state: GatewayState, fleet: Fleet, clock):
        self._address = address
        self._state = state
        self._fleet = fleet
        self._clock = clock
        self._is_reachable = True
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls of the store so far."""
        return self._calls

    async def read_at_start(self) -> None:
        """Read everything once, before other instances can be asked.

        The configuration comes last: with it the instance is ready. Where the store
        gives nothing, the instance waits for what others read.
        """
        connection = _StoreConnection(self._address)
        try:
            await self._list_entries(connection)
            await self._read_configuration(connection, 0)
        except (StoreCallError, ExchangeError, TimeoutError) as error:
            self._lost(error)
        finally:
            connection.close()

    async def follow_configuration(self) -> None:
        """Read the configuration while this instance is to; never returns."""
        await self._follow(self._read_configuration)

    async def follow_entries(self) -> None:
        """Read the upstreams' entries while this instance is to; never returns."""
        await self._follow(self._read_entries)

    async def _follow(self, read):
        connection = _StoreConnection(self._address)
        revision = 0
        while True:
            if not self._fleet.is_reading:
                connection.close()
                revision = 0
                await asyncio.sleep(IDLE_POLL_S)
                continue
            try:
                revision = await read(connection, revision)
                self._reached()
            except StoreCallError as error:
                if error.problem is platform.StoreProblem.HISTORY_GONE:
                    revision = 0
                self._lost(error)
                await asyncio.sleep(RETRY_S)
            except (ExchangeError, TimeoutError) as error:
                connection.close()
                self._lost(error)
                await asyncio.sleep(RETRY_S)

    async def _read_configuration(self, connection, revision) -> int:
        state = self._state
        began_at_s = self._clock()
        if not revision:
            target = platform.key_target(platform.CONFIGURATION_KEY)
            changes = await self._call(connection, target, platform.parse_key)
            if not changes.items:
                await asyncio.sleep(RETRY_S)
                return 0
            proved_at_s = began_at_s
        else:
            prefix = platform.CONFIGURATION_KEY
            target = platform.watch_target(prefix, revision, CONFIGURATION_WAIT_MS)
            wait_s = CONFIGURATION_WAIT_MS / MS_PER_S
            changes = await self._call(connection, target, platform.parse_watch, wait_s)
            proved_at_s = began_at_s - DEAF_WATCH_S
        state.take_configuration_items(changes.items, proved_at_s)
        return changes.revision

    async def _read_entries(self, connection, revision) -> int:
        if not revision:
            return await self._list_entries(connection)
        prefix = platform.ENTRY_PREFIX
        target = platform.watch_target(prefix, revision, ENTRIES_WAIT_MS)
        wait_s = ENTRIES_WAIT_MS / MS_PER_S
        changes = await self._call(connection, target, platform.parse_watch, wait_s)
        self._state.take_entry_items(changes.items, changes.revision, False)
        await asyncio.sleep(ENTRIES_PAUSE_S)
        return changes.revision

    async def _list_entries(self, connection) -> int:
        items = []
        first_revision = 0
        after = ""
        while True:
            target = platform.range_target(platform.ENTRY_PREFIX, after)
            page = await self._call(connection, target, platform.parse_range)
            first_revision = first_revision or page.revision
            items.extend(page.items)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self._state.take_entry_items(tuple(items), first_revision, True)
        return first_revision

    async def _call(self, connection, target, parse, wait_s=0.0):
        self._calls += 1
        answer = await connection.get(target, wait_s + READ_TIMEOUT_S)
        parsed = parse(answer.status, answer.body)
        if parsed.is_err():
            raise StoreCallError(parsed.unwrap_err())
        return parsed.unwrap()

    def _reached(self):
        if not self._is_reachable:
            log.info("Store reached again.")
        self._is_reachable = True

    def _lost(self, error):
        if self._is_reachable:
            log.warning("Store not reached.", cause=str(error) or "timeout")
        self._is_reachable = False
