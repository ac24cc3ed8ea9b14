"""The exception family of the package.

Expected failures of a decision travel as typed values in a
:class:`result.Result`; an exception marks a failure of the shell around the
decisions or a programming error.
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
    """The settings of an instance cannot be used."""


class PlatformError(ChervilpitchError):
    """The configuration service could not be read."""


class PeerError(ChervilpitchError):
    """A peer instance could not be reached or understood."""


class FrameError(PeerError):
    """A frame on the peers' channel is malformed, oversized or not authentic."""


class UpstreamError(ChervilpitchError):
    """An exchange with an upstream failed."""
