"""Addresses of instances for callers that ask where to connect."""

from chervilpitch.policy import addresses_for

from .region import RegionView

__all__ = ["AddressDirectory"]


class AddressDirectory:
    """Answers to callers, kept until the live instances or their states change.

    Parameters
    ----------
    region : RegionView
        The live instances.
    """

    def __init__(self, region: RegionView):
        self._region = region
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
            self._answers[location] = addresses_for(self._region.known, *location)
        return self._answers[location]
