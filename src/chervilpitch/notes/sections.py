"""Splits the text of a release note into sections and their options."""

import configparser
import re
from typing import NamedTuple

from .problems import NoteProblem, ProblemKind

__all__ = ["Section", "hidden_key", "shortened", "split_sections"]

MAX_PROBLEMS = 100
MAX_SECTIONS = 20_000
MAX_SEEN_CHARACTERS = 80
HEADER = re.compile(r"\[([^\[\]]+)\]\s*")
KEY_DIGEST = re.compile(r"[0-9a-f]{64}")
HIDDEN = "(not shown)"


class Section(NamedTuple):
    """One section as written.

    Parameters
    ----------
    name : str
        Text between the brackets; empty for a malformed header.
    line : int
        Line of the header, from 1.
    options : dict of str to str
        Values as written, by option.
    lines : dict of str to int
        Line of each option, from 1.
    """

    name: str
    line: int
    options: dict[str, str]
    lines: dict[str, int]


class _Draft:
    """A section while its lines are read."""

    def __init__(self, name: str, line: int) -> None:
        self.name = name
        self.line = line
        self.kept: list[str] = []
        self.numbers: dict[str, int] = {}


def shortened(text: str) -> str:
    """Return the text, shortened for a message.

    Parameters
    ----------
    text : str
        Any text.

    Returns
    -------
    str
        At most 80 characters of it.
    """
    return text[:MAX_SEEN_CHARACTERS]


def hidden_key(section: str) -> str:
    """Return a section name without a key that was written in place of a digest.

    Parameters
    ----------
    section : str
        Section name as written.

    Returns
    -------
    str
        Section name that may be shown.

    Examples
    --------
    >>> hidden_key("added key sesame")
    'added key (not shown)'
    """
    action, _, rest = section.partition(" ")
    kind, _, name = rest.partition(" ")
    if "key" in kind.lower() and not KEY_DIGEST.fullmatch(name):
        return f"{shortened(action)} {shortened(kind)} {HIDDEN}"
    return shortened(section)


def split_sections(
    text: str, file: str
) -> tuple[tuple[Section, ...], tuple[NoteProblem, ...]]:
    """Split a text into its sections.

    Parameters
    ----------
    text : str
        Text with lines ended by a line feed.
    file : str
        Name for the problems.

    Returns
    -------
    tuple of Section
        The sections that could be read, in order.
    tuple of NoteProblem
        Every line that could not.
    """
    problems: list[NoteProblem] = []
    drafts = [_Draft("", 0)]
    for number, line in enumerate(text.split("\n"), 1):
        if len(problems) > MAX_PROBLEMS:
            break
        if len(drafts) > MAX_SECTIONS:
            problems.append(_too_many(number, file))
            break
        if line.startswith("["):
            drafts.append(_read_header(line, number, file, problems))
        elif _has_content(line):
            _read_line(drafts[-1], line, number, file, problems)
    return _read_options(drafts), tuple(problems)


def _too_many(number: int, file: str) -> NoteProblem:
    allowed = f"at most {MAX_SECTIONS} sections"
    return NoteProblem(ProblemKind.TOO_LARGE, file, number, "", "", "", allowed)


def _read_header(
    line: str, number: int, file: str, problems: list[NoteProblem]
) -> _Draft:
    """Start a section; a malformed header starts one without a name."""
    match = HEADER.fullmatch(line)
    if match is not None:
        return _Draft(match[1], number)
    seen = hidden_key(line.strip("[] "))
    kind = ProblemKind.BAD_SECTION
    problems.append(NoteProblem(kind, file, number, "", "", seen, "[section]"))
    return _Draft("", number)


def _read_line(
    draft: _Draft, line: str, number: int, file: str, problems: list[NoteProblem]
) -> None:
    """Keep a well-formed line of a section, or name its problem."""
    option = line.partition("=")[0].strip().lower()
    kind, allowed = _line_problem(line, option, draft)
    if kind is None:
        draft.numbers[option] = number
        draft.kept.append(line)
        return
    shown = hidden_key(draft.name)
    named = shortened(option) if kind is ProblemKind.REPEATED_OPTION else ""
    seen = HIDDEN if HIDDEN in shown else shortened(line.strip())
    problems.append(NoteProblem(kind, file, number, shown, named, seen, allowed))


def _line_problem(
    line: str, option: str, draft: _Draft
) -> tuple[ProblemKind | None, str]:
    """Return what is wrong with a line, and what is allowed there."""
    if not draft.line:
        return ProblemKind.BAD_LINE, "a section before the first option"
    if line[:1].isspace():
        return ProblemKind.BAD_LINE, "a line without indentation"
    if "=" not in line or not option:
        return ProblemKind.BAD_LINE, "option = value"
    if option in draft.numbers:
        return ProblemKind.REPEATED_OPTION, "each option once"
    return None, ""


def _read_options(drafts: list[_Draft]) -> tuple[Section, ...]:
    """Read the kept lines of all sections in one run of the library."""
    lines = []
    for index, draft in enumerate(drafts):
        lines.append(f"[{index}]")
        lines.extend(draft.kept)
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        default_section="",
        empty_lines_in_values=False,
    )
    parser.read_string("\n".join(lines))
    return tuple(
        Section(draft.name, draft.line, dict(parser[str(index)]), draft.numbers)
        for index, draft in enumerate(drafts)
        if draft.line
    )


def _has_content(line: str) -> bool:
    return bool(line.strip()) and not line.startswith(("#", ";"))
