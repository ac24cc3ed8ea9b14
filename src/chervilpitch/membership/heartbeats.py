"""Heartbeats between neighbours: sending, receiving and reporting missed ones."""

from collections.abc import Iterator

from chervilpitch.model import Effect, Event, Instance, Record, Send, Sender

from .evidence import SUSPECT_AFTER_S, is_heard
from .freshness import MAX_TICK_GAP_S
from .messages import Announcement, Hello, Unheard
from .view import MembershipState, refresh_statuses

__all__ = ["begin_leaving", "receive", "tick"]

EVIDENCE_RETENTION_S = 3_600.0
REPORT_INTERVAL_S = 25.0
MAX_ANNOUNCEMENTS_PER_HELLO = 4
MAX_REPORTS_PER_HELLO = 4
MAX_OTHER_RECEIVERS = 32


def receive(
    state: MembershipState, message: Hello, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Handle a heartbeat of a peer.

    Parameters
    ----------
    state : MembershipState
        Membership state; modified in place.
    message : Hello
        The heartbeat.
    sender : Sender
        Its authenticated origin.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    if message.name != sender.name:
        return (_record("hello-refused", sender.name, f"names {message.name}"),)
    if sender.name == state.own.name:
        return _report_duplicate_name(state, sender)
    hears_us = message.heard_incarnation == state.incarnation
    if _has_missed_news(state, sender, hears_us, now_s):
        state.evidence.start_catch_up(sender.name, state.published_list.instances)
    effects = list(_merge_announcement(state, _announcement_of(message, sender), now_s))
    is_newer = state.evidence.record_heartbeat(
        sender.name, sender.incarnation, message.sequence, hears_us, now_s
    )
    if not is_newer:
        return tuple(effects)
    state.status_cache.invalidate_names([sender.name])
    for relayed in message.announcements:
        effects.extend(_merge_announcement(state, relayed, now_s))
    for report in message.unheard:
        if state.own.name not in (report.name, report.observer):
            state.silence_reports.merge_report(report, now_s)
    return tuple(effects)


def tick(state: MembershipState, now_s: float) -> tuple[Effect, ...]:
    """Send the heartbeats that are due and update the instance statuses.

    Parameters
    ----------
    state : MembershipState
        Membership state; modified in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Heartbeats and events.
    """
    effects: list[Effect] = []
    gap_s = state.schedule.record_tick(now_s)
    if gap_s > MAX_TICK_GAP_S:
        state.restart_heartbeat_timeouts(now_s)
        detail = f"paused {gap_s:.1f} s"
        effects.append(_record("woke-late", state.own.name, detail))
    if not state.schedule.poll_hello_timer(now_s):
        return tuple(effects)
    if state.schedule.poll_cleanup_timer(now_s):
        state.evidence.remove_before(now_s - EVIDENCE_RETENTION_S)
        state.published_list.remove_before(now_s - EVIDENCE_RETENTION_S)
    state.silence_reports.remove_expired(now_s)
    effects.extend(refresh_statuses(state, now_s))
    _report_silence(state, now_s)
    _announce_if_unlisted(state, now_s)
    effects.extend(_hellos(state, now_s))
    return tuple(effects)


def begin_leaving(state: MembershipState, now_s: float) -> tuple[Effect, ...]:
    """Begin to leave and announce it to the neighbours at once.

    Leaving cannot be undone.

    Parameters
    ----------
    state : MembershipState
        Membership state; modified in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Heartbeats and events; empty if the instance is leaving already.
    """
    if state.leaving_at_s is not None:
        return ()
    state.record_leaving(now_s)
    state.schedule.next_announcement_serial()
    state.schedule.trigger_hello(now_s)
    return (_record("leaving", state.own.name), *tick(state, now_s))


def _has_missed_news(
    state: MembershipState, sender: Sender, hears_us: bool, now_s: float
) -> bool:
    """Return whether a sender is new, was silent, or only now receives our hellos."""
    known = state.evidence.by_name.get(sender.name, {}).get(sender.incarnation)
    if known is None or not is_heard(known, now_s):
        return True
    return hears_us and known.hears_us_at_s < known.heard_at_s


def _announcement_of(message: Hello, sender: Sender) -> Announcement:
    return Announcement(
        name=message.name,
        incarnation=sender.incarnation,
        seat=message.seat,
        failure_domain=message.failure_domain,
        callers_address=message.callers_address,
        peers_address=message.peers_address,
        leaving=message.leaving,
        started_wall_ms=message.started_wall_ms,
        serial=message.serial,
    )


def _merge_announcement(
    state: MembershipState, announcement: Announcement, now_s: float
) -> Iterator[Effect]:
    name = announcement.name
    if name == state.own.name:
        return
    is_new = announcement.incarnation not in state.evidence.by_name.get(name, {})
    relay = _is_worth_relaying(state, announcement)
    if not state.evidence.merge_announcement(announcement, relay, now_s):
        return
    state.status_cache.invalidate_names([name])
    if is_new:
        state.silence_reports.remove(name)
        detail = f"incarnation {announcement.incarnation:016x}"
        yield _record("incarnation-seen", name, detail)


def _is_worth_relaying(state: MembershipState, announcement: Announcement) -> bool:
    """Return whether the published list does not show the same to other instances."""
    name = announcement.name
    if announcement.leaving or name not in state.published_list.instances:
        return True
    others = state.evidence.by_name.get(name, {}).keys() - {announcement.incarnation}
    if others or name in state.silence_reports.subjects:
        return True
    listed = state.published_list.instances[name]
    announced = (
        announcement.seat,
        announcement.callers_address,
        announcement.peers_address,
    )
    return announced != (listed.seat, listed.callers_address, listed.peers_address)


def _report_duplicate_name(
    state: MembershipState, sender: Sender
) -> tuple[Effect, ...]:
    if sender.incarnation == state.incarnation:
        return ()
    detail = f"incarnation {sender.incarnation:016x}"
    return (_record("own-name-taken", sender.name, detail),)


def _heard_incarnation(state: MembershipState, name: str, now_s: float) -> int:
    """Return the incarnation with the last heartbeat, or 0 if none is recent."""
    known = state.evidence.by_name.get(name, {}).values()
    heard = [evidence for evidence in known if is_heard(evidence, now_s)]
    if not heard:
        return 0
    last = max(heard, key=lambda evidence: evidence.heard_at_s)
    return last.announcement.incarnation


def _report_silence(state: MembershipState, now_s: float) -> None:
    """Report silent neighbours.

    If more than half of them are silent, this instance is probably the one that is
    cut off, so nothing is reported.
    """
    silent = [
        name
        for name, since_s in state.expected_since_s.items()
        if now_s - since_s > SUSPECT_AFTER_S
        and not _heard_incarnation(state, name, now_s)
    ]
    if 2 * len(silent) > len(state.expected_since_s):
        return
    own = (state.own.name, state.incarnation)
    for name in silent:
        if now_s - state.silence_reports.created_at_s(name, *own) > REPORT_INTERVAL_S:
            serial = state.schedule.next_report_serial()
            state.silence_reports.merge_report(Unheard(name, *own, serial, 0), now_s)


def _announce_if_unlisted(state: MembershipState, now_s: float) -> None:
    """Renew the announcement of this instance if the list still does not show it."""
    is_due = state.schedule.poll_announcement_timer(now_s)
    if is_due and state.own.name not in state.published_list.instances:
        state.schedule.next_announcement_serial()


def _hellos(state: MembershipState, now_s: float) -> Iterator[Send]:
    hello = _hello(state, now_s)
    free_count = MAX_ANNOUNCEMENTS_PER_HELLO - len(hello.announcements)
    for name in _receivers(state, now_s):
        missed = state.evidence.next_catch_up(name, free_count)
        yield Send(
            name,
            hello._replace(
                heard_incarnation=_heard_incarnation(state, name, now_s),
                announcements=hello.announcements + missed,
            ),
        )


def _receivers(state: MembershipState, now_s: float) -> list[str]:
    """Return the neighbours, and other instances that send heartbeats here."""
    heard = state.evidence.heard_names(now_s)
    others = heard - state.expected_since_s.keys()
    return sorted(state.expected_since_s) + sorted(others)[:MAX_OTHER_RECEIVERS]


def _hello(state: MembershipState, now_s: float) -> Hello:
    own: Instance = state.own
    return Hello(
        name=own.name,
        seat=own.seat,
        failure_domain=own.failure_domain,
        callers_address=own.callers_address,
        peers_address=own.peers_address,
        leaving=state.leaving_at_s is not None,
        started_wall_ms=state.started_wall_ms,
        serial=state.schedule.announcement_serial,
        sequence=state.schedule.next_sequence(),
        heard_incarnation=0,
        list_digest=state.published_list.digest,
        announcements=state.evidence.next_announcements(MAX_ANNOUNCEMENTS_PER_HELLO),
        unheard=state.silence_reports.next_reports(MAX_REPORTS_PER_HELLO, now_s),
    )


def _record(event: str, subject: str, detail: str = "") -> Record:
    return Record(Event("membership", event, subject, detail))
