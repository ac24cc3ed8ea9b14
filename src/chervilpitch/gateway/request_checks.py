"""Checks of a request's header against the limits in force."""

from http import HTTPStatus

import h11

from chervilpitch.model import CallerLimits

__all__ = ["rejection_of"]

UNSERVED_METHOD = b"CONNECT"


def rejection_of(head: h11.Request, limits: CallerLimits) -> HTTPStatus | None:
    """Return the status that a request is rejected with, None if it may go on.

    Parameters
    ----------
    head : h11.Request
        Its header.
    limits : CallerLimits
        The limits in force.
    """
    if head.method == UNSERVED_METHOD:
        return HTTPStatus.NOT_IMPLEMENTED
    if _header_size(head) > limits.max_header_bytes:
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    length = dict(head.headers).get(b"content-length", b"0")
    if int(length) > limits.max_body_bytes:
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return None


def _header_size(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) for name, value in head.headers)
    return len(head.method) + len(head.target) + fields
