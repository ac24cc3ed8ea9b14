"""One section of the platform's published list."""

import configparser
import functools
import ipaddress
import re
from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok, Result

from chervilpitch.model import Instance, InstanceState

__all__ = ["ListProblem", "ListProblemKind", "ini_parser", "read_section"]

OPTIONS = ("seat", "failure-domain", "callers", "peers", "state")
MAX_PORT = 65_535
MAX_SEAT = 1 << 20
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
FAILURE_DOMAIN = re.compile(r"[a-z0-9][a-z0-9._-]*/[a-z0-9][a-z0-9._-]*")
BLOCKS_KEPT = 8_192
SECTION_PREFIX = "instance "


class ListProblemKind(StrEnum):
    """What is wrong with a published list."""

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
        What is wrong.
    section : str
        Section concerned; empty for the whole text.
    option : str
        Option concerned; empty for the whole section.
    detail : str
        The value or the reason as short text.
    """

    kind: ListProblemKind
    section: str = ""
    option: str = ""
    detail: str = ""


class _Entry(NamedTuple):
    """One section while it is checked."""

    section: str
    options: Mapping[str, str]


def ini_parser() -> configparser.ConfigParser:
    """Return a parser of published lists, without interpolation and defaults."""
    return configparser.ConfigParser(interpolation=None, default_section="")


@functools.lru_cache(maxsize=BLOCKS_KEPT)
def read_section(block: str) -> Result[Instance, tuple[ListProblem, ...]]:
    """Read one section; of a large list few sections change between readings.

    Parameters
    ----------
    block : str
        INI text of the section.

    Returns
    -------
    result.Result
        The instance, or every problem of the section.
    """
    parser = ini_parser()
    try:
        parser.read_string(block)
    except configparser.Error as error:
        detail = error.message.splitlines()[0]
        return Err((ListProblem(ListProblemKind.NOT_INI, detail=detail),))
    problems = []
    for section in parser.sections():
        entry = _Entry(section, dict(parser[section]))
        problems.extend(_entry_problems(entry))
        if not problems:
            return Ok(_instance(entry))
    return Err(tuple(problems) or (ListProblem(ListProblemKind.EMPTY),))


def _entry_problems(entry: _Entry) -> Iterator[ListProblem]:
    section = entry.section
    if not section.startswith(SECTION_PREFIX):
        yield ListProblem(ListProblemKind.BAD_SECTION, section)
        return
    if not NAME.fullmatch(section.removeprefix(SECTION_PREFIX)):
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
        return value.isascii() and value.isdecimal() and _fits(value, MAX_SEAT)
    if option == "failure-domain":
        return FAILURE_DOMAIN.fullmatch(value) is not None
    if option == "state":
        return value in set(InstanceState)
    return _is_address(value)


def _fits(digits: str, largest: int) -> bool:
    return len(digits) <= len(str(largest)) and int(digits) <= largest


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdecimal() and _fits(port, MAX_PORT)):
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


def _instance(entry: _Entry) -> Instance:
    options = entry.options
    return Instance(
        name=entry.section.removeprefix(SECTION_PREFIX),
        seat=int(options["seat"]),
        failure_domain=options["failure-domain"],
        callers_address=options["callers"],
        peers_address=options["peers"],
        state=InstanceState(options["state"]),
    )
