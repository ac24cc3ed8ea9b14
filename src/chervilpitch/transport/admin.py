"""HTTP server towards operators."""

import json
from collections.abc import Callable, Mapping

from cheroot import wsgi

__all__ = ["AdminApplication", "json_page", "build_admin_server"]

THREADS = 2


class AdminApplication:
    """Serves pages by path.

    Parameters
    ----------
    pages : mapping of str to callable
        Functions that return the content type and the body of a page.
    """

    def __init__(self, pages: Mapping[str, Callable[[], tuple[str, bytes]]]):
        self._pages = pages

    def __call__(self, environ, start_response):
        """Answer one request."""
        page = self._pages.get(environ["PATH_INFO"])
        if page is None:
            start_response("404 Not Found", [("Content-Length", "0")])
            return []
        kind, body = page()
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]


def build_admin_server(address: str, application: AdminApplication) -> wsgi.Server:
    """Return a server that is not yet listening.

    Parameters
    ----------
    address : str
        Host and port to listen on.
    application : AdminApplication
        The pages.

    Returns
    -------
    cheroot.wsgi.Server
        The server.
    """
    host, _, port = address.rpartition(":")
    return wsgi.Server((host.strip("[]"), int(port)), application, numthreads=THREADS)


def json_page(value: object) -> tuple[str, bytes]:
    """Return the content type and the body of a JSON page.

    Parameters
    ----------
    value : object
        What to show.

    Returns
    -------
    tuple of str and bytes
        Content type and body.
    """
    return "application/json", json.dumps(value).encode()
