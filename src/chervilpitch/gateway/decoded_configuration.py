"""Decoding of configurations that were read from the store or from an instance."""

from chervilpitch import platform
from chervilpitch.model import Configuration, StoreItem
from chervilpitch.observe import part_logger

__all__ = ["ConfigurationDecoder", "log_unknown_kinds"]

log = part_logger("state")

MAX_LOGGED_ROUTES = 10


class ConfigurationDecoder:
    """Decode configurations; count and log those that are malformed."""

    def __init__(self) -> None:
        self._malformed = 0

    @property
    def malformed_count(self) -> int:
        """Number of times that a configuration could not be decoded so far."""
        return self._malformed

    def decode(self, item: StoreItem) -> Configuration | None:
        """Return the configuration that an item holds, or None if it holds none.

        Parameters
        ----------
        item : StoreItem
            Item of the store, of any key.
        """
        if item.key != platform.CONFIGURATION_KEY or item.is_removed:
            return None
        decoded = platform.decode_configuration(item.value)
        if decoded.is_ok():
            return decoded.unwrap()
        self._malformed += 1
        log.error(
            "Configuration could not be decoded; kept the one in force.",
            cause=str(decoded.unwrap_err()),
        )
        return None


def log_unknown_kinds(configuration: Configuration) -> None:
    """Log the routes of a configuration whose kind this build does not know.

    Parameters
    ----------
    configuration : Configuration
        Configuration that comes into force.
    """
    routes = configuration.unknown_kind_routes
    if routes:
        log.warning(
            "Routes of an unknown kind; their requests are not repeated.",
            version=configuration.version,
            routes=routes[:MAX_LOGGED_ROUTES],
            count=len(routes),
        )
