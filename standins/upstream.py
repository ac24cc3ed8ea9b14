"""Stand-in for an upstream with gray failures.

It runs a request, records its identifier and responds with a body that names the
request. Faults are read from a file that may be replaced at any time, one per line:
``slow SECONDS``, ``stall``, ``half``, ``cut BYTES`` (of the response's head),
``error SHARE``, ``shed``, ``drain``, ``crash-after-run``. ``GET /ran`` lists all
requests that were run; ``GET /health`` succeeds whatever the faults are.
"""

import argparse
import json
import pathlib
import random
import threading
import time

from cheroot import wsgi

__all__ = ["FakeUpstream", "main", "parse_faults"]

STALL_DELAY_S = 30.0
CHUNK_BYTES = 65_536
HTTP_REQUEST = "standin.request"
"""Name in the WSGI environment of the server's request."""


class ConnectionCutError(Exception):
    """Raised in the middle of a response to close the connection."""


class RequestGateway(wsgi.Gateway_10):
    """WSGI gateway whose environment also holds the server's request."""

    def get_environ(self):
        """Return the WSGI environment."""
        return super().get_environ() | {HTTP_REQUEST: self.req}


def parse_faults(text):
    """Return the faults in a text as a mapping from name to number.

    Examples
    --------
    >>> parse_faults("slow 0.5")
    {'slow': 0.5}
    """
    rows = (line.split() for line in text.splitlines() if line.strip())
    return {fields[0]: float(fields[1]) if len(fields) > 1 else 1.0 for fields in rows}


class FakeUpstream:
    """WSGI application that runs requests and injects faults.

    Parameters
    ----------
    name : str
        Name given in responses.
    slots : int
        Number of requests run at once; further ones are shed.
    faults : pathlib.Path
        File of faults; none are injected while it does not exist.
    service_s : float
        Time that one request takes, in seconds.
    seed : int
        Seed of the random choice of failing requests.
    """

    def __init__(self, name, slots, faults, service_s=0.0, seed=1):
        self._name = name
        self._slots = threading.BoundedSemaphore(slots)
        self._faults = faults
        self._service_s = service_s
        self._random = random.Random(seed)
        self._executed_request_ids = []
        self._requests_with_key = 0

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/health":
            return _respond(start_response, "200 OK", b"well")
        if path == "/ran":
            report = {
                "ran": self._executed_request_ids,
                "keys_seen": self._requests_with_key,
            }
            return _respond(start_response, "200 OK", json.dumps(report).encode())
        faults = self._current_faults()
        if "shed" in faults or not self._slots.acquire(blocking=False):
            return _respond(
                start_response, "503 Service Unavailable", b"", [("X-Shed", "not-run")]
            )
        try:
            return self._run(environ, start_response, faults)
        finally:
            self._slots.release()

    def _run(self, environ, start_response, faults):
        length = _count_body_bytes(environ["wsgi.input"])
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        self._requests_with_key += "HTTP_AUTHORIZATION" in environ
        self._executed_request_ids.append(request_id)
        time.sleep(self._service_s + faults.get("slow", 0.0))
        if "stall" in faults:
            time.sleep(STALL_DELAY_S)
        if self._random.random() < faults.get("error", 0.0):
            return _respond(start_response, "500 Internal Server Error", b"failed")
        report = {
            "upstream": self._name,
            "request": request_id,
            "path": environ["PATH_INFO"],
            "received": length,
        }
        body = json.dumps(report).encode()
        wanted_bytes = int(environ.get("HTTP_X_ANSWER_BYTES", "0"))
        body += b" " * max(0, wanted_bytes - len(body))
        headers = [("X-Draining", "yes")] if "drain" in faults else []
        if "cut" in faults:
            _cut_head(environ[HTTP_REQUEST], body, int(faults["cut"]))
        if "half" in faults:
            return _truncated_response(start_response, body)
        return _respond(start_response, "200 OK", body, headers)

    def _current_faults(self):
        if self._faults is None or not self._faults.exists():
            return {}
        return parse_faults(self._faults.read_text())


def _respond(start_response, status, body, headers=()):
    standard = [
        ("Content-Length", str(len(body))),
        ("Content-Type", "application/json"),
    ]
    start_response(status, standard + list(headers))
    return [body]


def _truncated_response(start_response, body):
    start_response("200 OK", [("Content-Length", str(len(body)))])
    yield body[: len(body) // 2]
    raise ConnectionCutError


def _cut_head(request, body, sent_bytes):
    """Send the start of the head of a response and close the connection."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
    request.conn.wfile.write((head % len(body))[:sent_bytes])
    request.sent_headers = True
    raise ConnectionCutError


def _count_body_bytes(stream):
    length = 0
    while chunk := stream.read(CHUNK_BYTES):
        length += len(chunk)
    return length


def main():
    """Run the stand-in until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="host:port")
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--service-s", type=float, default=0.0)
    parser.add_argument("--faults", type=pathlib.Path)
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    application = FakeUpstream(
        arguments.name, arguments.slots, arguments.faults, arguments.service_s
    )
    server = wsgi.Server((host, int(port)), application, numthreads=32)
    server.gateway = RequestGateway
    server.safe_start()


if __name__ == "__main__":
    main()
