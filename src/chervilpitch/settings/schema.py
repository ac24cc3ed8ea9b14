"""Schema of the settings of an instance."""

import re
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

from chervilpitch.errors import ChervilpitchError

__all__ = [
    "CallersSettings",
    "DuplicateAddressError",
    "FleetSettings",
    "InstanceSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
]

ADDRESS_PATTERN = re.compile(r"(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
FAILURE_DOMAIN_PATTERN = re.compile(r"[a-z0-9-]+/[a-z0-9-]+")
MAX_PORT = 65_535
MAX_SEATS = 16_384
MIN_SECRET_BYTES = 16


class DuplicateAddressError(ChervilpitchError, ValueError):
    """Two listeners of one instance have the same address."""


class AddressError(ChervilpitchError, ValueError):
    """A value is not an IP address and port."""


class FailureDomainError(ChervilpitchError, ValueError):
    """A value is not a valid failure domain."""


def _validate_address(text: str) -> str:
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None or not 0 < int(match[1]) <= MAX_PORT:
        raise AddressError("must be an IP address and port, as in 127.0.0.1:8080")
    return text


def _validate_failure_domain(text: str) -> str:
    if FAILURE_DOMAIN_PATTERN.fullmatch(text) is None:
        raise FailureDomainError("must be region/domain in lower case, as in punjab/a")
    return text


Address = Annotated[str, AfterValidator(_validate_address)]
FailureDomain = Annotated[str, AfterValidator(_validate_failure_domain)]
Seconds = Annotated[float, Field(gt=0, le=3_600, allow_inf_nan=False)]


def _to_option_name(field: str) -> str:
    return field.replace("_", "-")


class Section(BaseModel):
    """Base class of sections; rejects unknown options."""

    model_config = ConfigDict(
        extra="forbid",
        frozen=True,
        alias_generator=_to_option_name,
        populate_by_name=True,
    )


class InstanceSettings(Section):
    """Identity and addresses of the instance: section ``[instance]``."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    seat: int = Field(ge=0, lt=MAX_SEATS)
    failure_domain: FailureDomain
    callers: Address
    peers: Address
    admin: Address
    stop_within_s: Seconds = 120.0

    @model_validator(mode="after")
    def _validate_distinct_addresses(self) -> "InstanceSettings":
        if len({self.callers, self.peers, self.admin}) < 3:
            raise DuplicateAddressError("callers, peers and admin must differ")
        return self


class FleetSettings(Section):
    """Settings shared by all instances: section ``[fleet]``."""

    secret_file: str = Field(min_length=1)


class PlatformSettings(Section):
    """Access to the configuration service: section ``[platform]``."""

    endpoint: Address
    read_timeout_s: Seconds = 2.0
    watch_s: Seconds = 2.0


class CallersSettings(Section):
    """Limits for callers: section ``[callers]``."""

    threads: int = Field(default=32, ge=2, le=512)
    requests_per_account: int = Field(default=12, ge=1, le=512)
    stall_timeout_s: Seconds = 10.0
    max_header_bytes: int = Field(default=32_768, ge=1_024, le=1_048_576)
    max_body_bytes: int = Field(default=1_073_741_824, ge=1)

    @model_validator(mode="after")
    def _validate_thread_share(self) -> "CallersSettings":
        if self.requests_per_account >= self.threads:
            raise ThreadShareError("requests-per-account must be below threads")
        return self


class ThreadShareError(ChervilpitchError, ValueError):
    """One client account could occupy all threads."""


class LogSettings(Section):
    """Format and level of the log: section ``[log]``."""

    format: Literal["json", "text"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(Section):
    """All settings of an instance."""

    instance: InstanceSettings
    fleet: FleetSettings
    platform: PlatformSettings
    callers: CallersSettings = CallersSettings()
    log: LogSettings = LogSettings()
