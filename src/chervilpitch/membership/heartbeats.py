"""Heartbeats between neighbours: sent, received, and missed."""

from collections.abc import Iterator

from chervilpitch.model import Effect, Event, Instance, Record, Send, Sender

from .evidence import SUSPECT_AFTER_S, is_heard
from .freshness import PAUSE_S
from .messages import Announcement, Hello, Unheard
from .view import MembershipState, review

__all__ = ["begin_leaving", "receive", "tick"]

MEMORY_S = 3_600.0
REPORT_AGAIN_S = 25.0
ANNOUNCEMENTS_PER_HELLO = 4
REPORTS_PER_HELLO = 4
CORRESPONDENTS = 32


def receive(
    state: MembershipState, message: Hello, sender: Sender, now_s: float
) -> tuple[Effect, ...]:
    """Take in a heartbeat of a peer.

    Parameters
    ----------
    state : MembershipState
        State, changed in place.
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
        return _refuse_own_name(state, sender)
    hears_us = message.heard_incarnation == state.incarnation
    if _has_missed_news(state, sender, hears_us, now_s):
        state.evidence.begin_catch_up(sender.name, state.followed.instances)
    effects = list(_learn(state, _announcement_of(message, sender), now_s))
    is_newer = state.evidence.hear(
        sender.name, sender.incarnation, message.sequence, hears_us, now_s
    )
    if not is_newer:
        return tuple(effects)
    state.status_cache.revive([sender.name])
    for relayed in message.announcements:
        effects.extend(_learn(state, relayed, now_s))
    for report in message.unheard:
        if state.own.name not in (report.name, report.observer):
            state.silence.learn(report, now_s)
    return tuple(effects)


def tick(state: MembershipState, now_s: float) -> tuple[Effect, ...]:
    """Send the heartbeats that are due and note what has changed.

    Parameters
    ----------
    state : MembershipState
        State, changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Heartbeats and events.
    """
    effects: list[Effect] = []
    since_s = state.schedule.note_tick(now_s)
    if since_s > PAUSE_S:
        state.expect_anew(now_s)
        detail = f"paused {since_s:.1f} s"
        effects.append(_record("woke-late", state.own.name, detail))
    if not state.schedule.take_hello_turn(now_s):
        return tuple(effects)
    if state.schedule.take_forget_turn(now_s):
        state.evidence.forget_before(now_s - MEMORY_S)
        state.followed.forget_before(now_s - MEMORY_S)
    state.silence.forget_expired(now_s)
    effects.extend(review(state, now_s))
    _report_silence(state, now_s)
    _announce_again(state, now_s)
    effects.extend(_hellos(state, now_s))
    return tuple(effects)


def begin_leaving(state: MembershipState, now_s: float) -> tuple[Effect, ...]:
    """Begin to leave and tell the neighbours at once; this is never undone.

    Parameters
    ----------
    state : MembershipState
        State, changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Heartbeats and events; nothing when it was leaving before.
    """
    if state.leaving_at_s is not None:
        return ()
    state.note_leaving(now_s)
    state.schedule.next_announcement()
    state.schedule.trigger_hello(now_s)
    return (_record("leaving", state.own.name), *tick(state, now_s))


def _has_missed_news(
    state: MembershipState, sender: Sender, hears_us: bool, now_s: float
) -> bool:
    """Return whether a sender is new, was silent, or begins to hear this instance."""
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


def _learn(
    state: MembershipState, announcement: Announcement, now_s: float
) -> Iterator[Effect]:
    name = announcement.name
    if name == state.own.name:
        return
    is_new = announcement.incarnation not in state.evidence.by_name.get(name, {})
    relay = _is_worth_relaying(state, announcement)
    if not state.evidence.learn(announcement, relay, now_s):
        return
    state.status_cache.revive([name])
    if is_new:
        state.silence.clear(name)
        detail = f"incarnation {announcement.incarnation:016x}"
        yield _record("incarnation-seen", name, detail)


def _is_worth_relaying(state: MembershipState, announcement: Announcement) -> bool:
    """Return whether others cannot know the same from the published list."""
    name = announcement.name
    if announcement.leaving or name not in state.followed.instances:
        return True
    others = state.evidence.by_name.get(name, {}).keys() - {announcement.incarnation}
    if others or name in state.silence.subjects:
        return True
    listed = state.followed.instances[name]
    told = (announcement.seat, announcement.callers_address, announcement.peers_address)
    return told != (listed.seat, listed.callers_address, listed.peers_address)


def _refuse_own_name(state: MembershipState, sender: Sender) -> tuple[Effect, ...]:
    if sender.incarnation == state.incarnation:
        return ()
    detail = f"incarnation {sender.incarnation:016x}"
    return (_record("own-name-taken", sender.name, detail),)


def _heard_incarnation(state: MembershipState, name: str, now_s: float) -> int:
    """Return the incarnation heard last, or 0 when none is heard."""
    known = state.evidence.by_name.get(name, {}).values()
    heard = [evidence for evidence in known if is_heard(evidence, now_s)]
    if not heard:
        return 0
    last = max(heard, key=lambda evidence: evidence.heard_at_s)
    return last.announcement.incarnation


def _report_silence(state: MembershipState, now_s: float) -> None:
    """Report silent neighbours, unless most are silent: then the fault is here."""
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
        if now_s - state.silence.created_at_s(name, *own) > REPORT_AGAIN_S:
            serial = state.schedule.next_report()
            state.silence.learn(Unheard(name, *own, serial, 0), now_s)


def _announce_again(state: MembershipState, now_s: float) -> None:
    """Announce anew an instance that the list does not show for a long time."""
    is_due = state.schedule.take_announcement_turn(now_s)
    if is_due and state.own.name not in state.followed.instances:
        state.schedule.next_announcement()


def _hellos(state: MembershipState, now_s: float) -> Iterator[Send]:
    hello = _hello(state, now_s)
    room = ANNOUNCEMENTS_PER_HELLO - len(hello.announcements)
    for name in _receivers(state, now_s):
        missed = state.evidence.take_catch_up(name, room)
        yield Send(
            name,
            hello._replace(
                heard_incarnation=_heard_incarnation(state, name, now_s),
                announcements=hello.announcements + missed,
            ),
        )


def _receivers(state: MembershipState, now_s: float) -> list[str]:
    """Return the neighbours and others that send heartbeats here."""
    heard = state.evidence.heard_names(now_s)
    others = heard - state.expected_since_s.keys()
    return sorted(state.expected_since_s) + sorted(others)[:CORRESPONDENTS]


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
        list_digest=state.followed.digest,
        announcements=state.evidence.take_news(ANNOUNCEMENTS_PER_HELLO),
        unheard=state.silence.take_news(REPORTS_PER_HELLO, now_s),
    )


def _record(event: str, subject: str, detail: str = "") -> Record:
    return Record(Event("membership", event, subject, detail))
