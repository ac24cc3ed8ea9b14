"""A stand-in for the configuration service: read and watch, never write.

Values are files of one directory. ``GET /values/NAME`` answers the value with
its version in ``X-Version``; ``?after=VERSION&wait=SECONDS`` waits until the
version differs. ``GET /calls`` tells how many calls came. The file ``.mode`` in
the directory makes it fail: ``absent`` answers nothing but errors,
``notes-absent`` has the list only, ``slow`` waits two seconds, ``stale`` goes on
answering what it saw before.
"""

import argparse
import hashlib
import pathlib
import threading
import time
from urllib.parse import parse_qs

from cheroot import wsgi

__all__ = ["FakePlatform", "main"]

POLL_S = 0.02
SLOW_S = 2.0
MAX_WAIT_S = 30.0


class StandInClosedError(Exception):
    """Raised to make the server drop a connection without an answer."""


class FakePlatform:
    """WSGI application over a directory of values.

    Parameters
    ----------
    directory : pathlib.Path
        Directory that holds one file for each value.
    """

    def __init__(self, directory):
        self._directory = directory
        self._calls = 0
        self._lock = threading.Lock()
        self._remembered = {}

    @property
    def calls(self):
        """Number of calls so far; a waiting watch counts as one."""
        return self._calls

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/calls":
            return self._answer(start_response, str(self._calls).encode(), "0")
        with self._lock:
            self._calls += 1
        mode = self._mode()
        if mode == "absent" or (mode == "notes-absent" and "/notes/" in path):
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return []
        if mode == "slow":
            time.sleep(SLOW_S)
        name = path.removeprefix("/values/")
        return self._value(start_response, name, parse_qs(environ["QUERY_STRING"]))

    def _value(self, start_response, name, query):
        after = query.get("after", [""])[0]
        wait_s = min(float(query.get("wait", ["0"])[0]), MAX_WAIT_S)
        wait_until_s = time.monotonic() + wait_s
        value = self._read(name)
        while after and _version(value) == after and time.monotonic() < wait_until_s:
            time.sleep(POLL_S)
            value = self._read(name)
        if value is None:
            start_response("404 Not Found", [("Content-Length", "0")])
            return []
        return self._answer(start_response, value, _version(value))

    def _read(self, name):
        if self._mode() == "stale" and name in self._remembered:
            return self._remembered[name]
        path = self._directory / name
        if ".." in name or not path.is_file():
            return None
        self._remembered[name] = path.read_bytes()
        return self._remembered[name]

    def _mode(self):
        path = self._directory / ".mode"
        return path.read_text().strip() if path.exists() else "well"

    @staticmethod
    def _answer(start_response, value, version):
        headers = [("Content-Length", str(len(value))), ("X-Version", version)]
        start_response("200 OK", headers)
        return [value]


def _version(value):
    if value is None:
        return "absent"
    return hashlib.sha256(value).hexdigest()[:16]


def main():
    """Run the stand-in until it is ended."""
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
