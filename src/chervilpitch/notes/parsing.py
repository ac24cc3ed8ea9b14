"""Reads the text of a release note and names every problem in it."""

import re
from collections.abc import Callable, Iterable
from typing import Any

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from .changes import (
    Added,
    Change,
    Changed,
    FieldChange,
    ItemKind,
    ReleaseNote,
    Withdrawn,
)
from .options import (
    MODELS,
    PARTIAL_MODELS,
    NoteOptions,
    is_valid_name,
    item_of,
    option_name,
)
from .problems import NoteProblem, ProblemKind
from .sections import MAX_PROBLEMS, Section, hidden_key, shortened, split_sections

__all__ = ["MAX_NOTE_BYTES", "parse"]

MAX_NOTE_BYTES = 1_000_000
CONTROL = re.compile(r"[\x00-\x08\x0b-\x1f\x7f\x85\u2028\u2029\ufeff]")
SECTION_FORM = (
    "[note], or [added|changed|withdrawn account|key|route|upstream|seat NAME]"
)
NAME_FORM = "a name of letters, digits, . _ -; the SHA-256 of a key; a seat number"
ITEM_KINDS = frozenset(kind.value for kind in ItemKind)
KINDS = {
    "missing": ProblemKind.MISSING_OPTION,
    "extra_forbidden": ProblemKind.UNKNOWN_OPTION,
}


def parse(text: str | bytes, file: str) -> Result[ReleaseNote, tuple[NoteProblem, ...]]:
    """Read a release note.

    Parameters
    ----------
    text : str or bytes
        The note, UTF-8.
    file : str
        Name of the file or value, for the problems.

    Returns
    -------
    Result
        The note, or every problem in it.

    Notes
    -----
    A text that has lost its end is noticed by its missing line feed, or by the
    optional count ``items`` in ``[note]``, which the canonical form always has.

    Examples
    --------
    >>> parse("[note]\\nrevision = 1\\n", "1.ini").unwrap().revision
    1
    """
    decoded = _decode(text, file)
    if decoded.is_err():
        return decoded
    sections, problems = split_sections(decoded.ok_value, file)
    found = list(problems)
    heads = [section for section in sections if section.name == "note"]
    others = [section for section in sections if section.name not in ("", "note")]
    options = _read_head(heads, file, found)
    changes = _read_changes(others, file, found)
    if options is not None and options.items not in (None, len(others)):
        found.append(_truncated(heads[0], len(others), options.items, file))
    if found:
        return Err(_limited(found, file))
    return Ok(
        ReleaseNote(
            options.revision, options.follows, tuple(changes), file, options.replaces
        )
    )


def _decode(text: str | bytes, file: str) -> Result[str, tuple[NoteProblem, ...]]:
    """Check size, encoding, characters and the last line feed."""

    def refuse(kind: ProblemKind, line: int, seen: str, allowed: str) -> Err:
        return Err((NoteProblem(kind, file, line, "", "", seen, allowed),))

    if len(text) > MAX_NOTE_BYTES:
        limit = f"at most {MAX_NOTE_BYTES} bytes"
        return refuse(ProblemKind.TOO_LARGE, 0, str(len(text)), limit)
    try:
        data = text if isinstance(text, bytes) else text.encode()
        decoded = data.decode()
    except UnicodeError as error:
        before = error.object[: error.start]
        line = before.count(b"\n" if isinstance(before, bytes) else "\n")
        return refuse(ProblemKind.BAD_ENCODING, line + 1, error.reason, "UTF-8")
    if len(data) > MAX_NOTE_BYTES:
        limit = f"at most {MAX_NOTE_BYTES} bytes"
        return refuse(ProblemKind.TOO_LARGE, 0, str(len(data)), limit)
    decoded = decoded.replace("\r\n", "\n")
    bad = CONTROL.search(decoded)
    if bad is not None:
        line = decoded.count("\n", 0, bad.start()) + 1
        return refuse(ProblemKind.BAD_CHARACTER, line, repr(bad[0]), "printable text")
    if not decoded.endswith("\n"):
        line = decoded.count("\n") + 1
        return refuse(ProblemKind.TRUNCATED, line, "no line feed", "a last line feed")
    return Ok(decoded)


def _read_head(
    heads: list[Section], file: str, found: list[NoteProblem]
) -> NoteOptions | None:
    """Read the section [note], which must stand once."""
    for repeated in heads[1:]:
        found.append(_repeated(repeated, file))
    if not heads:
        kind = ProblemKind.MISSING_OPTION
        found.append(NoteProblem(kind, file, 1, "note", "", "", "a section [note]"))
        return None
    return _validated(NoteOptions, heads[0], file, found)


def _read_changes(
    sections: Iterable[Section], file: str, found: list[NoteProblem]
) -> list[Change]:
    """Read every section that adds, changes or withdraws an item."""
    changes = []
    seen = set()
    for section in sections:
        action, kind, name = _split_name(section.name)
        reader = READERS.get(action)
        if reader is None or kind is None or not is_valid_name(kind, name):
            found.append(_bad_section(section, reader is None or kind is None, file))
            continue
        if (kind, name) in seen:
            found.append(_repeated(section, file))
            continue
        seen.add((kind, name))
        change = reader(kind, name, section, file, found)
        if change is not None:
            changes.append(change)
    return changes


def _split_name(section: str) -> tuple[str, ItemKind | None, str]:
    words = section.split(" ")
    if len(words) != 3 or words[1] not in ITEM_KINDS:
        return "", None, ""
    return words[0], ItemKind(words[1]), words[2]


def _read_added(
    kind: ItemKind, name: str, section: Section, file: str, found: list[NoteProblem]
) -> Added | None:
    options = _validated(MODELS[kind], section, file, found)
    if options is None:
        return None
    return Added(kind, name, item_of(kind, name, dict(options)), section.line)


def _read_changed(
    kind: ItemKind, name: str, section: Section, file: str, found: list[NoteProblem]
) -> Changed | None:
    options = _validated(PARTIAL_MODELS[kind], section, file, found)
    if options is None:
        return None
    fields = sorted(options.model_fields_set)
    if not fields:
        allowed = "at least one option"
        kind_seen = ProblemKind.NOTHING_CHANGED
        problem = NoteProblem(
            kind_seen, file, section.line, section.name, "", "", allowed
        )
        found.append(problem)
        return None
    changes = tuple(FieldChange(field, getattr(options, field)) for field in fields)
    return Changed(kind, name, changes, section.line)


def _read_withdrawn(
    kind: ItemKind, name: str, section: Section, file: str, found: list[NoteProblem]
) -> Withdrawn | None:
    for option, value in section.options.items():
        found.append(
            NoteProblem(
                ProblemKind.UNKNOWN_OPTION,
                file,
                section.lines.get(option, section.line),
                hidden_key(section.name),
                shortened(option),
                shortened(value),
                "no option",
            )
        )
    return None if section.options else Withdrawn(kind, name, section.line)


READERS: dict[str, Callable[..., Change | None]] = {
    "added": _read_added,
    "changed": _read_changed,
    "withdrawn": _read_withdrawn,
}


def _validated(
    model: type[BaseModel], section: Section, file: str, found: list[NoteProblem]
) -> Any:
    """Validate the options of a section."""
    try:
        return model.model_validate(section.options)
    except ValidationError as error:
        errors = error.errors(include_url=False, include_context=False)
    found.extend(_option_problem(model, section, error, file) for error in errors)
    return None


def _option_problem(
    model: type[BaseModel], section: Section, error: Any, file: str
) -> NoteProblem:
    """Turn an error of the validation library into a problem."""
    option = str(error["loc"][0])
    line = section.lines.get(option, section.line)
    seen = shortened(section.options.get(option, ""))
    allowed = _allowed(model, option)
    kind = KINDS.get(error["type"], ProblemKind.BAD_VALUE)
    shown = hidden_key(section.name)
    return NoteProblem(kind, file, line, shown, shortened(option), seen, allowed)


def _allowed(model: type[BaseModel], option: str) -> str:
    descriptions = {
        option_name(name): field.description or ""
        for name, field in model.model_fields.items()
    }
    return descriptions.get(option, "one of " + ", ".join(descriptions))


def _bad_section(section: Section, is_form_wrong: bool, file: str) -> NoteProblem:
    allowed = SECTION_FORM if is_form_wrong else NAME_FORM
    shown = hidden_key(section.name)
    kind = ProblemKind.BAD_SECTION
    return NoteProblem(kind, file, section.line, shown, "", shown, allowed)


def _repeated(section: Section, file: str) -> NoteProblem:
    kind = ProblemKind.REPEATED_SECTION
    shown = hidden_key(section.name)
    return NoteProblem(kind, file, section.line, shown, "", shown, "each item once")


def _truncated(head: Section, seen: int, items: int, file: str) -> NoteProblem:
    kind = ProblemKind.TRUNCATED
    line = head.lines["items"]
    allowed = f"{items} sections after [note]"
    return NoteProblem(kind, file, line, "note", "items", str(seen), allowed)


def _limited(found: list[NoteProblem], file: str) -> tuple[NoteProblem, ...]:
    """Return the problems by line, the first hundred of them."""
    ordered = sorted(found, key=lambda problem: problem.line)
    if len(ordered) <= MAX_PROBLEMS:
        return tuple(ordered)
    kind = ProblemKind.TOO_MANY_PROBLEMS
    allowed = f"the first {MAX_PROBLEMS} are shown"
    last = NoteProblem(kind, file, 0, "", "", str(len(ordered)), allowed)
    return (*ordered[:MAX_PROBLEMS], last)
