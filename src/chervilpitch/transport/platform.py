"""Client of the users' configuration service: reads and watches only."""

from typing import NamedTuple

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from chervilpitch.errors import PlatformError

__all__ = ["PlatformClient", "PlatformValue"]

MAX_VALUE_BYTES = 1_048_576
MARGIN_S = 2.0


class PlatformValue(NamedTuple):
    """A value of the configuration service.

    Parameters
    ----------
    name : str
        Name of the value.
    version : str
        Version for the next watch; empty when there is no such value.
    content : bytes or None
        The value, ``None`` when there is none.
    """

    name: str
    version: str
    content: bytes | None


class PlatformClient:
    """Reader of one configuration service.

    Parameters
    ----------
    endpoint : str
        Host and port.
    read_timeout_s : float
        Seconds to wait for an answer that is not a watch.
    """

    def __init__(self, endpoint: str, read_timeout_s: float):
        host, _, port = endpoint.rpartition(":")
        self._read_timeout_s = read_timeout_s
        self._pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=4, block=True)
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls made so far; a watch counts as one."""
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
            Version known.
        wait_s : float, optional
            Seconds to wait for another version.

        Returns
        -------
        Result
            The value, or why it could not be read.
        """
        self._calls += 1
        fields = {"after": after, "wait": f"{wait_s:g}"} if wait_s else {}
        try:
            response = self._pool.request(
                "GET",
                f"/values/{name}",
                fields=fields,
                retries=False,
                timeout=self._read_timeout_s + wait_s + (MARGIN_S if wait_s else 0),
                preload_content=False,
            )
            return self._value(name, response)
        except (HTTPError, OSError) as error:
            return Err(PlatformError(type(error).__name__))

    def _value(self, name, response):
        content = response.read(MAX_VALUE_BYTES + 1)
        if len(content) > MAX_VALUE_BYTES:
            response.close()
            return Err(PlatformError("a value is larger than the limit"))
        response.release_conn()
        if response.status == 404:
            return Ok(PlatformValue(name, "", None))
        if response.status != 200:
            return Err(PlatformError("the service answered with an error"))
        return Ok(PlatformValue(name, response.headers.get("X-Version", ""), content))
