"""Settings of a gateway instance.

They are checked without a validation library, whose import takes as long as all
others together: an instance that restarts is back sooner.
"""

import math
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from chervilpitch import platform
from chervilpitch.ini import SettingsProblem, read_file, read_sections
from chervilpitch.observe import LogFormat

__all__ = ["GatewaySettings", "load_gateway"]

MAX_PORT = 65_535
ADDRESS_PATTERN = re.compile(r"(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
DEFAULT_MEMORY_MB = "300"
MAX_THOUSANDTHS = 2**32 - 1
"""Largest capacity that a member record can hold."""
SWITCHES = ("on", "off")
LOG_LEVELS = ("debug", "info", "warning", "error")


class InstanceSection(NamedTuple):
    """Identity of the instance and its limits: ``[instance]``.

    ``memory_mb`` is in MB. The processor time that it may use is ``cpu_share`` of
    ``cpu_cores``, or all of them if no share is stated. ``link_mbps`` is the bandwidth
    of its link in Mbit/s. What is None is not stated.
    """

    name: str
    region: str
    failure_domain: str
    host: str
    memory_mb: float
    cpu_cores: float | None
    cpu_share: float | None
    link_mbps: float | None

    @property
    def cpu_millicores(self) -> int:
        """Processor time in thousandths of a core; 0 if it is not stated."""
        if self.cpu_cores is None:
            return 0
        share = 1.0 if self.cpu_share is None else self.cpu_share
        return _whole_thousandths(self.cpu_cores * share)

    @property
    def link_kbps(self) -> int:
        """Bandwidth of the link in kbit/s; 0 if it is not stated."""
        return 0 if self.link_mbps is None else _whole_thousandths(self.link_mbps)


class ListenSection(NamedTuple):
    """Addresses and ports to listen on: ``[listen]``."""

    callers: str
    ready: str
    directory: str
    peers_port: int
    metrics_port: int


class FleetSection(NamedTuple):
    """Seed instances for gossip: ``[fleet]``."""

    seeds: tuple[str, ...]


class StoreSection(NamedTuple):
    """Address of the platform's store: ``[store]``."""

    address: str


class BoundsSection(NamedTuple):
    """Time limits to comply with: ``[bounds]``."""

    values: tuple[str, ...]


class FailureDomainsSection(NamedTuple):
    """Region of each failure domain: ``[failure-domains]``."""

    regions: tuple[str, ...]


class AdmissionSection(NamedTuple):
    """Whether services that are short of capacity have a level: ``[admission]``."""

    levels: bool


class LogSection(NamedTuple):
    """Format and level of the log: ``[log]``."""

    format: LogFormat
    level: str


class GatewaySettings(NamedTuple):
    """All settings of a gateway instance."""

    instance: InstanceSection
    listen: ListenSection
    fleet: FleetSection
    store: StoreSection
    bounds: BoundsSection
    failure_domains: FailureDomainsSection
    admission: AdmissionSection
    log: LogSection

    @property
    def limits(self) -> platform.Bounds:
        """Time limits to comply with; omitted ones have their default values."""
        return platform.decode_bounds(self.bounds.values).unwrap()

    @property
    def region_of(self) -> dict[str, str]:
        """Region of each failure domain."""
        pairs = (text.partition("=") for text in self.failure_domains.regions)
        return {domain: region for domain, _, region in pairs}

    @property
    def seeds(self) -> tuple[str, ...]:
        """Peer addresses of the seed instances."""
        hosts = (seed.rpartition(":")[0] for seed in self.fleet.seeds)
        return tuple(f"{host}:{self.listen.peers_port}" for host in hosts)


class _Option(NamedTuple):
    """How an option is read: a function that may raise ValueError, and its error."""

    read: Callable[[str], Any]
    allowed: str
    default: str | None = None


def load_gateway(
    path: str,
) -> Result[GatewaySettings, tuple[SettingsProblem, ...]]:
    """Read and validate the settings of a gateway instance.

    Parameters
    ----------
    path : str
        Path of the INI file.

    Returns
    -------
    Result
        The settings, or all problems found.
    """
    return (
        read_file(path)
        .and_then(lambda content: read_sections(content, path))
        .and_then(lambda tree: _validate(tree, path))
    )


def _read_text(text: str) -> str:
    if not text:
        raise ValueError(text)
    return text


def _read_port(text: str) -> int:
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(text)
    return port


def _read_address(text: str) -> str:
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(text)
    _read_port(match[1])
    return text


def _read_positive(text: str) -> float:
    number = float(text)
    if not 0 < number < math.inf:
        raise ValueError(text)
    return number


def _read_capacity(text: str) -> float | None:
    return _read_positive(text) if text else None


def _whole_thousandths(number: float) -> int:
    """Return a number above 0 in thousandths, as member records hold it."""
    return min(MAX_THOUSANDTHS, max(1, round(number * 1_000)))


def _read_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise ValueError(text)
    return text


def _read_switch(text: str) -> bool:
    if text not in SWITCHES:
        raise ValueError(text)
    return text == SWITCHES[0]


def _read_list(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


_TEXT = _Option(_read_text, "a text that is not empty")
_ADDRESS = _Option(_read_address, "an IP address and port, as in 127.0.0.1:8080")
_PORT = _Option(_read_port, f"a port from 1 to {MAX_PORT}")
_MEMORY = _Option(_read_positive, "a number above 0", DEFAULT_MEMORY_MB)
_CAPACITY = _Option(_read_capacity, "a number above 0, or nothing", "")
_LIST = _Option(_read_list, "texts with commas between them", "")
_SWITCH = _Option(_read_switch, " or ".join(SWITCHES), "off")
_LOG_FORMAT = _Option(LogFormat, " or ".join(LogFormat), LogFormat.JSON)
_LOG_LEVEL = _Option(_read_level, " or ".join(LOG_LEVELS), "info")
_OPTIONS = {
    "name": _TEXT,
    "region": _TEXT,
    "failure-domain": _TEXT,
    "host": _TEXT,
    "memory-mb": _MEMORY,
    "cpu-cores": _CAPACITY,
    "cpu-share": _CAPACITY,
    "link-mbps": _CAPACITY,
    "callers": _ADDRESS,
    "ready": _ADDRESS,
    "directory": _ADDRESS,
    "peers-port": _PORT,
    "metrics-port": _PORT,
    "seeds": _LIST,
    "address": _ADDRESS,
    "values": _LIST,
    "regions": _LIST,
    "levels": _SWITCH,
    "format": _LOG_FORMAT,
    "level": _LOG_LEVEL,
}


def _validate(
    tree: Mapping[str, Mapping[str, str]], path: str
) -> Result[GatewaySettings, tuple[SettingsProblem, ...]]:
    problems: list[SettingsProblem] = []
    sections = {}
    kinds = GatewaySettings.__annotations__
    for field, kind in kinds.items():
        name = _option_name(field)
        sections[field] = _read_section(kind, name, tree.get(name, {}), path, problems)
    names = {_option_name(field) for field in kinds}
    problems += [
        SettingsProblem(path, name, "", name, "a section that exists")
        for name in tree
        if name not in names
    ]
    if not problems:
        problems = _bounds_problems(sections["bounds"], path)
    if problems:
        return Err(tuple(problems))
    return Ok(GatewaySettings(**sections))


def _read_section(kind, name, options, path, problems):
    """Return a section, or None after adding what is wrong with it to the problems."""
    count = len(problems)
    known = {_option_name(field): field for field in kind._fields}
    values = {}
    for option_name, field in known.items():
        option = _OPTIONS[option_name]
        text = options.get(option_name, option.default)
        try:
            if text is None:
                raise ValueError(option_name)
            values[field] = option.read(text)
        except ValueError:
            seen = "nothing" if text is None else text
            problem = SettingsProblem(path, name, option_name, seen, option.allowed)
            problems.append(problem)
    problems += [
        SettingsProblem(path, name, option_name, text, "an option that exists")
        for option_name, text in options.items()
        if option_name not in known
    ]
    return kind(**values) if len(problems) == count else None


def _bounds_problems(section: BoundsSection, path) -> list[SettingsProblem]:
    decoded = platform.decode_bounds(section.values)
    return [
        SettingsProblem(path, "bounds", "values", text, "name=number and unit")
        for text in (decoded.unwrap_err() if decoded.is_err() else ())
    ]


def _option_name(field: str) -> str:
    return field.replace("_", "-")
