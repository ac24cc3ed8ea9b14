"""What an instance believes of another one, and on what grounds."""

import math
from enum import StrEnum
from typing import NamedTuple

from chervilpitch.model import Instance, InstanceState

from .evidence import SUSPECT_AFTER_S, Evidence, is_heard

__all__ = ["Condition", "Judgement", "Standing", "judge"]

GONE_AFTER_S = 30.0


class Condition(StrEnum):
    """Condition of an instance, as far as its peers can tell."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


class Standing(NamedTuple):
    """An instance and what is believed of it.

    Parameters
    ----------
    instance : Instance
        The instance, as its preferred incarnation or the list describes it.
    condition : Condition
        Its condition.
    two_way : bool
        Whether heartbeats pass in both directions, or none are expected.
    listed : bool
        Whether it is on the published list.
    """

    instance: Instance
    condition: Condition
    two_way: bool = True
    listed: bool = True


class Judgement(NamedTuple):
    """All that bears on the standing of one instance.

    Parameters
    ----------
    listed : Instance or None
        The instance on the published list.
    leaving_listed_at_s : float
        Monotonic time at which the list first showed it leaving; infinity for
        never.
    delisted_at_s : float
        Monotonic time at which the list dropped it; minus infinity for never.
    incarnations : tuple of Evidence
        Peers' evidence of each incarnation.
    expected_since_s : float or None
        Monotonic time since when it should send heartbeats here; None when it
        need not.
    is_reported_silent : bool
        Whether enough other instances miss its heartbeats.
    was_gone : bool
        Whether it was judged gone and nothing has been heard of it since.
    """

    listed: Instance | None
    leaving_listed_at_s: float
    delisted_at_s: float
    incarnations: tuple[Evidence, ...]
    expected_since_s: float | None
    is_reported_silent: bool = False
    was_gone: bool = False


def judge(judgement: Judgement, now_s: float) -> Standing:
    """Weigh the list against the peers' evidence.

    Heartbeats go before reports, and reports before the list; but an instance
    that the list shows leaving stays so, unless a later incarnation is known.

    Parameters
    ----------
    judgement : Judgement
        All that is known of one instance; the list or an incarnation at least.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Standing
        What to believe.
    """
    best = _preferred(judgement.incarnations, now_s)
    instance = _described(judgement, best)
    heard = best is not None and is_heard(best, now_s)
    condition = _condition(judgement, best, now_s)
    if condition is Condition.LEAVING:
        instance = instance._replace(state=InstanceState.LEAVING)
    hears_us = heard and best.hears_us_at_s == best.heard_at_s
    two_way = hears_us if heard else condition is Condition.LIVE
    return Standing(instance, condition, two_way, judgement.listed is not None)


def _preferred(incarnations: tuple[Evidence, ...], now_s: float) -> Evidence | None:
    """Choose the incarnation to follow when several are known.

    An incarnation that is heard goes first. Start times come from different wall
    clocks, so they decide only where heartbeats do not.
    """
    return max(
        incarnations,
        key=lambda evidence: (
            is_heard(evidence, now_s),
            is_heard(evidence, now_s) and not evidence.announcement.leaving,
            evidence.announcement.started_wall_ms,
            evidence.known_at_s,
        ),
        default=None,
    )


def _described(judgement: Judgement, best: Evidence | None) -> Instance:
    """Return the instance with the addresses of the incarnation followed."""
    if best is None:
        return judgement.listed._replace(state=InstanceState.LIVE)
    told = best.announcement
    return Instance(
        told.name,
        told.seat,
        told.failure_domain,
        told.callers_address,
        told.peers_address,
    )


def _condition(judgement: Judgement, best: Evidence | None, now_s: float) -> Condition:
    silent_since_s = _silent_since_s(judgement, best, now_s)
    if judgement.was_gone and not (best and is_heard(best, now_s)):
        return Condition.GONE
    if _is_leaving(judgement, best):
        is_over = now_s - silent_since_s > GONE_AFTER_S
        return Condition.GONE if is_over else Condition.LEAVING
    if best is not None and is_heard(best, now_s):
        return Condition.LIVE
    if judgement.listed is None:
        if best.news_at_s <= judgement.delisted_at_s:
            return Condition.GONE
        if now_s - silent_since_s > GONE_AFTER_S:
            return Condition.GONE
    if judgement.is_reported_silent or now_s - silent_since_s > SUSPECT_AFTER_S:
        return Condition.SUSPECT
    return Condition.LIVE


def _is_leaving(judgement: Judgement, best: Evidence | None) -> bool:
    if best is None:
        return judgement.listed.state is InstanceState.LEAVING
    if best.announcement.leaving:
        return True
    return best.known_at_s <= judgement.leaving_listed_at_s < math.inf


def _silent_since_s(judgement: Judgement, best: Evidence | None, now_s: float) -> float:
    """Return since when heartbeats are missed; now when none are expected."""
    if judgement.expected_since_s is None:
        return now_s
    if best is None:
        return judgement.expected_since_s
    return max(judgement.expected_since_s, best.heard_at_s)
