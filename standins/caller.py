"""A stand-in for a caller: asks for addresses and sends requests."""

import json
from typing import NamedTuple

import urllib3

__all__ = ["CallerClient", "Reply"]

TIMEOUT_S = 10.0


class Reply(NamedTuple):
    """What a caller got.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : mapping
        Header fields.
    body : bytes
        Whole body.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes

    @property
    def refusal(self):
        """Kind of the refusal, ``None`` for an upstream's answer."""
        return self.headers.get("Chervilpitch-Refusal")

    @property
    def run(self):
        """What a refusal says about the request's run."""
        return self.headers.get("Chervilpitch-Run")


class CallerClient:
    """A caller with one key.

    Parameters
    ----------
    key : str
        The key.
    """

    def __init__(self, key):
        self._key = key
        self._pool = urllib3.PoolManager(retries=False)

    def addresses(self, entry, path="", near=""):
        """Ask an instance which addresses to use and return its answer."""
        reply = self._request(
            "GET",
            f"http://{entry}/.chervilpitch/addresses",
            fields={"path": path, "near": near},
        )
        return json.loads(reply.body)

    def send(self, address, path, method="GET", body=None, ticket="", headers=()):
        """Send one request and return the reply."""
        more = dict(headers)
        if ticket:
            more["Chervilpitch-Ticket"] = ticket
        return self._request(method, f"http://{address}{path}", body=body, headers=more)

    def _request(self, method, url, headers=(), **options):
        fields = {"Authorization": f"Bearer {self._key}"} if self._key else {}
        response = self._pool.request(
            method,
            url,
            headers={**fields, **dict(headers)},
            timeout=TIMEOUT_S,
            redirect=False,
            **options,
        )
        return Reply(response.status, response.headers, response.data)
