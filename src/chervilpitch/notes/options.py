"""Models that validate the options of a section."""

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
    "NoteOptions",
    "PARTIAL_MODELS",
    "build_item",
    "is_valid_name",
    "option_name",
]

ALL_ACCOUNTS = "*"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
SEAT_NUMBER_PATTERN = re.compile(r"0|[1-9][0-9]{0,5}")
ADDRESS_PATTERN = re.compile(r"(\[[0-9a-fA-F:]+\]|[0-9.]+):([1-9][0-9]{0,4})")
MAX_PORT = 65_535
MAX_REVISION = 2**53
MAX_PER_S = 1e9
MAX_TIMEOUT_S = 3_600.0
MAX_SLOTS = 100_000
MAX_ACCOUNT_NAMES = 1_000
MAX_CONNECTIONS = 1_000_000
PREFIX_PATTERN = r"^/$|^(/[A-Za-z0-9._~!$&'()*+,:;=@%-]+)+$"
FAILURE_DOMAIN_PATTERN = (
    r"^[A-Za-z0-9][A-Za-z0-9._-]{0,49}/[A-Za-z0-9][A-Za-z0-9._-]{0,49}$"
)


def _validate_whole_number(value: Any) -> Any:
    """Reject spellings of a whole number that ``int`` accepts, such as ``+1``."""
    if isinstance(value, str) and not re.fullmatch(r"[0-9]{1,16}", value):
        raise ValueError("expected a whole number of 1 to 16 digits")
    return value


def _parse_yes_or_no(value: Any) -> Any:
    """Parse ``yes`` or ``no``."""
    if value not in ("yes", "no"):
        raise ValueError("expected yes or no")
    return value == "yes"


def _parse_account_names(value: Any) -> Any:
    """Parse a list of account names; ``*`` (all accounts) gives an empty tuple."""
    if value == ALL_ACCOUNTS:
        return ()
    names = tuple(name.strip() for name in value.split(","))
    if len(names) > MAX_ACCOUNT_NAMES or len(set(names)) < len(names):
        raise ValueError("too many account names, or an account name is repeated")
    if not all(map(NAME_PATTERN.fullmatch, names)):
        raise ValueError("expected account names joined by commas")
    return names


def _parse_digests(value: Any) -> Any:
    """Parse a list of SHA-256 digests."""
    digests = tuple(digest.strip() for digest in value.split(","))
    if not all(map(DIGEST_PATTERN.fullmatch, digests)):
        raise ValueError("expected SHA-256 digests joined by commas")
    return digests


def _validate_address(value: str) -> str:
    """Check that a value is an IP address with a port."""
    match = ADDRESS_PATTERN.fullmatch(value)
    if match is None or int(match[2]) > MAX_PORT:
        raise ValueError("expected an IP address and a port")
    ipaddress.ip_address(match[1].strip("[]"))
    return value


def _float_type(allowed: str, **limits: Any) -> Any:
    return Annotated[float, Field(allow_inf_nan=False, description=allowed, **limits)]


def _int_type(allowed: str, **limits: Any) -> Any:
    return Annotated[
        int,
        BeforeValidator(_validate_whole_number),
        Field(description=allowed, **limits),
    ]


Name = Annotated[
    str,
    Field(
        pattern=f"^{NAME_PATTERN.pattern}$",
        description="a name of letters, digits, . _ -",
    ),
]
YesNo = Annotated[
    bool, BeforeValidator(_parse_yes_or_no), Field(description="yes or no")
]
FailureDomain = Annotated[
    str, Field(pattern=FAILURE_DOMAIN_PATTERN, description="region/domain")
]
Rate = _float_type("a number above 0, at most 1e9", gt=0, le=MAX_PER_S)
Burst = _float_type("a number from 1 to 1e9", ge=1, le=MAX_PER_S)
Timeout = _float_type("seconds above 0, at most 3600", gt=0, le=MAX_TIMEOUT_S)
Slots = _int_type("a whole number from 1 to 100000", ge=1, le=MAX_SLOTS)
Connections = _int_type("a whole number from 1 to 1000000", ge=1, le=MAX_CONNECTIONS)
Revision = _int_type("a whole number from 1", ge=1, le=MAX_REVISION)
SectionCount = _int_type("number of sections after [note]", ge=0, le=MAX_REVISION)


def option_name(field: str) -> str:
    """Return the option name of a field in a release note.

    Parameters
    ----------
    field : str
        Field name.

    Returns
    -------
    str
        Name of the option.

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
            pattern=f"^({DIGEST_PATTERN.pattern})?$",
            description="digest of the note before, empty for revision 1",
        ),
    ] = ""
    replaces: Annotated[
        tuple[str, ...],
        BeforeValidator(_parse_digests),
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
        Field(
            pattern=PREFIX_PATTERN,
            max_length=500,
            description="a path without a trailing slash",
        ),
    ]
    service: Name
    timeout_s: Timeout
    idempotent: YesNo
    accounts: Annotated[
        tuple[str, ...],
        BeforeValidator(_parse_account_names),
        Field(description="up to 1000 names joined by commas, or * for every account"),
    ] = ()


class _UpstreamOptions(_Options):
    service: Name
    address: Annotated[
        str,
        AfterValidator(_validate_address),
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


def _partial_model(model: type[BaseModel]) -> type[BaseModel]:
    """Return a model with the same fields, all of them optional."""
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


PARTIAL_MODELS = {kind: _partial_model(model) for kind, model in MODELS.items()}
_NAME_PATTERNS = {ItemKind.KEY: DIGEST_PATTERN, ItemKind.SEAT: SEAT_NUMBER_PATTERN}
_ITEM_CLASSES = {
    ItemKind.ACCOUNT: ClientAccount,
    ItemKind.KEY: Key,
    ItemKind.ROUTE: Route,
    ItemKind.UPSTREAM: Upstream,
}


def is_valid_name(kind: ItemKind, name: str) -> bool:
    """Whether a name is valid for an item of a kind.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Name in the header of the section.

    Returns
    -------
    bool
        Whether the name is valid.

    Examples
    --------
    >>> is_valid_name(ItemKind.SEAT, "07")
    False
    """
    return _NAME_PATTERNS.get(kind, NAME_PATTERN).fullmatch(name) is not None


def build_item(kind: ItemKind, name: str, fields: dict[str, Any]) -> Item:
    """Build an item from its name and validated fields.

    Parameters
    ----------
    kind : ItemKind
        Kind of the item.
    name : str
        Valid name of the item.
    fields : dict
        Values of all fields except the name.

    Returns
    -------
    Item
        Item of the given kind.

    Examples
    --------
    >>> build_item(ItemKind.SEAT, "3", {"failure_domain": "punjab/a"})
    Seat(number=3, failure_domain='punjab/a')
    """
    if kind is ItemKind.SEAT:
        return Seat(int(name), **fields)
    return _ITEM_CLASSES[kind](name, **fields)
