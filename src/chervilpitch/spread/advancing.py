"""Puts notes and snapshots in force, in the order of their revisions."""

from chervilpitch.model import Catalogue
from chervilpitch.notes import NoteProblem, apply

from .chain import Candidate, Chain
from .effects import ApplyCatalogue, SpreadEffect, record
from .learning import refuse

__all__ = ["advance", "replace_catalogue"]


def advance(chain: Chain, now_s: float) -> tuple[SpreadEffect, ...]:
    """Put in force every candidate that may follow.

    Parameters
    ----------
    chain : Chain
        The chain.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of SpreadEffect
        At most one `ApplyCatalogue`, and records.
    """
    effects: list[SpreadEffect] = []
    before = chain.catalogue
    effects.extend(_drop_inapplicable(chain))
    while (candidate := _next(chain, now_s)) is not None:
        applied = apply(chain.catalogue, candidate.note)
        if applied.is_err():
            effects.extend(_drop(chain, candidate, applied.err_value))
            continue
        chain.apply_catalogue(applied.ok_value, candidate.text)
        effects.append(record("note-in-force", candidate.note.revision))
        effects.extend(_drop_inapplicable(chain))
    if chain.catalogue is not before:
        effects.append(ApplyCatalogue(chain.catalogue))
    return tuple(effects)


def _drop_inapplicable(chain: Chain) -> tuple[SpreadEffect, ...]:
    """Refuse rivals that cannot be applied, so that they block no other note."""
    rivals = chain.fitting()
    if len(rivals) < 2:
        return ()
    effects: list[SpreadEffect] = []
    for candidate in rivals:
        applied = apply(chain.catalogue, candidate.note)
        if applied.is_err():
            effects.extend(_drop(chain, candidate, applied.err_value))
    return tuple(effects)


def _drop(
    chain: Chain, candidate: Candidate, problems: tuple[NoteProblem, ...]
) -> tuple[SpreadEffect, ...]:
    chain.drop(candidate)
    return refuse(chain, candidate.digest, problems)


def _next(chain: Chain, now_s: float) -> Candidate | None:
    """Return the candidate to put in force now, if there is one.

    A note that is in force elsewhere, or that a later note follows, is accepted
    by someone; else it must have been alone for the settling time. A note that a
    later one replaces is passed over.
    """
    replaced = {name for c in chain.vouched for name in c.note.replaces}
    fitting = [c for c in chain.fitting() if c.digest not in replaced]
    elsewhere = [c for c in fitting if c.is_in_force_elsewhere]
    if elsewhere:
        return elsewhere[0]
    successors = chain.followed(chain.catalogue.revision + 2)
    if successors:
        followed = [c for c in fitting if c.digest in successors]
        return followed[0] if len(followed) == 1 else None
    if len(fitting) == 1 and fitting[0].settled_at_s <= now_s:
        return fitting[0]
    return None


def replace_catalogue(chain: Chain, catalogue: Catalogue) -> tuple[SpreadEffect, ...]:
    """Put a snapshot in force, when it is newer.

    Parameters
    ----------
    chain : Chain
        The chain.
    catalogue : Catalogue
        Catalogue of the snapshot.

    Returns
    -------
    tuple of SpreadEffect
        `ApplyCatalogue` and a record, or nothing for an old snapshot.
    """
    if catalogue.revision <= chain.catalogue.revision:
        return ()
    chain.apply_catalogue(catalogue, "")
    return (record("snapshot-in-force", catalogue.revision), ApplyCatalogue(catalogue))
