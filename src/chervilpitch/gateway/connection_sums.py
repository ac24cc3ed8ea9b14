"""Limits on sums over the connections of a process, derived from its memory."""

import resource
import sys
from typing import NamedTuple

from .buffers import BufferLimit

__all__ = ["ConnectionSums", "ResponseSums", "connection_sums", "response_sums"]

BYTES_PER_MB = 1_000_000
RECEIVED_SHARE = 0.2
"""Share of the memory for bodies of responses that are being received."""
UNSENT_SHARE = 0.15
"""Share for responses that callers have not accepted. Above it requests are refused,
while responses that were in progress still fit into the sum of both shares."""
UNPARSED_SHARE = 0.05
CONNECTION_SHARE = 0.1
BYTES_PER_CONNECTION = 16_384
"""Objects of a connection, and a header that is not complete."""
DESCRIPTOR_SHARE = 0.5
"""The other half is for connections to upstreams, which callers cause to be opened."""


class ResponseSums(NamedTuple):
    """Limits of the bytes of responses.

    Parameters
    ----------
    received : BufferLimit
        Bodies that are being received from upstreams.
    unsent : BufferLimit
        Responses that callers have not accepted yet.
    """

    received: BufferLimit
    unsent: BufferLimit


class ConnectionSums(NamedTuple):
    """Limits over all connections of one server.

    Parameters
    ----------
    unsent, unparsed : BufferLimit
        Bytes of responses that callers have not accepted, and bytes that were read
        and not parsed yet.
    max_connections : int
        Largest number of open connections.
    """

    unsent: BufferLimit
    unparsed: BufferLimit
    max_connections: int


def response_sums(memory_mb: float) -> ResponseSums:
    """Return the limits of the bytes of responses for an instance's memory."""
    memory_bytes = memory_mb * BYTES_PER_MB
    total = BufferLimit(int(memory_bytes * (RECEIVED_SHARE + UNSENT_SHARE)))
    return ResponseSums(
        BufferLimit(int(memory_bytes * RECEIVED_SHARE), total),
        BufferLimit(int(memory_bytes * UNSENT_SHARE), total),
    )


def connection_sums(memory_mb: float, unsent: BufferLimit) -> ConnectionSums:
    """Return the limits of a server whose connections may use an amount of memory.

    Parameters
    ----------
    memory_mb : float
        Memory in MB that the shares are taken of.
    unsent : BufferLimit
        Limit of the responses that callers have not accepted.
    """
    memory_bytes = memory_mb * BYTES_PER_MB
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = sys.maxsize
    return ConnectionSums(
        unsent,
        BufferLimit(int(memory_bytes * UNPARSED_SHARE)),
        min(
            int(memory_bytes * CONNECTION_SHARE / BYTES_PER_CONNECTION),
            int(descriptors * DESCRIPTOR_SHARE),
        ),
    )
