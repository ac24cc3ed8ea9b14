"""Forward requests from cheroot to urllib3 without filters, as a baseline."""

import argparse

import urllib3
from cheroot import wsgi

__all__ = ["BareHop", "main"]


class BareHop:
    """WSGI application that forwards every request to one upstream.

    Parameters
    ----------
    upstream : str
        Host and port of the upstream.
    """

    def __init__(self, upstream):
        host, _, port = upstream.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=32, block=True)

    def __call__(self, environ, start_response):
        response = self._pool.urlopen(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], retries=False
        )
        length = ("Content-Length", str(len(response.data)))
        start_response(f"{response.status} OK", [length])
        return [response.data]


def main():
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="host:port")
    parser.add_argument("--upstream", required=True, help="host:port")
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    hop = BareHop(arguments.upstream)
    wsgi.Server((host, int(port)), hop, numthreads=32).safe_start()


if __name__ == "__main__":
    main()
