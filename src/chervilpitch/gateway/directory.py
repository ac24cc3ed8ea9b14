"""Addresses of instances for callers that ask where to connect."""

import zlib

from chervilpitch.policy import Member, addresses_for

from .region import RegionView

__all__ = ["AddressDirectory"]


CRC_RANGE = 2**32


class AddressDirectory:
    """Answers to callers, kept until the live instances or their states change.

    Parameters
    ----------
    region : RegionView
        The live instances.
    own : Member
        This instance.
    """

    def __init__(self, region: RegionView, own: Member):
        self._region = region
        self._offset = zlib.crc32(own.name.encode()) / CRC_RANGE
        self._digest = 0
        self._answers: dict[tuple[str, str], tuple[str, ...]] = {}

    def addresses(self, region: str, failure_domain: str) -> tuple[str, ...]:
        """Return the addresses for a caller at a location.

        Parameters
        ----------
        region, failure_domain : str
            Location of the caller.
        """
        if self._region.known_digest != self._digest:
            self._digest = self._region.known_digest
            self._answers.clear()
        location = (region, failure_domain)
        if location not in self._answers:
            self._answers[location] = addresses_for(
                self._region.known, *location, self._offset
            )
        return self._answers[location]
