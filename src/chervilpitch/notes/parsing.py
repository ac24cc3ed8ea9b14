"""Parser of release notes that reports all problems of a text."""

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
    build_item,
    is_valid_name,
    option_name,
)
from .problems import NoteProblem, ProblemKind
from .sections import MAX_PROBLEMS, Section, redact_key, split_sections, truncate

__all__ = ["MAX_NOTE_BYTES", "parse"]

MAX_NOTE_BYTES = 1_000_000
FORBIDDEN_CHARACTERS = re.compile(r"[\x00-\x08\x0b-\x1f\x7f\x85\u2028\u2029\ufeff]")
SECTION_FORM = (
    "[note], or [added|changed|withdrawn account|key|route|upstream|seat NAME]"
)
NAME_FORM = "a name of letters, digits, . _ -; the SHA-256 of a key; a seat number"
ITEM_KINDS = frozenset(kind.value for kind in ItemKind)
PROBLEM_KINDS = {
    "missing": ProblemKind.MISSING_OPTION,
    "extra_forbidden": ProblemKind.UNKNOWN_OPTION,
}


def parse(text: str | bytes, file: str) -> Result[ReleaseNote, tuple[NoteProblem, ...]]:
    """Parse a release note.

    Parameters
    ----------
    text : str or bytes
        Text of the note; bytes are decoded as UTF-8.
    file : str
        Name of the file or value, used in problems.

    Returns
    -------
    Result
        The note, or its problems ordered by line. Of more than 100, only the first
        100 are listed, and a last problem gives the number found.

    Notes
    -----
    A truncated text is detected by its missing final line feed, or by the optional
    count ``items`` in ``[note]``, which the canonical text always has.

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
        found.append(_truncation_problem(heads[0], len(others), options.items, file))
    if found:
        return Err(_first_problems(found, file))
    return Ok(
        ReleaseNote(
            options.revision, options.follows, tuple(changes), file, options.replaces
        )
    )


def _decode(text: str | bytes, file: str) -> Result[str, tuple[NoteProblem, ...]]:
    """Decode a text; check its size, encoding, characters and final line feed."""

    def failure(kind: ProblemKind, line: int, seen: str, allowed: str) -> Err:
        return Err((NoteProblem(kind, file, line, "", "", seen, allowed),))

    if len(text) > MAX_NOTE_BYTES:
        limit = f"at most {MAX_NOTE_BYTES} bytes"
        return failure(ProblemKind.TOO_LARGE, 0, str(len(text)), limit)
    try:
        data = text if isinstance(text, bytes) else text.encode()
        decoded = data.decode()
    except UnicodeError as error:
        before = error.object[: error.start]
        line = before.count(b"\n" if isinstance(before, bytes) else "\n")
        return failure(ProblemKind.BAD_ENCODING, line + 1, error.reason, "UTF-8")
    if len(data) > MAX_NOTE_BYTES:
        limit = f"at most {MAX_NOTE_BYTES} bytes"
        return failure(ProblemKind.TOO_LARGE, 0, str(len(data)), limit)
    decoded = decoded.replace("\r\n", "\n")
    bad = FORBIDDEN_CHARACTERS.search(decoded)
    if bad is not None:
        line = decoded.count("\n", 0, bad.start()) + 1
        return failure(ProblemKind.BAD_CHARACTER, line, repr(bad[0]), "printable text")
    if not decoded.endswith("\n"):
        line = decoded.count("\n") + 1
        return failure(ProblemKind.TRUNCATED, line, "no line feed", "a last line feed")
    return Ok(decoded)


def _read_head(
    heads: list[Section], file: str, found: list[NoteProblem]
) -> NoteOptions | None:
    """Parse the section ``[note]``, which must occur exactly once."""
    for repeated in heads[1:]:
        found.append(_repetition_problem(repeated, file))
    if not heads:
        kind = ProblemKind.MISSING_OPTION
        found.append(NoteProblem(kind, file, 1, "note", "", "", "a section [note]"))
        return None
    return _validate(NoteOptions, heads[0], file, found)


def _read_changes(
    sections: Iterable[Section], file: str, found: list[NoteProblem]
) -> list[Change]:
    """Parse the sections that add, change or withdraw an item."""
    changes = []
    seen = set()
    for section in sections:
        action, kind, name = _split_name(section.name)
        reader = SECTION_READERS.get(action)
        if reader is None or kind is None or not is_valid_name(kind, name):
            found.append(
                _bad_section_problem(section, reader is None or kind is None, file)
            )
            continue
        if (kind, name) in seen:
            found.append(_repetition_problem(section, file))
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
    options = _validate(MODELS[kind], section, file, found)
    if options is None:
        return None
    return Added(kind, name, build_item(kind, name, dict(options)), section.line)


def _read_changed(
    kind: ItemKind, name: str, section: Section, file: str, found: list[NoteProblem]
) -> Changed | None:
    options = _validate(PARTIAL_MODELS[kind], section, file, found)
    if options is None:
        return None
    fields = sorted(options.model_fields_set)
    if not fields:
        allowed = "at least one option"
        problem_kind = ProblemKind.NOTHING_CHANGED
        problem = NoteProblem(
            problem_kind, file, section.line, section.name, "", "", allowed
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
                redact_key(section.name),
                truncate(option),
                truncate(value),
                "no option",
            )
        )
    return None if section.options else Withdrawn(kind, name, section.line)


SECTION_READERS: dict[str, Callable[..., Change | None]] = {
    "added": _read_added,
    "changed": _read_changed,
    "withdrawn": _read_withdrawn,
}


def _validate(
    model: type[BaseModel], section: Section, file: str, found: list[NoteProblem]
) -> Any:
    """Return the validated options of a section, or None with problems appended."""
    try:
        return model.model_validate(section.options)
    except ValidationError as error:
        errors = error.errors(include_url=False, include_context=False)
    found.extend(_option_problem(model, section, error, file) for error in errors)
    return None


def _option_problem(
    model: type[BaseModel], section: Section, error: Any, file: str
) -> NoteProblem:
    """Convert an error from pydantic into a problem."""
    option = str(error["loc"][0])
    line = section.lines.get(option, section.line)
    seen = truncate(section.options.get(option, ""))
    allowed = _allowed(model, option)
    kind = PROBLEM_KINDS.get(error["type"], ProblemKind.BAD_VALUE)
    shown = redact_key(section.name)
    return NoteProblem(kind, file, line, shown, truncate(option), seen, allowed)


def _allowed(model: type[BaseModel], option: str) -> str:
    descriptions = {
        option_name(name): field.description or ""
        for name, field in model.model_fields.items()
    }
    return descriptions.get(option, "one of " + ", ".join(descriptions))


def _bad_section_problem(
    section: Section, is_form_wrong: bool, file: str
) -> NoteProblem:
    allowed = SECTION_FORM if is_form_wrong else NAME_FORM
    shown = redact_key(section.name)
    kind = ProblemKind.BAD_SECTION
    return NoteProblem(kind, file, section.line, shown, "", shown, allowed)


def _repetition_problem(section: Section, file: str) -> NoteProblem:
    kind = ProblemKind.REPEATED_SECTION
    shown = redact_key(section.name)
    return NoteProblem(kind, file, section.line, shown, "", shown, "each item once")


def _truncation_problem(head: Section, seen: int, items: int, file: str) -> NoteProblem:
    kind = ProblemKind.TRUNCATED
    line = head.lines["items"]
    allowed = f"{items} sections after [note]"
    return NoteProblem(kind, file, line, "note", "items", str(seen), allowed)


def _first_problems(found: list[NoteProblem], file: str) -> tuple[NoteProblem, ...]:
    """Return the problems ordered by line, cut off after `MAX_PROBLEMS`."""
    ordered = sorted(found, key=lambda problem: problem.line)
    if len(ordered) <= MAX_PROBLEMS:
        return tuple(ordered)
    kind = ProblemKind.TOO_MANY_PROBLEMS
    allowed = f"the first {MAX_PROBLEMS} are shown"
    last = NoteProblem(kind, file, 0, "", "", str(len(ordered)), allowed)
    return (*ordered[:MAX_PROBLEMS], last)
