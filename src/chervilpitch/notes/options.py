"""Validation of the options of one section."""

import ipaddress
import re
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    create_model,
)

from chervilpitch.model import ClientAccount, Key, Route, Upstream

from .changes import Item, ItemKind, Seat

__all__ = [
    "MODELS",
    "PARTIAL_MODELS",
    "NoteOptions",
    "is_valid_name",
    "item_of",
    "option_name",
]

EVERY_ACCOUNT = "*"
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
DIGEST = re.compile(r"[0-9a-f]{64}")
SEAT_NUMBER = re.compile(r"0|[1-9][0-9]{0,5}")
ADDRESS = re.compile(r"(\[[0-9a-fA-F:]+\]|[0-9.]+):([1-9][0-9]{0,4})")
MAX_PORT = 65_535
MAX_REVISION = 2**53
MAX_PER_S = 1e9
MAX_TIMEOUT_S = 3_600.0
MAX_SLOTS = 100_000
MAX_ACCOUNT_NAMES = 1_000
MAX_CONNECTIONS = 1_000_000
PREFIX = r"^/$|^(/[A-Za-z0-9._~!$&'()*+,:;=@%-]+)+$"
FAILURE_DOMAIN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,49}/[A-Za-z0-9][A-Za-z0-9._-]{0,49}$"


def _whole_number(value: Any) -> Any:
    """Refuse the looser spellings of a whole number."""
    if isinstance(value, str) and not re.fullmatch(r"[0-9]{1,16}", value):
        raise ValueError("not a whole number")
    return value


def _yes_or_no(value: Any) -> Any:
    """Return the truth value of ``yes`` or ``no``."""
    if value not in ("yes", "no"):
        raise ValueError("neither yes nor no")
    return value == "yes"


def _account_names(value: Any) -> Any:
    """Split a list of account names; ``*`` admits every account."""
    if value == EVERY_ACCOUNT:
        return ()
    names = tuple(name.strip() for name in value.split(","))
    if len(names) > MAX_ACCOUNT_NAMES or len(set(names)) < len(names):
        raise ValueError("too many names or repeated names")
    if not all(map(NAME.fullmatch, names)):
        raise ValueError("not a list of names")
    return names


def _digests(value: Any) -> Any:
    """Split a list of digests."""
    digests = tuple(digest.strip() for digest in value.split(","))
    if not all(map(DIGEST.fullmatch, digests)):
        raise ValueError("not a list of digests")
    return digests


def _numeric_address(value: str) -> str:
    """Check an IP address with a port."""
    match = ADDRESS.fullmatch(value)
    if match is None or int(match[2]) > MAX_PORT:
        raise ValueError("not an address")
    ipaddress.ip_address(match[1].strip("[]"))
    return value


def _number(allowed: str, **limits: Any) -> Any:
    return Annotated[float, Field(allow_inf_nan=False, description=allowed, **limits)]


def _count(allowed: str, **limits: Any) -> Any:
    return Annotated[
        int, BeforeValidator(_whole_number), Field(description=allowed, **limits)
    ]


Name = Annotated[
    str,
    Field(pattern=f"^{NAME.pattern}$", description="a name of letters, digits, . _ -"),
]
YesNo = Annotated[bool, BeforeValidator(_yes_or_no), Field(description="yes or no")]
FailureDomain = Annotated[
    str, Field(pattern=FAILURE_DOMAIN, description="region/domain")
]
Rate = _number("a number above 0, at most 1e9", gt=0, le=MAX_PER_S)
Burst = _number("a number from 1 to 1e9", ge=1, le=MAX_PER_S)
Timeout = _number("seconds above 0, at most 3600", gt=0, le=MAX_TIMEOUT_S)
Slots = _count("a whole number from 1 to 100000", ge=1, le=MAX_SLOTS)
Connections = _count("a whole number from 1 to 1000000", ge=1, le=MAX_CONNECTIONS)
Revision = _count("a whole number from 1", ge=1, le=MAX_REVISION)
SectionCount = _count("number of sections after [note]", ge=0, le=MAX_REVISION)


def option_name(field: str) -> str:
    """Return the spelling of a field in a release note.

    Parameters
    ----------
    field : str
        Field name.

    Returns
    -------
    str
        Option name.

    Examples
    --------
    >>> option_name("rate_per_s")
    'rate-per-s'
    """
    return field.replace("_", "-")


class _Options(BaseModel):
    model_config = ConfigDict(
        alias_generator=option_name,
        extra="forbid",
        frozen=True,
        hide_input_in_errors=True,
    )


class NoteOptions(_Options):
    """Options of the section ``[note]``."""

    revision: Revision
    follows: Annotated[
        str,
        Field(
            pattern=f"^({DIGEST.pattern})?$",
            description="digest of the note before, empty for revision 1",
        ),
    ] = ""
    replaces: Annotated[
        tuple[str, ...],
        BeforeValidator(_digests),
        Field(description="digests joined by commas"),
    ] = ()
    items: SectionCount | None = None


class _AccountOptions(_Options):
    rate_per_s: Rate
    burst: Burst


class _KeyOptions(_Options):
    account: Name


class _RouteOptions(_Options):
    prefix: Annotated[
        str,
        Field(pattern=PREFIX, max_length=500, description="a path without end slash"),
    ]
    service: Name
    timeout_s: Timeout
    idempotent: YesNo
    accounts: Annotated[
        tuple[str, ...],
        BeforeValidator(_account_names),
        Field(description="up to 1000 names joined by commas, or * for every account"),
    ] = ()


class _UpstreamOptions(_Options):
    service: Name
    address: Annotated[
        str,
        AfterValidator(_numeric_address),
        Field(description="IP address and port, 127.0.0.1:9001"),
    ]
    failure_domain: FailureDomain
    slots: Slots
    connections: Connections
    draining: YesNo = False


class _SeatOptions(_Options):
    failure_domain: FailureDomain


MODELS: dict[ItemKind, type[BaseModel]] = {
    ItemKind.ACCOUNT: _AccountOptions,
    ItemKind.KEY: _KeyOptions,
    ItemKind.ROUTE: _RouteOptions,
    ItemKind.UPSTREAM: _UpstreamOptions,
    ItemKind.SEAT: _SeatOptions,
}


def _partial(model: type[BaseModel]) -> type[BaseModel]:
    """Return a model with the same fields, none of them required."""
    fields = {
        name: (
            Annotated[
                field.annotation,
                *field.metadata,
                Field(description=field.description),
            ],
            None,
        )
        for name, field in model.model_fields.items()
    }
    return create_model(f"{model.__name__}Partial", __base__=_Options, **fields)


PARTIAL_MODELS = {kind: _partial(model) for kind, model in MODELS.items()}
_NAMES = {ItemKind.KEY: DIGEST, ItemKind.SEAT: SEAT_NUMBER}
_ITEMS = {
    ItemKind.ACCOUNT: ClientAccount,
    ItemKind.KEY: Key,
    ItemKind.ROUTE: Route,
    ItemKind.UPSTREAM: Upstream,
}


def is_valid_name(kind: ItemKind, name: str) -> bool:
    """Whether an item of a kind may have a name.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Name as written in the section.

    Returns
    -------
    bool
        Whether the name is allowed.

    Examples
    --------
    >>> is_valid_name(ItemKind.SEAT, "07")
    False
    """
    return _NAMES.get(kind, NAME).fullmatch(name) is not None


def item_of(kind: ItemKind, name: str, fields: dict[str, Any]) -> Item:
    """Build an item from its name and its validated fields.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Valid name of the item.
    fields : dict
        Every field but the name.

    Returns
    -------
    Item
        The item.

    Examples
    --------
    >>> item_of(ItemKind.SEAT, "3", {"failure_domain": "punjab/a"})
    Seat(number=3, failure_domain='punjab/a')
    """
    if kind is ItemKind.SEAT:
        return Seat(int(name), **fields)
    return _ITEMS[kind](name, **fields)
