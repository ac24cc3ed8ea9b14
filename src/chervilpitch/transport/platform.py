"""Read-only client of the users' configuration service."""

from typing import NamedTuple

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from chervilpitch.errors import PlatformError

__all__ = ["PlatformClient", "PlatformValue"]

MAX_VALUE_BYTES = 1_048_576
WATCH_TIMEOUT_MARGIN_S = 2.0


class PlatformValue(NamedTuple):
    """A value of the configuration service.

    Parameters
    ----------
    name : str
        Name of the value.
    version : str
        Version to pass to the next watch; empty if the value does not exist.
    content : bytes or None
        The value, ``None`` if it does not exist.
    """

    name: str
    version: str
    content: bytes | None


class PlatformClient:
    """Client that reads and watches the values of one configuration service.

    Parameters
    ----------
    endpoint : str
        Host and port of the service.
    read_timeout_s : float
        Timeout in seconds of a read; a watch adds its own waiting time.
    """

    def __init__(self, endpoint: str, read_timeout_s: float):
        host, _, port = endpoint.rpartition(":")
        self._read_timeout_s = read_timeout_s
        self._pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=4, block=True)
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls so far; a watch counts as one."""
        return self._calls

    def read(
        self, name: str, after: str = "", wait_s: float = 0.0
    ) -> Result[PlatformValue, PlatformError]:
        """Read a value, or wait until it differs from a known version.

        Parameters
        ----------
        name : str
            Name of the value.
        after : str, optional
            Known version.
        wait_s : float, optional
            Longest time in seconds to wait for another version.

        Returns
        -------
        Result
            The value, or the error if it could not be read.
        """
        self._calls += 1
        fields = {"after": after, "wait": f"{wait_s:g}"} if wait_s else {}
        try:
            response = self._pool.request(
                "GET",
                f"/values/{name}",
                fields=fields,
                retries=False,
                timeout=self._read_timeout_s
                + wait_s
                + (WATCH_TIMEOUT_MARGIN_S if wait_s else 0),
                preload_content=False,
            )
            return self._parse_response(name, response)
        except (HTTPError, OSError) as error:
            return Err(PlatformError(type(error).__name__))

    def _parse_response(self, name, response):
        content = response.read(MAX_VALUE_BYTES + 1)
        if len(content) > MAX_VALUE_BYTES:
            response.close()
            return Err(PlatformError("the value is larger than the limit"))
        response.release_conn()
        if response.status == 404:
            return Ok(PlatformValue(name, "", None))
        if response.status != 200:
            return Err(
                PlatformError(
                    "the configuration service returned an unexpected HTTP status"
                )
            )
        return Ok(PlatformValue(name, response.headers.get("X-Version", ""), content))
