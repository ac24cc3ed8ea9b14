"""The settings file of an instance, and whether it has changed since it was read."""

import hashlib
import pathlib

from result import Result

from chervilpitch.ini import SettingsProblem

from .settings import GatewaySettings, load_gateway

__all__ = ["SettingsFile", "digest_of_file"]

DIGEST_BYTES = 6
NO_DIGEST = "unreadable"


class SettingsFile:
    """Settings file with the digest of the content in force.

    Parameters
    ----------
    path : str
        Path of the INI file.
    """

    def __init__(self, path: str):
        self._path = path
        self._digest = digest_of_file(path)

    @property
    def digest(self) -> str:
        """Digest of the content in force."""
        return self._digest

    @property
    def digest_on_disk(self) -> str:
        """Digest of the content now; differs if a change was not read."""
        return digest_of_file(self._path)

    def load(self) -> Result[GatewaySettings, tuple[SettingsProblem, ...]]:
        """Read and validate the file; it is then in force if it is valid."""
        digest = digest_of_file(self._path)
        loaded = load_gateway(self._path)
        if loaded.is_ok():
            self._digest = digest
        return loaded


def digest_of_file(path: str) -> str:
    """Return a short digest of a file's content."""
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError:
        return NO_DIGEST
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
