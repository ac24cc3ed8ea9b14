"""Exceptions of the package.

Decision code returns expected failures as typed values in a
:class:`result.Result`; exceptions are for failures of input and output and for
programming errors.
"""

__all__ = [
    "ChervilpitchError",
    "FrameError",
    "PeerError",
    "PlatformError",
    "SettingsError",
    "UpstreamError",
]


class ChervilpitchError(Exception):
    """Base class of every exception raised by this package."""


class SettingsError(ChervilpitchError):
    """The settings of an instance are invalid."""


class PlatformError(ChervilpitchError):
    """The configuration service could not be read."""


class PeerError(ChervilpitchError):
    """Another instance was not reachable or sent an invalid response."""


class FrameError(PeerError):
    """A frame on the peers' channel is malformed, oversized or not authentic."""


class UpstreamError(ChervilpitchError):
    """An exchange with an upstream failed."""
