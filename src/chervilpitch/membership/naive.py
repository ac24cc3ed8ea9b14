"""Baseline that relies on the published list alone, for differential tests."""

from collections.abc import Mapping

from chervilpitch.model import Instance, InstanceState

from .placement import rank

__all__ = ["NaiveMembership"]


class NaiveMembership:
    """Address selection from the published list, without failure detection."""

    def __init__(self) -> None:
        self._listed: Mapping[str, Instance] = {}

    def apply_list(self, listed: Mapping[str, Instance]) -> None:
        """Replace the published list.

        Parameters
        ----------
        listed : mapping of str to Instance
            Instances by name.
        """
        self._listed = dict(listed)

    def select_addresses(self, account: str, count: int = 4) -> tuple[str, ...]:
        """Select callers' addresses for an account.

        Parameters
        ----------
        account : str
            Name of the client account.
        count : int
            Maximum number of addresses.

        Returns
        -------
        tuple of str
            Addresses of listed live instances, in rendezvous order.
        """
        live = [
            name
            for name, instance in self._listed.items()
            if instance.state is InstanceState.LIVE
        ]
        names = rank(account, live)[:count]
        return tuple(self._listed[name].callers_address for name in names)
