"""Stand-in for the configuration service, with reads and watches but no writes.

Values are files of one directory. ``GET /values/NAME`` returns the value, with
its version in ``X-Version``; ``?after=VERSION&wait=SECONDS`` waits until the
version differs. ``GET /calls`` returns the number of calls so far. The file
``.mode`` in the directory selects a failure: with ``absent`` every call fails with
503, with ``notes-absent`` only calls for release notes do, ``slow`` delays each
response by two seconds, and ``stale`` keeps returning the values read before.
"""

import argparse
import hashlib
import pathlib
import threading
import time
from urllib.parse import parse_qs

from cheroot import wsgi

__all__ = ["FakePlatform", "main"]

POLL_INTERVAL_S = 0.02
SLOW_MODE_DELAY_S = 2.0
MAX_WAIT_S = 30.0


class StandInClosedError(Exception):
    """Raised to make the server drop a connection without a response."""


class FakePlatform:
    """WSGI application that serves a directory of values.

    Parameters
    ----------
    directory : pathlib.Path
        Directory that holds one file per value.
    """

    def __init__(self, directory):
        self._directory = directory
        self._calls = 0
        self._lock = threading.Lock()
        self._last_values = {}

    @property
    def calls(self):
        """Number of calls so far; a watch counts once however long it waits."""
        return self._calls

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/calls":
            return self._respond(start_response, str(self._calls).encode(), "0")
        with self._lock:
            self._calls += 1
        mode = self._read_mode()
        if mode == "absent" or (mode == "notes-absent" and "/notes/" in path):
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return []
        if mode == "slow":
            time.sleep(SLOW_MODE_DELAY_S)
        name = path.removeprefix("/values/")
        return self._serve_value(
            start_response, name, parse_qs(environ["QUERY_STRING"])
        )

    def _serve_value(self, start_response, name, query):
        after = query.get("after", [""])[0]
        wait_s = min(float(query.get("wait", ["0"])[0]), MAX_WAIT_S)
        deadline_s = time.monotonic() + wait_s
        value = self._read(name)
        while after and _version(value) == after and time.monotonic() < deadline_s:
            time.sleep(POLL_INTERVAL_S)
            value = self._read(name)
        if value is None:
            start_response("404 Not Found", [("Content-Length", "0")])
            return []
        return self._respond(start_response, value, _version(value))

    def _read(self, name):
        if self._read_mode() == "stale" and name in self._last_values:
            return self._last_values[name]
        path = self._directory / name
        if ".." in name or not path.is_file():
            return None
        self._last_values[name] = path.read_bytes()
        return self._last_values[name]

    def _read_mode(self):
        path = self._directory / ".mode"
        return path.read_text().strip() if path.exists() else "well"

    @staticmethod
    def _respond(start_response, value, version):
        headers = [("Content-Length", str(len(value))), ("X-Version", version)]
        start_response("200 OK", headers)
        return [value]


def _version(value):
    if value is None:
        return "absent"
    return hashlib.sha256(value).hexdigest()[:16]


def main():
    """Run the stand-in until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="host:port")
    parser.add_argument("--directory", required=True, type=pathlib.Path)
    parser.add_argument("--threads", type=int, default=64)
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    application = FakePlatform(arguments.directory)
    server = wsgi.Server((host, int(port)), application, numthreads=arguments.threads)
    server.safe_start()


if __name__ == "__main__":
    main()
