"""Parser for one section of the platform's published list."""

import configparser
import functools
import ipaddress
import re
from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok, Result

from chervilpitch.model import Instance, InstanceState

__all__ = ["ListProblem", "ListProblemKind", "ini_parser", "parse_section"]

OPTIONS = ("seat", "failure-domain", "callers", "peers", "state")
MAX_PORT = 65_535
MAX_SEAT = 1 << 20
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
FAILURE_DOMAIN_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]*/[a-z0-9][a-z0-9._-]*")
SECTION_CACHE_SIZE = 8_192
SECTION_PREFIX = "instance "


class ListProblemKind(StrEnum):
    """Kind of problem in a published list."""

    NOT_TEXT = "not-text"
    NOT_INI = "not-ini"
    TOO_LARGE = "too-large"
    EMPTY = "empty"
    DUPLICATE_SECTION = "duplicate-section"
    BAD_SECTION = "bad-section"
    BAD_NAME = "bad-name"
    MISSING_OPTION = "missing-option"
    UNKNOWN_OPTION = "unknown-option"
    BAD_VALUE = "bad-value"
    DUPLICATE_ADDRESS = "duplicate-address"
    SEAT_IN_TWO_DOMAINS = "seat-in-two-domains"


class ListProblem(NamedTuple):
    """One problem of a published list.

    Parameters
    ----------
    kind : ListProblemKind
        Kind of problem.
    section : str
        Name of the section; empty if the problem concerns the whole text.
    option : str
        Name of the option; empty if the problem concerns the whole section.
    detail : str
        The invalid value, or the reason as short text.
    """

    kind: ListProblemKind
    section: str = ""
    option: str = ""
    detail: str = ""


class _RawSection(NamedTuple):
    """One section before validation."""

    section: str
    options: Mapping[str, str]


def ini_parser() -> configparser.ConfigParser:
    """Return a parser for published lists, without interpolation and defaults."""
    return configparser.ConfigParser(interpolation=None, default_section="")


@functools.lru_cache(maxsize=SECTION_CACHE_SIZE)
def parse_section(block: str) -> Result[Instance, tuple[ListProblem, ...]]:
    """Parse one section.

    Results are cached, since few sections of a large list change between updates.

    Parameters
    ----------
    block : str
        INI text of the section.

    Returns
    -------
    result.Result
        The instance, or all problems of the section.
    """
    parser = ini_parser()
    try:
        parser.read_string(block)
    except configparser.Error as error:
        detail = error.message.splitlines()[0]
        return Err((ListProblem(ListProblemKind.NOT_INI, detail=detail),))
    problems = []
    for section in parser.sections():
        entry = _RawSection(section, dict(parser[section]))
        problems.extend(_section_problems(entry))
        if not problems:
            return Ok(_instance(entry))
    return Err(tuple(problems) or (ListProblem(ListProblemKind.EMPTY),))


def _section_problems(entry: _RawSection) -> Iterator[ListProblem]:
    section = entry.section
    if not section.startswith(SECTION_PREFIX):
        yield ListProblem(ListProblemKind.BAD_SECTION, section)
        return
    if not NAME_PATTERN.fullmatch(section.removeprefix(SECTION_PREFIX)):
        yield ListProblem(ListProblemKind.BAD_NAME, section)
    for option in entry.options:
        if option not in OPTIONS:
            yield ListProblem(ListProblemKind.UNKNOWN_OPTION, section, option)
    for option in OPTIONS:
        if option not in entry.options:
            yield ListProblem(ListProblemKind.MISSING_OPTION, section, option)
        elif not _is_valid(option, entry.options[option]):
            detail = entry.options[option]
            yield ListProblem(ListProblemKind.BAD_VALUE, section, option, detail)


def _is_valid(option: str, value: str) -> bool:
    if option == "seat":
        return value.isascii() and value.isdecimal() and _is_at_most(value, MAX_SEAT)
    if option == "failure-domain":
        return FAILURE_DOMAIN_PATTERN.fullmatch(value) is not None
    if option == "state":
        return value in set(InstanceState)
    return _is_address(value)


def _is_at_most(digits: str, largest: int) -> bool:
    return len(digits) <= len(str(largest)) and int(digits) <= largest


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdecimal() and _is_at_most(port, MAX_PORT)):
        return False
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return int(port) > 0


def _instance(entry: _RawSection) -> Instance:
    options = entry.options
    return Instance(
        name=entry.section.removeprefix(SECTION_PREFIX),
        seat=int(options["seat"]),
        failure_domain=options["failure-domain"],
        callers_address=options["callers"],
        peers_address=options["peers"],
        state=InstanceState(options["state"]),
    )
