"""Reader of the platform's store on behalf of the instances of a region."""

import asyncio

from chervilpitch import platform
from chervilpitch.model import StorePosition
from chervilpitch.observe import part_logger
from chervilpitch.policy import StoreStream

from .gossip import Gossip
from .http_client import ExchangeError, HttpRequest, connect
from .state import GatewayState

__all__ = ["StoreReader"]

log = part_logger("store")

CONNECT_TIMEOUT_S = 0.8
READ_TIMEOUT_S = 1.0
CONFIGURATION_WATCH_MS = 600
ENTRIES_WATCH_MS = 1_500
ENTRIES_WATCH_PAUSE_S = 0.5
OVERDUE_S = 0.3
"""Time after which a response counts as overdue, besides the wait of a watch."""
RETRY_DELAY_S = 0.3
MAX_RETRY_DOUBLINGS = 2
"""Doublings of the delay of an instance that reads while the first readers fail: it may
be all instances that the store turns away."""
DEFECT_RETRY_DELAY_S = 2.0
DISCOVERY_S = 0.25
FIRST_ANSWER_TIMEOUT_S = 0.5
START_POLL_INTERVAL_S = 0.03
MS_PER_S = 1_000
READ_ANEW = (
    platform.StoreProblem.HISTORY_GONE,
    platform.StoreProblem.ERA_CHANGED,
)
"""Failures after which a watch can't continue from its position."""
WATCH_MISS_WINDOW_S = 1.0
"""A watch may miss changes for this long, so its proof is dated back by as much."""


class StoreCallError(Exception):
    """A call to the store failed.

    Parameters
    ----------
    problem : platform.StoreProblem
        Reason of the failure.
    """

    def __init__(self, problem: platform.StoreProblem):
        super().__init__(problem.value)
        self._problem = problem

    @property
    def problem(self) -> platform.StoreProblem:
        """Reason of the failure."""
        return self._problem


class _StoreConnection:
    """A connection to the store that is reopened after a failure.

    Parameters
    ----------
    address : str
        Host and port of the store.
    stream : StoreStream
        What its calls follow.
    """

    def __init__(self, address: str, stream: StoreStream):
        self._address = address
        self._stream = stream
        self._connection = None

    @property
    def stream(self) -> StoreStream:
        """What its calls follow."""
        return self._stream

    async def get(self, target: str, timeout_s: float):
        """Return the response to a GET request.

        Raises
        ------
        ExchangeError, TimeoutError
            No complete response was received in time.
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
    """Keep the configuration and the upstreams' entries up to date.

    Parameters
    ----------
    address : str
        Host and port of the store.
    state : GatewayState
        State of the instance, to which the items read are applied.
    gossip : Gossip
        Decides whether this instance reads the store.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, address: str, state: GatewayState, gossip: Gossip, clock):
        self._address = address
        self._state = state
        self._gossip = gossip
        self._clock = clock
        self._is_reachable = True
        self._calls = 0
        self._defects = 0

    @property
    def defect_count(self) -> int:
        """Number of responses whose handling raised an unforeseen exception."""
        return self._defects

    @property
    def call_count(self) -> int:
        """Number of calls to the store so far."""
        return self._calls

    async def read_at_start(self) -> None:
        """Obtain the entries and the configuration once at startup.

        An instance that serves already is asked first, so that a restart costs the
        store nothing. If there is none, the aggregators of the region read the
        store; the others get the state from them. The configuration is read last,
        because the instance is ready once it is applied. If the store can't be read,
        the instance waits for the state that other instances send.
        """
        await self._wait_until(lambda: self._gossip.has_serving_peer, DISCOVERY_S)
        if self._gossip.has_serving_peer:
            self._gossip.request_state()
            await self._wait_until(self._has_state, FIRST_ANSWER_TIMEOUT_S)
        if self._has_state() or not self._gossip.region.is_aggregator:
            return
        connection = _StoreConnection(self._address, StoreStream.ENTRIES)
        try:
            await self._list_entries(connection)
            await self._read_configuration(connection, None)
        except (StoreCallError, ExchangeError, TimeoutError) as error:
            self._mark_unreachable(error)
        finally:
            connection.close()

    def _has_state(self) -> bool:
        return self._state.configuration_revision > 0

    async def _wait_until(self, condition, timeout_s):
        until_s = self._clock() + timeout_s
        while not condition() and self._clock() < until_s:
            await asyncio.sleep(START_POLL_INTERVAL_S)

    async def watch_configuration(self) -> None:
        """Read and watch the configuration while this is a reader; never return."""
        await self._watch(self._read_configuration, StoreStream.CONFIGURATION)

    async def watch_entries(self) -> None:
        """Read and watch the entries while this is a reader; never return."""
        await self._watch(self._read_entries, StoreStream.ENTRIES)

    async def _watch(self, read, stream):
        connection = _StoreConnection(self._address, stream)
        position: StorePosition | None = None
        failures = 0
        while True:
            if not self._gossip.is_reading:
                connection.close()
                self._state.store_calls.clear(stream)
                position = None
                failures = 0
                await self._gossip.reading_begun.wait()
                continue
            try:
                position = await read(connection, position)
                failures = 0
                self._mark_reachable()
            except StoreCallError as error:
                if error.problem in READ_ANEW:
                    position = None
                if error.problem is platform.StoreProblem.ERA_CHANGED:
                    continue
                failures += 1
                self._mark_unreachable(error)
                await asyncio.sleep(self._retry_delay_s(failures))
            except (ExchangeError, TimeoutError) as error:
                failures += 1
                connection.close()
                self._mark_unreachable(error)
                await asyncio.sleep(self._retry_delay_s(failures))
            except Exception:
                connection.close()
                position = None
                self._defects += 1
                log.exception("Handling of a store response failed; reading it anew.")
                await asyncio.sleep(DEFECT_RETRY_DELAY_S)

    def _retry_delay_s(self, failures) -> float:
        """Return the delay after a number of failures in a row."""
        if not self._gossip.is_replacement_reader:
            return RETRY_DELAY_S
        doublings = min(failures - 1, MAX_RETRY_DOUBLINGS)
        return RETRY_DELAY_S * 2**doublings

    async def _read_configuration(self, connection, position) -> StorePosition | None:
        started_at_s = self._clock()
        if position is None:
            target = platform.key_target(platform.CONFIGURATION_KEY)
            read = await self._call_store(connection, target, platform.parse_key)
            if not read.items:
                await asyncio.sleep(RETRY_DELAY_S)
                return None
            self._state.apply_configuration_items(read.items, started_at_s)
            return StorePosition(read.era, read.revision)
        changes = await self._watch_changes(
            connection, platform.CONFIGURATION_KEY, position, CONFIGURATION_WATCH_MS
        )
        proved_at_s = started_at_s - WATCH_MISS_WINDOW_S
        self._state.apply_configuration_items(changes.items, proved_at_s, True)
        if not self._state.is_shown_by_store:
            return None
        return StorePosition(changes.era, changes.revision)

    async def _read_entries(self, connection, position) -> StorePosition:
        if position is None:
            return await self._list_entries(connection)
        changes = await self._watch_changes(
            connection, platform.ENTRY_PREFIX, position, ENTRIES_WATCH_MS
        )
        self._state.apply_entry_items(
            changes.items, changes.revision, False, changes.era
        )
        await asyncio.sleep(ENTRIES_WATCH_PAUSE_S)
        return StorePosition(changes.era, changes.revision)

    async def _watch_changes(self, connection, prefix, position, wait_ms):
        target = platform.watch_target(prefix, position.revision, wait_ms)
        return await self._call_store(
            connection,
            target,
            platform.parse_watch,
            wait_ms / MS_PER_S,
            position.era,
        )

    async def _list_entries(self, connection) -> StorePosition:
        items = []
        first: StorePosition | None = None
        after = ""
        while True:
            target = platform.range_target(platform.ENTRY_PREFIX, after)
            page = await self._call_store(
                connection,
                target,
                platform.parse_range,
                watched_era=None if first is None else first.era,
            )
            first = first or StorePosition(page.era, page.revision)
            items.extend(page.items)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self._state.apply_entry_items(tuple(items), first.revision, True, first.era)
        return first

    async def _call_store(
        self, connection, target, parse, wait_s=0.0, watched_era=None
    ) -> platform.StoreResponse:
        self._calls += 1
        calls = self._state.store_calls
        calls.begin(connection.stream, self._clock() + wait_s + OVERDUE_S)
        is_answered = False
        try:
            response = await connection.get(target, wait_s + READ_TIMEOUT_S)
            era = self._checked_era(response, watched_era)
            parsed = parse(response.status, response.body)
            if parsed.is_err():
                raise StoreCallError(parsed.unwrap_err())
            is_answered = True
            return parsed.unwrap()._replace(era=era)
        except StoreCallError as error:
            is_answered = error.problem in READ_ANEW
            raise
        finally:
            calls.end(connection.stream, is_answered)

    def _checked_era(self, response, watched_era) -> int:
        """Return the era of a response that follows what is known and was watched."""
        parsed = platform.parse_era(response.headers)
        if parsed.is_err():
            raise StoreCallError(parsed.unwrap_err())
        era = parsed.unwrap()
        if era < self._state.store_era:
            raise StoreCallError(platform.StoreProblem.EARLIER_ERA)
        self._state.observe_era(era)
        if watched_era not in (None, era):
            raise StoreCallError(platform.StoreProblem.ERA_CHANGED)
        return era

    def _mark_reachable(self):
        if not self._is_reachable:
            log.info("Store reached again.")
        self._is_reachable = True

    def _mark_unreachable(self, error):
        if self._is_reachable:
            log.warning("Store call failed.", cause=str(error) or "timeout")
        self._is_reachable = False
