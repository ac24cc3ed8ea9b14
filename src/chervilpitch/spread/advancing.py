"""Applies notes and snapshots to the catalogue in the order of their revisions."""

from chervilpitch.model import Catalogue
from chervilpitch.notes import NoteProblem, apply

from .candidates import reject_note
from .chain import Candidate, Chain
from .effects import ApplyCatalogue, SpreadEffect, record_event

__all__ = ["advance", "replace_catalogue"]


def advance(chain: Chain, now_s: float) -> tuple[SpreadEffect, ...]:
    """Apply every candidate that can be applied now.

    Parameters
    ----------
    chain : Chain
        The chain of revisions; changed in place.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        At most one `ApplyCatalogue`, and events to record.
    """
    effects: list[SpreadEffect] = []
    before = chain.catalogue
    effects.extend(_reject_inapplicable(chain))
    while (candidate := _next_candidate(chain, now_s)) is not None:
        applied = apply(chain.catalogue, candidate.note)
        if applied.is_err():
            effects.extend(_reject(chain, candidate, applied.err_value))
            continue
        chain.apply_catalogue(applied.ok_value, candidate.text)
        effects.append(record_event("note-in-force", candidate.note.revision))
        effects.extend(_reject_inapplicable(chain))
    if chain.catalogue is not before:
        effects.append(ApplyCatalogue(chain.catalogue))
    return tuple(effects)


def _reject_inapplicable(chain: Chain) -> tuple[SpreadEffect, ...]:
    """Reject conflicting notes that cannot be applied.

    Otherwise they would block the valid note of the same revision.
    """
    conflicting = chain.direct_successors()
    if len(conflicting) < 2:
        return ()
    effects: list[SpreadEffect] = []
    for candidate in conflicting:
        applied = apply(chain.catalogue, candidate.note)
        if applied.is_err():
            effects.extend(_reject(chain, candidate, applied.err_value))
    return tuple(effects)


def _reject(
    chain: Chain, candidate: Candidate, problems: tuple[NoteProblem, ...]
) -> tuple[SpreadEffect, ...]:
    chain.remove_candidate(candidate)
    return reject_note(chain, candidate.digest, problems)


def _next_candidate(chain: Chain, now_s: float) -> Candidate | None:
    """Return the candidate to apply now, or None.

    A note that is in force at a peer, or that a later note follows, has been
    accepted and is applied at once. Any other note is applied only after the
    settling delay and without a conflicting note. Notes that a later note
    replaces are skipped. Where notes of the revision after the next are known, the
    next note is applied only if it is the only one that any of them follows.
    """
    replaced = {
        digest for c in chain.confirmed_candidates for digest in c.note.replaces
    }
    applicable = [c for c in chain.direct_successors() if c.digest not in replaced]
    in_force_elsewhere = [c for c in applicable if c.is_in_force_elsewhere]
    if in_force_elsewhere:
        return in_force_elsewhere[0]
    followed_digests = chain.followed_digests(chain.catalogue.revision + 2)
    if followed_digests:
        followed = [c for c in applicable if c.digest in followed_digests]
        return followed[0] if len(followed) == 1 else None
    if len(applicable) == 1 and applicable[0].settled_at_s <= now_s:
        return applicable[0]
    return None


def replace_catalogue(chain: Chain, catalogue: Catalogue) -> tuple[SpreadEffect, ...]:
    """Replace the catalogue by a snapshot if the snapshot is newer.

    Parameters
    ----------
    chain : Chain
        The chain of revisions; changed in place.
    catalogue : Catalogue
        Catalogue of the snapshot.

    Returns
    -------
    tuple of SpreadEffect
        The event to record and `ApplyCatalogue`; empty if the snapshot is not newer.
    """
    if catalogue.revision <= chain.catalogue.revision:
        return ()
    chain.apply_catalogue(catalogue, "")
    return (
        record_event("snapshot-in-force", catalogue.revision),
        ApplyCatalogue(catalogue),
    )
