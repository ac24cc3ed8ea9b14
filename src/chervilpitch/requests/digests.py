"""Digest of a request; it binds a ticket to the first request that uses it."""

import hashlib

__all__ = ["request_digest"]


def request_digest(method: str, target: str, body_digest: bytes) -> str:
    """Return the digest of a request.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query as received.
    body_digest : bytes
        SHA-256 digest of the whole body.

    Returns
    -------
    str
        Hexadecimal SHA-256 digest; different requests have different digests.

    Notes
    -----
    Each field is prefixed with its length, so that different requests never have
    the same encoding.

    Examples
    --------
    >>> body = b"32 bytes that stand for a digest"
    >>> request_digest("POST", "/a", body) == request_digest("POST", "/b", body)
    False
    """
    digest = hashlib.sha256()
    for field in (method.encode(), target.encode(), body_digest):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
