"""HTTP client that acts as a caller: asks for addresses and sends requests."""

import json
from typing import NamedTuple

import urllib3

__all__ = ["CallerClient", "Response"]

REQUEST_TIMEOUT_S = 10.0


class Response(NamedTuple):
    """HTTP response to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : mapping
        Header fields.
    body : bytes
        Complete body.
    """

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes

    @property
    def refusal(self):
        """Type of the refusal, ``None`` for a response of an upstream."""
        return self.headers.get("Chervilpitch-Refusal")

    @property
    def run(self):
        """Whether the refused request was run, as the refusal states it."""
        return self.headers.get("Chervilpitch-Run")


class CallerClient:
    """A caller with one API key.

    Parameters
    ----------
    key : str
        API key, sent as a bearer token; empty sends none.
    """

    def __init__(self, key):
        self._key = key
        self._pool = urllib3.PoolManager(retries=False)

    def fetch_addresses(self, address, path="", near=""):
        """Return the addresses that an instance offers, as decoded JSON."""
        response = self._request(
            "GET",
            f"http://{address}/.chervilpitch/addresses",
            fields={"path": path, "near": near},
        )
        return json.loads(response.body)

    def send(self, address, path, method="GET", body=None, ticket="", headers=()):
        """Send one request without following redirects and return the response."""
        fields = dict(headers)
        if ticket:
            fields["Chervilpitch-Ticket"] = ticket
        return self._request(
            method, f"http://{address}{path}", body=body, headers=fields
        )

    def _request(self, method, url, headers=(), **options):
        fields = {"Authorization": f"Bearer {self._key}"} if self._key else {}
        response = self._pool.request(
            method,
            url,
            headers={**fields, **dict(headers)},
            timeout=REQUEST_TIMEOUT_S,
            redirect=False,
            **options,
        )
        return Response(response.status, response.headers, response.data)
