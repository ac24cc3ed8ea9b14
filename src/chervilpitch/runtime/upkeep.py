"""Removal of unused connections to upstreams."""

from chervilpitch import health
from chervilpitch.transport.upstreams import UpstreamClient

from .cores import Cores

__all__ = ["Upkeep"]


class Upkeep:
    """Close connections to upstreams that stopped responding or were withdrawn.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    upstreams : UpstreamClient
        Connections to upstreams.
    """

    def __init__(self, cores: Cores, upstreams: UpstreamClient):
        self._cores = cores
        self._upstreams = upstreams
        self._revision = 0

    def run(self) -> None:
        """Close the connections that are due."""
        cores = self._cores
        with cores.lock:
            silent = health.silent_upstreams(cores.health, cores.clock())
            declared = cores.catalogue.upstreams
            revision = cores.catalogue.revision
        for name in silent:
            if name in declared:
                self._upstreams.close_idle(declared[name].address)
        if revision != self._revision:
            self._revision = revision
            in_use = frozenset(item.address for item in declared.values())
            self._upstreams.close_unused(in_use)
