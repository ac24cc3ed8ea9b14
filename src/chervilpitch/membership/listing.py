"""The platform's published list of instances as INI text.

One section per instance::

    [instance punjab-a-0]
    seat = 0
    failure-domain = punjab/a
    callers = 10.0.0.1:8080
    peers = 10.0.0.1:9090
    state = live
"""

import io
import re
from collections.abc import Iterator, Mapping

from result import Err, Ok, Result

from chervilpitch.model import Instance, InstanceState

from .section import (
    SECTION_PREFIX,
    ListProblem,
    ListProblemKind,
    ini_parser,
    parse_section,
)

__all__ = [
    "format_instances",
    "parse_instances",
    "shared_seats",
]

SECTION_START_PATTERN = re.compile(r"^(?=\[)", re.MULTILINE)
MAX_LIST_BYTES = 1 << 20


def parse_instances(
    text: str | bytes,
) -> Result[Mapping[str, Instance], tuple[ListProblem, ...]]:
    """Parse a published list; a list with any problem is rejected completely.

    Two instances may share a seat, since a replacement is published before the
    instance that it replaces has left; see :func:`shared_seats`. A replacement
    on the same seat may also keep the address.

    Parameters
    ----------
    text : str or bytes
        INI text; bytes are decoded as UTF-8.

    Returns
    -------
    result.Result
        Instances by name, or all problems found.

    Examples
    --------
    >>> parse_instances("").err()[0].kind
    <ListProblemKind.EMPTY: 'empty'>
    """
    loaded = _decode(text)
    if loaded.is_err():
        return loaded
    problems: list[ListProblem] = []
    instances: dict[str, Instance] = {}
    for block in _split_sections(loaded.ok()):
        read = parse_section(block)
        if read.is_err():
            problems.extend(read.err())
        elif read.ok().name in instances:
            section = SECTION_PREFIX + read.ok().name
            problems.append(ListProblem(ListProblemKind.DUPLICATE_SECTION, section))
        else:
            instances[read.ok().name] = read.ok()
    problems.extend(_address_problems(instances))
    problems.extend(_seat_problems(instances))
    if not (problems or instances):
        problems.append(ListProblem(ListProblemKind.EMPTY))
    return Err(tuple(problems)) if problems else Ok(instances)


def format_instances(instances: Mapping[str, Instance]) -> str:
    """Format instances as INI text that :func:`parse_instances` accepts.

    Parameters
    ----------
    instances : mapping of str to Instance
        Instances by name.

    Returns
    -------
    str
        INI text with sections sorted by seat and name.

    Examples
    --------
    >>> one = Instance("a", 0, "punjab/a", "10.0.0.1:80", "10.0.0.1:90")
    >>> parse_instances(format_instances({"a": one})).ok() == {"a": one}
    True
    """
    parser = ini_parser()
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
    """Return the seats that more than one live instance occupies.

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


def _decode(text: str | bytes) -> Result[str, tuple[ListProblem, ...]]:
    if len(text) > MAX_LIST_BYTES:
        return Err((ListProblem(ListProblemKind.TOO_LARGE, detail=str(len(text))),))
    if isinstance(text, str):
        return Ok(text)
    try:
        return Ok(text.decode())
    except UnicodeDecodeError as error:
        return Err((ListProblem(ListProblemKind.NOT_TEXT, detail=error.reason),))


def _split_sections(text: str) -> Iterator[str]:
    """Yield any text before the first section, and then the text of each section.

    Only section headers start with a bracket in INI text. Leading text that
    consists of comments and blank lines is skipped.
    """
    before, *blocks = SECTION_START_PATTERN.split(text)
    if not all(map(_is_comment, before.splitlines())):
        yield before
    for block in blocks:
        yield block.rstrip()


def _is_comment(line: str) -> bool:
    return not line.strip() or line.lstrip().startswith(("#", ";"))


def _address_problems(instances: Mapping[str, Instance]) -> Iterator[ListProblem]:
    """Yield a problem for each address shared by live instances on two seats."""
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
