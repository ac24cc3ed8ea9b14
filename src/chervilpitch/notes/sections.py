"""Splitting of a release note into sections with options."""

import configparser
import re
from typing import NamedTuple

from .problems import NoteProblem, ProblemKind

__all__ = ["Section", "redact_key", "split_sections", "truncate"]

MAX_PROBLEMS = 100
MAX_SECTIONS = 20_000
MAX_SEEN_CHARACTERS = 80
HEADER_PATTERN = re.compile(r"\[([^\[\]]+)\]\s*")
KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
HIDDEN_TEXT = "(not shown)"


class Section(NamedTuple):
    """A section of a note, not yet validated.

    Parameters
    ----------
    name : str
        Text between the brackets; empty if the header is malformed.
    line : int
        Line number of the header from 1.
    options : dict of str to str
        Unparsed values by option name.
    lines : dict of str to int
        Line number of each option from 1.
    """

    name: str
    line: int
    options: dict[str, str]
    lines: dict[str, int]


class _Draft:
    """A section whose lines are still being read."""

    def __init__(self, name: str, line: int) -> None:
        self.name = name
        self.line = line
        self.option_lines: list[str] = []
        self.line_numbers: dict[str, int] = {}


def truncate(text: str) -> str:
    """Truncate a text for a message.

    Parameters
    ----------
    text : str
        Any text.

    Returns
    -------
    str
        The first 80 characters.
    """
    return text[:MAX_SEEN_CHARACTERS]


def redact_key(section: str) -> str:
    """Redact a key that was given in place of its digest in a section name.

    Parameters
    ----------
    section : str
        Name in the header of the section.

    Returns
    -------
    str
        Truncated name that is safe to show.

    Examples
    --------
    >>> redact_key("added key sesame")
    'added key (not shown)'
    """
    action, _, rest = section.partition(" ")
    kind, _, name = rest.partition(" ")
    if "key" in kind.lower() and not KEY_DIGEST_PATTERN.fullmatch(name):
        return f"{truncate(action)} {truncate(kind)} {HIDDEN_TEXT}"
    return truncate(section)


def split_sections(
    text: str, file: str
) -> tuple[tuple[Section, ...], tuple[NoteProblem, ...]]:
    """Split a text into sections.

    Reading stops after more than `MAX_PROBLEMS` problems or `MAX_SECTIONS` sections.

    Parameters
    ----------
    text : str
        Text whose lines end with a line feed.
    file : str
        Name of the file or value, used in problems.

    Returns
    -------
    tuple of Section
        Sections with a header, in order.
    tuple of NoteProblem
        Problems of the lines that could not be read.
    """
    problems: list[NoteProblem] = []
    drafts = [_Draft("", 0)]
    for number, line in enumerate(text.split("\n"), 1):
        if len(problems) > MAX_PROBLEMS:
            break
        if len(drafts) > MAX_SECTIONS:
            problems.append(_too_many_sections(number, file))
            break
        if line.startswith("["):
            drafts.append(_read_header(line, number, file, problems))
        elif _has_content(line):
            _read_line(drafts[-1], line, number, file, problems)
    return _read_options(drafts), tuple(problems)


def _too_many_sections(number: int, file: str) -> NoteProblem:
    allowed = f"at most {MAX_SECTIONS} sections"
    return NoteProblem(ProblemKind.TOO_LARGE, file, number, "", "", "", allowed)


def _read_header(
    line: str, number: int, file: str, problems: list[NoteProblem]
) -> _Draft:
    """Start a section; it has no name if the header is malformed."""
    match = HEADER_PATTERN.fullmatch(line)
    if match is not None:
        return _Draft(match[1], number)
    seen = redact_key(line.strip("[] "))
    kind = ProblemKind.BAD_SECTION
    problems.append(NoteProblem(kind, file, number, "", "", seen, "[section]"))
    return _Draft("", number)


def _read_line(
    draft: _Draft, line: str, number: int, file: str, problems: list[NoteProblem]
) -> None:
    """Add a well-formed line to its section, or report its problem."""
    option = line.partition("=")[0].strip().lower()
    kind, allowed = _line_problem(line, option, draft)
    if kind is None:
        draft.line_numbers[option] = number
        draft.option_lines.append(line)
        return
    shown = redact_key(draft.name)
    named = truncate(option) if kind is ProblemKind.REPEATED_OPTION else ""
    seen = HIDDEN_TEXT if HIDDEN_TEXT in shown else truncate(line.strip())
    problems.append(NoteProblem(kind, file, number, shown, named, seen, allowed))


def _line_problem(
    line: str, option: str, draft: _Draft
) -> tuple[ProblemKind | None, str]:
    """Return the kind of a line's problem, or None, and what is allowed."""
    if not draft.line:
        return ProblemKind.BAD_LINE, "a section before the first option"
    if line[:1].isspace():
        return ProblemKind.BAD_LINE, "a line without indentation"
    if "=" not in line or not option:
        return ProblemKind.BAD_LINE, "option = value"
    if option in draft.line_numbers:
        return ProblemKind.REPEATED_OPTION, "each option once"
    return None, ""


def _read_options(drafts: list[_Draft]) -> tuple[Section, ...]:
    """Parse the option lines of all sections in one pass of `configparser`."""
    lines = []
    for index, draft in enumerate(drafts):
        lines.append(f"[{index}]")
        lines.extend(draft.option_lines)
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        default_section="",
        empty_lines_in_values=False,
    )
    parser.read_string("\n".join(lines))
    return tuple(
        Section(draft.name, draft.line, dict(parser[str(index)]), draft.line_numbers)
        for index, draft in enumerate(drafts)
        if draft.line
    )


def _has_content(line: str) -> bool:
    return bool(line.strip()) and not line.startswith(("#", ";"))
