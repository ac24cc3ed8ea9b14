"""Schema of an instance's settings."""

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

ADDRESS = re.compile(r"(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
FAILURE_DOMAIN = re.compile(r"[a-z0-9-]+/[a-z0-9-]+")
MAX_PORT = 65_535
MAX_SEATS = 16_384
MIN_SECRET_BYTES = 16


class DuplicateAddressError(ChervilpitchError, ValueError):
    """Two options of one instance name the same address."""


class AddressError(ChervilpitchError, ValueError):
    """A value is not an IP number and port."""


class FailureDomainError(ChervilpitchError, ValueError):
    """A value is not a failure domain."""


def _check_address(text: str) -> str:
    match = ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match[1]) <= MAX_PORT:
        raise AddressError("an IP number and port, as in 127.0.0.1:8080")
    return text


def _check_failure_domain(text: str) -> str:
    if FAILURE_DOMAIN.fullmatch(text) is None:
        raise FailureDomainError("region/domain in lower case, as in punjab/a")
    return text


Address = Annotated[str, AfterValidator(_check_address)]
FailureDomain = Annotated[str, AfterValidator(_check_failure_domain)]
Seconds = Annotated[float, Field(gt=0, le=3_600, allow_inf_nan=False)]


def _option_name(field: str) -> str:
    return field.replace("_", "-")


class Section(BaseModel):
    """A section of the file: unknown options are errors."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, alias_generator=_option_name, populate_by_name=True
    )


class InstanceSettings(Section):
    """Who this instance is: ``[instance]``."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    seat: int = Field(ge=0, lt=MAX_SEATS)
    failure_domain: FailureDomain
    callers: Address
    peers: Address
    admin: Address
    stop_within_s: Seconds = 120.0

    @model_validator(mode="after")
    def _addresses_differ(self) -> "InstanceSettings":
        if len({self.callers, self.peers, self.admin}) < 3:
            raise DuplicateAddressError("callers, peers and admin must differ")
        return self


class FleetSettings(Section):
    """What all instances share: ``[fleet]``."""

    secret_file: str = Field(min_length=1)


class PlatformSettings(Section):
    """Where the configuration service is: ``[platform]``."""

    endpoint: Address
    read_timeout_s: Seconds = 2.0
    watch_s: Seconds = 2.0


class CallersSettings(Section):
    """Limits on callers: ``[callers]``."""

    threads: int = Field(default=32, ge=2, le=512)
    requests_per_account: int = Field(default=12, ge=1, le=512)
    stall_timeout_s: Seconds = 10.0
    max_header_bytes: int = Field(default=32_768, ge=1_024, le=1_048_576)
    max_body_bytes: int = Field(default=1_073_741_824, ge=1)

    @model_validator(mode="after")
    def _accounts_leave_threads(self) -> "CallersSettings":
        if self.requests_per_account >= self.threads:
            raise ThreadShareError("requests-per-account must be below threads")
        return self


class ThreadShareError(ChervilpitchError, ValueError):
    """One client account could take every thread."""


class LogSettings(Section):
    """How the instance logs: ``[log]``."""

    format: Literal["json", "text"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(Section):
    """All settings of an instance."""

    instance: InstanceSettings
    fleet: FleetSettings
    platform: PlatformSettings
    callers: CallersSettings = CallersSettings()
    log: LogSettings = LogSettings()
