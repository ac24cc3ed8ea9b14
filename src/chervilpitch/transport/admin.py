"""HTTP server for operators' pages."""

import json
from collections.abc import Callable, Mapping

from cheroot import wsgi

__all__ = ["AdminApplication", "json_page", "build_admin_server"]

THREAD_COUNT = 2


class AdminApplication:
    """WSGI application that serves pages by path.

    Parameters
    ----------
    pages : mapping of str to callable
        Path of each page and a function that returns its content type and body.
    """

    def __init__(self, pages: Mapping[str, Callable[[], tuple[str, bytes]]]):
        self._pages = pages

    def __call__(self, environ, start_response):
        """Serve one request."""
        page = self._pages.get(environ["PATH_INFO"])
        if page is None:
            start_response("404 Not Found", [("Content-Length", "0")])
            return []
        content_type, body = page()
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]


def build_admin_server(address: str, application: AdminApplication) -> wsgi.Server:
    """Return a WSGI server that is not listening yet.

    Parameters
    ----------
    address : str
        Host and port to listen on.
    application : AdminApplication
        Application that serves the pages.

    Returns
    -------
    cheroot.wsgi.Server
        The server.
    """
    host, _, port = address.rpartition(":")
    return wsgi.Server(
        (host.strip("[]"), int(port)), application, numthreads=THREAD_COUNT
    )


def json_page(value: object) -> tuple[str, bytes]:
    """Return the content type and the body of a JSON page.

    Parameters
    ----------
    value : object
        Value that ``json.dumps`` accepts.

    Returns
    -------
    tuple of str and bytes
        The content type and the encoded value.
    """
    return "application/json", json.dumps(value).encode()
