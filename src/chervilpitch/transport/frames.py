"""Frames of the channel between instances: length, HMAC-SHA256 code, payload."""

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
MAC_BYTES = hashlib.sha256().digest_size
LENGTH_FIELD = struct.Struct(">I")
HEADER_BYTES = LENGTH_FIELD.size + MAC_BYTES


def encode_frame(secret: bytes, payload: bytes) -> bytes:
    """Encode a payload as a frame.

    Parameters
    ----------
    secret : bytes
        Secret shared by all instances.
    payload : bytes
        Encoded envelope, at most ``MAX_PAYLOAD_BYTES`` bytes.

    Returns
    -------
    bytes
        Length, authentication code and payload.

    Raises
    ------
    FrameError
        The payload is larger than ``MAX_PAYLOAD_BYTES``.

    Examples
    --------
    >>> frame = encode_frame(b"secret", b"payload")
    >>> verify_payload(b"secret", frame[:HEADER_BYTES], frame[HEADER_BYTES:])
    Ok(b'payload')
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise FrameError("the payload is larger than the limit for a frame")
    return LENGTH_FIELD.pack(len(payload)) + _mac(secret, payload) + payload


def payload_length(header: bytes) -> Result[int, FrameError]:
    """Return the length of the payload that follows a header.

    Parameters
    ----------
    header : bytes
        ``HEADER_BYTES`` bytes.

    Returns
    -------
    Result
        The length in bytes, or an error if it exceeds ``MAX_PAYLOAD_BYTES``.
    """
    (length,) = LENGTH_FIELD.unpack_from(header)
    if length > MAX_PAYLOAD_BYTES:
        return Err(
            FrameError("the payload length in the frame header exceeds the limit")
        )
    return Ok(length)


def verify_payload(
    secret: bytes, header: bytes, payload: bytes
) -> Result[bytes, FrameError]:
    """Verify the authentication code of a payload.

    Parameters
    ----------
    secret : bytes
        Secret shared by all instances.
    header : bytes
        Header of the frame.
    payload : bytes
        The payload that follows the header.

    Returns
    -------
    Result
        The payload, or an error if the code does not match.
    """
    expected = _mac(secret, payload)
    if not hmac.compare_digest(header[LENGTH_FIELD.size :], expected):
        return Err(FrameError("the authentication code of the frame does not match"))
    return Ok(payload)


def _mac(secret, payload):
    return hmac.digest(secret, payload, "sha256")
