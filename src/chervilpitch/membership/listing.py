"""The platform's published list of instances as INI text.

One section per instance::

    [instance punjab-a-0]
    seat = 0
    failure-domain = punjab/a
    callers = 10.0.0.1:8080
    peers = 10.0.0.1:9090
    state = live
"""

import configparser
import io
import ipaddress
import re
from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok, Result

from chervilpitch.model import Instance, InstanceState

__all__ = [
    "ListProblem",
    "ListProblemKind",
    "format_instances",
    "parse_instances",
    "shared_seats",
]

SECTION_PREFIX = "instance "
OPTIONS = ("seat", "failure-domain", "callers", "peers", "state")
MAX_LIST_BYTES = 1 << 20
MAX_PORT = 65_535
MAX_SEAT = 1 << 20
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
FAILURE_DOMAIN = re.compile(r"[a-z0-9][a-z0-9._-]*/[a-z0-9][a-z0-9._-]*")


class ListProblemKind(StrEnum):
    """What is wrong with a published list."""

    NOT_TEXT = "not-text"
    NOT_INI = "not-ini"
    TOO_LARGE = "too-large"
    EMPTY = "empty"
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


def parse_instances(
    text: str | bytes,
) -> Result[Mapping[str, Instance], tuple[ListProblem, ...]]:
    """Read a published list; a list with any problem is refused whole.

    Two instances may share a seat, since a replacement is published before the
    instance that it replaces has left; see :func:`shared_seats`. A replacement
    on the same seat may also keep the address.

    Parameters
    ----------
    text : str or bytes
        INI text, UTF-8 when bytes.

    Returns
    -------
    result.Result
        Instances by name, or every problem found.

    Examples
    --------
    >>> parse_instances("").err()[0].kind
    <ListProblemKind.EMPTY: 'empty'>
    """
    loaded = _load(text)
    if loaded.is_err():
        return loaded
    problems: list[ListProblem] = []
    instances: dict[str, Instance] = {}
    for entry in loaded.ok():
        found = tuple(_entry_problems(entry))
        problems.extend(found)
        if not found:
            instance = _instance(entry)
            instances[instance.name] = instance
    problems.extend(_address_problems(instances))
    problems.extend(_seat_problems(instances))
    if problems:
        return Err(tuple(problems))
    if not instances:
        return Err((ListProblem(ListProblemKind.EMPTY),))
    return Ok(instances)


def format_instances(instances: Mapping[str, Instance]) -> str:
    """Write instances as INI text that :func:`parse_instances` reads.

    Parameters
    ----------
    instances : mapping of str to Instance
        Instances by name.

    Returns
    -------
    str
        INI text, sections in order of seat and name.

    Examples
    --------
    >>> one = Instance("a", 0, "punjab/a", "10.0.0.1:80", "10.0.0.1:90")
    >>> parse_instances(format_instances({"a": one})).ok() == {"a": one}
    True
    """
    parser = _parser()
    for instance in sorted(instances.values(), key=lambda i: (i.seat, i.name)):
        parser[SECTION_PREFIX + instance.name] = {
            "seat": str(instance.seat),
            "failure-domain": instance.failure_domain,
            "callers": instance.callers_address,
            "peers": instance.peers_address,
            "state": instance.state.value,
        }
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()


def shared_seats(instances: Mapping[str, Instance]) -> Mapping[int, tuple[str, ...]]:
    """Return the seats that more than one live instance takes.

    Parameters
    ----------
    instances : mapping of str to Instance
        Instances by name.

    Returns
    -------
    mapping of int to tuple of str
        Names of the live instances on each shared seat.
    """
    names: dict[int, list[str]] = {}
    for instance in instances.values():
        if instance.state is InstanceState.LIVE:
            names.setdefault(instance.seat, []).append(instance.name)
    return {seat: tuple(sorted(n)) for seat, n in names.items() if len(n) > 1}


def _parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(interpolation=None, default_section="")


def _load(text: str | bytes) -> Result[list[_Entry], tuple[ListProblem, ...]]:
    if len(text) > MAX_LIST_BYTES:
        return Err((ListProblem(ListProblemKind.TOO_LARGE, detail=str(len(text))),))
    if isinstance(text, bytes):
        try:
            text = text.decode()
        except UnicodeDecodeError as error:
            return Err((ListProblem(ListProblemKind.NOT_TEXT, detail=error.reason),))
    parser = _parser()
    try:
        parser.read_string(text)
    except configparser.Error as error:
        detail = error.message.splitlines()[0]
        return Err((ListProblem(ListProblemKind.NOT_INI, detail=detail),))
    return Ok([_Entry(name, dict(parser[name])) for name in parser.sections()])


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


def _address_problems(instances: Mapping[str, Instance]) -> Iterator[ListProblem]:
    """Yield addresses that live instances of different seats claim."""
    owners: dict[str, Instance] = {}
    for instance in instances.values():
        if instance.state is InstanceState.LEAVING:
            continue
        section = SECTION_PREFIX + instance.name
        claims = {"callers": instance.callers_address, "peers": instance.peers_address}
        for option, address in claims.items():
            owner = owners.setdefault(address, instance)
            if owner.seat != instance.seat:
                kind = ListProblemKind.DUPLICATE_ADDRESS
                yield ListProblem(kind, section, option, owner.name)


def _seat_problems(instances: Mapping[str, Instance]) -> Iterator[ListProblem]:
    domains: dict[int, str] = {}
    for instance in instances.values():
        domain = domains.setdefault(instance.seat, instance.failure_domain)
        if domain != instance.failure_domain:
            section = SECTION_PREFIX + instance.name
            kind = ListProblemKind.SEAT_IN_TWO_DOMAINS
            yield ListProblem(kind, section, "seat", str(instance.seat))
