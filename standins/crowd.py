"""Callers that keep to no limit, and what a process uses beside them."""

import asyncio
import contextlib
import socket

import psutil

__all__ = ["ProcessWatch", "SlowCallers", "pipeline_without_reading"]

SAMPLE_INTERVAL_S = 0.02
BLOCK_BYTES = 65_536


class ProcessWatch:
    """Largest resident memory and number of open descriptors of a process.

    Parameters
    ----------
    process_id : int
        Process to watch while the context is entered.

    Attributes
    ----------
    max_memory_bytes, max_descriptors : int
        Largest values seen.
    """

    def __init__(self, process_id):
        self._process = psutil.Process(process_id)
        self._task = None
        self.max_memory_bytes = 0
        self.max_descriptors = 0

    async def __aenter__(self):
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *error):
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError, psutil.Error):
            await self._task

    async def _watch(self):
        while True:
            memory_bytes = self._process.memory_info().rss
            self.max_memory_bytes = max(self.max_memory_bytes, memory_bytes)
            descriptors = self._process.num_fds()
            self.max_descriptors = max(self.max_descriptors, descriptors)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class SlowCallers:
    """Callers that send the start of a request, and then a piece now and then.

    They end when the context is left; a caller whose connection is closed ends before.

    Parameters
    ----------
    address : tuple of str and int
        Host and port.
    callers : int
        Number of connections.
    start : bytes
        What each sends at once.
    piece : bytes
        What each sends again and again; nothing if empty.
    interval_s : float
        Time in seconds between two pieces.

    Attributes
    ----------
    closed : int
        Number of connections that the other side has closed.
    received : bytearray
        What the callers have received.
    """

    def __init__(self, address, callers, start, piece=b"", interval_s=0.1):
        self._address = address
        self._callers = callers
        self._start = start
        self._piece = piece
        self._interval_s = interval_s
        self._tasks = []
        self.closed = 0
        self.received = bytearray()

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(self._call()) for _ in range(self._callers)]
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self):
        reader, writer = await asyncio.open_connection(*self._address)
        sending = asyncio.create_task(self._send(writer))
        try:
            while data := await reader.read(BLOCK_BYTES):
                self.received += data
            self.closed += 1
        except OSError:
            self.closed += 1
        finally:
            sending.cancel()
            writer.close()

    async def _send(self, writer):
        writer.write(self._start)
        while self._piece:
            await asyncio.sleep(self._interval_s)
            writer.write(self._piece)


async def pipeline_without_reading(address, request, callers, bytes_each, limit_s):
    """Send a request repeatedly on several connections, and read no response.

    Each caller ends when it has sent its bytes or its connection is closed, and all of
    them when the time is over.

    Parameters
    ----------
    address : tuple of str and int
        Host and port.
    request : bytes
        One encoded request.
    callers, bytes_each : int
        Number of connections, and bytes that each of them sends.
    limit_s : float
        Time in seconds after which all connections are closed.
    """
    sockets = [socket.socket() for _ in range(callers)]
    block = request * (BLOCK_BYTES // len(request))
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await asyncio.gather(
                    *(_send(sock, address, block, bytes_each) for sock in sockets)
                )
    finally:
        for sock in sockets:
            sock.close()


async def _send(sock, address, block, size_bytes):
    loop = asyncio.get_running_loop()
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        await loop.sock_connect(sock, address)
        for _ in range(size_bytes // len(block)):
            await loop.sock_sendall(sock, block)
