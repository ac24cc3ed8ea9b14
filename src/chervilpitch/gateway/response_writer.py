"""Responses written as fast as a caller accepts them."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from .buffers import BufferLimit

__all__ = ["ResponseWriter"]

HIGH_WATER_BYTES = 16_384
"""Unsent bytes in the transport, above which nothing more is written."""
LOW_WATER_BYTES = 4_096
"""Unsent bytes in the transport, below which writing goes on."""
SLICE_BYTES = 65_536
"""Bytes handed to the transport at a time, as it copies what it can't send at once."""
MAX_SLICES_PER_TURN = 16
MAX_UNSENT_IN_SYSTEM_BYTES = 131_072
"""Bytes that the system keeps unsent for a connection. Without this limit it takes some
megabytes from a caller that reads nothing before the transport shows it."""


class ResponseWriter:
    """Responses of one connection, which wait for its transport.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    unsent : BufferLimit
        Unsent bytes of all connections.
    clock : callable
        Returns monotonic seconds.
    on_writable : callable
        Called without arguments when a response that had to wait has been accepted.
    """

    def __init__(
        self,
        transport,
        unsent: BufferLimit,
        clock: Callable[[], float],
        on_writable: Callable[[], None],
    ):
        transport.set_write_buffer_limits(HIGH_WATER_BYTES, LOW_WATER_BYTES)
        self._transport = transport
        self._unsent = unsent
        self._clock = clock
        self._on_writable = on_writable
        self._pending: deque[memoryview] = deque()
        self._pending_bytes = 0
        self._counted_bytes = 0
        self._written_bytes = 0
        self._accepted_bytes = 0
        self._accepted_at_s = clock()
        self._is_paused = False
        self._is_waiting = False
        self._is_pump_scheduled = False
        _limit_unsent(transport)

    @property
    def is_blocked(self) -> bool:
        """Whether a response waits for the caller to accept more bytes."""
        return self._is_paused or bool(self._pending)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are written and not yet accepted by the system."""
        return self._pending_bytes + self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Write bytes at once, or as soon as the caller accepts them."""
        if not self.unsent_bytes:
            self._accepted_at_s = self._clock()
        self._written_bytes += len(data)
        if len(data) <= SLICE_BYTES and not self.is_blocked:
            self._transport.write(data)
        else:
            self._pending.append(memoryview(data))
            self._pending_bytes += len(data)
            self._pump()
        self._is_waiting = self.is_blocked
        self._count()

    def pause(self) -> None:
        """Write nothing more, as the transport is above its high watermark."""
        self._is_paused = True

    def resume(self) -> None:
        """Write on, as the transport is below its low watermark."""
        self._is_paused = False
        self._write_on()

    def stalled_s(self, now_s: float) -> float:
        """Return for how long the caller has accepted none of the unsent bytes.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self._count()
        accepted_bytes = self._written_bytes - self.unsent_bytes
        if accepted_bytes > self._accepted_bytes or not self.unsent_bytes:
            self._accepted_bytes = accepted_bytes
            self._accepted_at_s = now_s
        return now_s - self._accepted_at_s

    def discard(self) -> None:
        """Forget what is unsent, as the connection is closed."""
        self._pending.clear()
        self._pending_bytes = 0
        self._is_waiting = False
        self._unsent.release(self._counted_bytes)
        self._counted_bytes = 0

    def _write_on(self):
        self._is_pump_scheduled = False
        self._pump()
        self._count()
        if self._is_waiting and not self.is_blocked:
            self._is_waiting = False
            self._on_writable()

    def _pump(self):
        """Hand slices to the transport; let other tasks run after a number of them."""
        slices = 0
        while self._pending and not self._is_paused:
            if slices == MAX_SLICES_PER_TURN:
                self._schedule_pump()
                return
            self._write_slice()
            slices += 1

    def _write_slice(self):
        data = self._pending.popleft()
        if len(data) > SLICE_BYTES:
            self._pending.appendleft(data[SLICE_BYTES:])
        piece = data[:SLICE_BYTES]
        self._pending_bytes -= len(piece)
        self._transport.write(piece)

    def _schedule_pump(self):
        if not self._is_pump_scheduled:
            self._is_pump_scheduled = True
            asyncio.get_running_loop().call_soon(self._write_on)

    def _count(self):
        """Update what this connection adds to the unsent bytes of all."""
        unsent_bytes = self.unsent_bytes
        self._unsent.release(self._counted_bytes)
        self._unsent.add(unsent_bytes)
        self._counted_bytes = unsent_bytes


def _limit_unsent(transport):
    sock = transport.get_extra_info("socket")
    option = socket.TCP_NOTSENT_LOWAT
    sock.setsockopt(socket.IPPROTO_TCP, option, MAX_UNSENT_IN_SYSTEM_BYTES)
