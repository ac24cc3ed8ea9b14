"""Trust the published list alone: the plain counterpart for comparisons."""

from collections.abc import Mapping

from chervilpitch.model import Instance, InstanceState

from .placement import rank

__all__ = ["NaiveMembership"]


class NaiveMembership:
    """The published list, and addresses taken straight from it."""

    def __init__(self) -> None:
        self._listed: Mapping[str, Instance] = {}

    def follow_list(self, listed: Mapping[str, Instance]) -> None:
        """Follow a published list.

        Parameters
        ----------
        listed : mapping of str to Instance
            Instances by name.
        """
        self._listed = dict(listed)

    def answer(self, account: str, count: int = 4) -> tuple[str, ...]:
        """Return callers' addresses for an account.

        Parameters
        ----------
        account : str
            Name of the client account.
        count : int
            How many addresses at most.

        Returns
        -------
        tuple of str
            Addresses of listed live instances by rendezvous rank.
        """
        live = [
            name
            for name, instance in self._listed.items()
            if instance.state is InstanceState.LIVE
        ]
        names = rank(account, live)[:count]
        return tuple(self._listed[name].callers_address for name in names)
