"""Frames of the peers' channel: length, authentication code, payload."""

import hashlib
import hmac
import struct

from result import Err, Ok, Result

from chervilpitch.errors import FrameError

__all__ = [
    "HEADER_BYTES",
    "MAX_PAYLOAD_BYTES",
    "verify_payload",
    "payload_length",
    "encode_frame",
]

MAX_PAYLOAD_BYTES = 2_097_152
CODE_BYTES = hashlib.sha256().digest_size
LENGTH = struct.Struct(">I")
HEADER_BYTES = LENGTH.size + CODE_BYTES


def encode_frame(secret: bytes, payload: bytes) -> bytes:
    """Return the frame of a payload.

    Parameters
    ----------
    secret : bytes
        Secret shared by the fleet.
    payload : bytes
        Encoded envelope.

    Returns
    -------
    bytes
        The frame.

    Raises
    ------
    FrameError
        The payload is larger than a frame may be.

    Examples
    --------
    >>> frame = encode_frame(b"secret", b"payload")
    >>> verify_payload(b"secret", frame[:HEADER_BYTES], frame[HEADER_BYTES:])
    Ok(b'payload')
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise FrameError("a payload is larger than a frame may be")
    return LENGTH.pack(len(payload)) + _code(secret, payload) + payload


def payload_length(header: bytes) -> Result[int, FrameError]:
    """Return how many bytes follow a header.

    Parameters
    ----------
    header : bytes
        ``HEADER_BYTES`` bytes.

    Returns
    -------
    Result
        The length in bytes, or an error for a length past the limit.
    """
    (length,) = LENGTH.unpack_from(header)
    if length > MAX_PAYLOAD_BYTES:
        return Err(FrameError("a frame is larger than the limit"))
    return Ok(length)


def verify_payload(
    secret: bytes, header: bytes, payload: bytes
) -> Result[bytes, FrameError]:
    """Check the authentication code of a payload.

    Parameters
    ----------
    secret : bytes
        Secret shared by the fleet.
    header : bytes
        Header of the frame.
    payload : bytes
        What followed it.

    Returns
    -------
    Result
        The payload, or an error when the code does not match.
    """
    expected = _code(secret, payload)
    if not hmac.compare_digest(header[LENGTH.size :], expected):
        return Err(FrameError("a frame is not authentic"))
    return Ok(payload)


def _code(secret, payload):
    return hmac.digest(secret, payload, "sha256")
