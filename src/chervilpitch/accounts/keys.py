"""Presented keys, whose text is never output, and their digests."""

import hashlib

__all__ = ["PresentedKey", "digest_of"]


class PresentedKey:
    """A key as a caller sent it, omitted from every string representation.

    Parameters
    ----------
    text : str
        The key.

    Examples
    --------
    >>> PresentedKey("k-123")
    PresentedKey(...)
    >>> f"{PresentedKey('k-123')}"
    'PresentedKey(...)'
    """

    __slots__ = ("_text",)

    def __init__(self, text: str):
        self._text = text

    def __repr__(self) -> str:
        return "PresentedKey(...)"

    def __reduce__(self):
        raise TypeError("a presented key is a secret and cannot be pickled")

    def __len__(self) -> int:
        return len(self._text)

    @property
    def is_ascii(self) -> bool:
        """Whether the key holds printable ASCII characters only."""
        return self._text.isascii() and self._text.isprintable()

    @property
    def digest(self) -> str:
        """Hexadecimal SHA-256 digest of the key."""
        return hashlib.sha256(self._text.encode()).hexdigest()


def digest_of(key: str) -> str:
    """Return the digest by which a key is declared and looked up.

    Parameters
    ----------
    key : str
        The key, a random string with at least 128 bits of entropy.

    Returns
    -------
    str
        Hexadecimal SHA-256 digest.

    Examples
    --------
    >>> digest_of("an example") == PresentedKey("an example").digest
    True
    """
    return PresentedKey(key).digest
