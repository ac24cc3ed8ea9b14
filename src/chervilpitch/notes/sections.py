"""Splits the text of a release note into sections and their options."""

import configparser
import re
from typing import NamedTuple

from .problems import NoteProblem, ProblemKind

__all__ = ["Section", "hidden_key", "shortened", "split_sections"]

MAX_PROBLEMS = 100
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
    sections: list[Section] = []
    problems: list[NoteProblem] = []
    header, start, body = "", 0, []
    for number, line in enumerate([*text.split("\n"), "[end]"], 1):
        if not line.startswith("["):
            body.append(line)
            continue
        if start or any(map(_has_content, body)):
            section = _read_section(header, start, body, file, problems)
            sections.append(section)
        match = HEADER.fullmatch(line)
        if match is None:
            seen = hidden_key(line.strip("[] "))
            problems.append(
                NoteProblem(
                    ProblemKind.BAD_SECTION, file, number, "", "", seen, "[section]"
                )
            )
        header, start, body = match[1] if match else "", number, []
    return tuple(sections), tuple(problems)


def _has_content(line: str) -> bool:
    return bool(line.strip()) and not line.startswith(("#", ";"))


def _read_section(
    header: str, start: int, body: list[str], file: str, problems: list[NoteProblem]
) -> Section:
    """Read the options of one section, one attempt after each bad line."""
    shown = hidden_key(header)

    def refuse(kind: ProblemKind, index: int, option: str, allowed: str) -> None:
        seen = HIDDEN if HIDDEN in shown else shortened(body[index].strip())
        line = start + index + 1
        problems.append(NoteProblem(kind, file, line, shown, option, seen, allowed))
        body[index] = ""

    for index, line in enumerate(body):
        if line[:1].isspace() and line.strip():
            refuse(ProblemKind.BAD_LINE, index, "", "a line without indentation")
    while len(problems) <= MAX_PROBLEMS:
        parser = _parser()
        try:
            parser.read_string("[section]\n" + "\n".join(body))
        except configparser.DuplicateOptionError as error:
            index = error.lineno - 2
            option = shortened(error.option)
            refuse(ProblemKind.REPEATED_OPTION, index, option, "each option once")
        except configparser.ParsingError as error:
            for number, _ in error.errors:
                refuse(ProblemKind.BAD_LINE, number - 2, "", "option = value")
        else:
            options = dict(parser.items("section"))
            return Section(header, start, options, _option_lines(body, start))
    return Section(header, start, {}, {})


def _parser() -> configparser.RawConfigParser:
    return configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        default_section="",
        empty_lines_in_values=False,
    )


def _option_lines(body: list[str], start: int) -> dict[str, int]:
    return {
        line.partition("=")[0].strip().lower(): start + index + 1
        for index, line in enumerate(body)
        if _has_content(line)
    }
