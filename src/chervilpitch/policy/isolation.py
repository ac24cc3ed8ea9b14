"""Share of the client accounts' rates that an instance may use while it is cut off.

Instances that can't hear each other can't add up what they admit. If all of them went
on admitting whole rates, each part of a partition would do so. The part that still
receives proofs from the store goes on; an instance without proofs that hears less than
half of its region uses a small share. The shares of all such parts add up to at most
``ISOLATED_RATE_SHARE``, as their contacts do not overlap.

An instance that has lost only the store, or only other instances, uses whole rates:
the store may be down, or the others may have stopped.
"""

__all__ = ["Contact", "rate_share"]

CONTACT_S = 1.2
MIN_CONTACT = 0.5
ISOLATED_RATE_SHARE = 0.1


class Contact:
    """Contact of this instance with its region, and with the store through others.

    Examples
    --------
    >>> contact = Contact(now_s=0.0)
    >>> contact.record_proof(10.0)
    >>> contact.record_members(0.3, 10.0)
    >>> contact.rate_share(11.0)
    1.0
    >>> contact.record_members(0.3, 11.3)
    >>> round(contact.rate_share(11.3), 3)
    0.03
    """

    def __init__(self, now_s: float):
        self._proved_at_s = now_s
        self._members_share = 1.0
        self._heard_at_s = now_s

    def record_proof(self, now_s: float) -> None:
        """Record that a newer proof from the store has arrived."""
        self._proved_at_s = now_s

    def record_members(self, share: float, now_s: float) -> None:
        """Record the share of the region's instances that were heard recently.

        Parameters
        ----------
        share : float
            Counted here, or by this instance's aggregator when it answers.
        now_s : float
            Monotonic time in seconds.
        """
        self._members_share = share
        self._heard_at_s = now_s

    def members_share(self, now_s: float) -> float:
        """Return the latest share, or 0 if none was recorded recently."""
        return self._members_share if now_s - self._heard_at_s <= CONTACT_S else 0.0

    def rate_share(self, now_s: float) -> float:
        """Return the share of each client account's rate that may be used."""
        return rate_share(self.members_share(now_s), now_s - self._proved_at_s)


def rate_share(members_share: float, unproved_s: float) -> float:
    """Return the share of a client account's rate that an instance may use.

    Parameters
    ----------
    members_share : float
        Share of the other instances of the region that were heard recently.
    unproved_s : float
        Seconds since the last newer proof from the store; infinite for none.
    """
    is_isolated = unproved_s > CONTACT_S and members_share < MIN_CONTACT
    return ISOLATED_RATE_SHARE * members_share if is_isolated else 1.0


def share_heard(heard_at_s: list[float], now_s: float) -> float:
    """Return the share of instances that were heard within ``CONTACT_S``.

    Parameters
    ----------
    heard_at_s : list of float
        Monotonic time in seconds at which each other instance was last heard.
    now_s : float
        Monotonic time in seconds.

    Examples
    --------
    >>> share_heard([9.5, 3.0], now_s=10.0)
    0.5
    >>> share_heard([], now_s=10.0)
    1.0
    """
    if not heard_at_s:
        return 1.0
    return sum(now_s - at_s <= CONTACT_S for at_s in heard_at_s) / len(heard_at_s)
