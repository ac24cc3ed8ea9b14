"""Settings of a gateway instance."""

from typing import Annotated

from pydantic import AfterValidator, Field, ValidationError
from result import Err, Ok, Result

from chervilpitch import platform

from .load import SettingsProblem, read_file, read_sections, to_problem
from .schema import Address, LogSettings, Section

__all__ = ["GatewaySettings", "load_gateway"]


def _split_list(value: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in value.split(",") if part.strip())


class InstanceSection(Section):
    """Identity of the instance: section ``[instance]``."""

    name: str = Field(min_length=1)
    region: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    host: str = Field(min_length=1)
    memory_mb: float = Field(default=300, gt=0)


class ListenSection(Section):
    """Addresses and ports to listen on: section ``[listen]``."""

    callers: Address
    ready: Address
    directory: Address
    peers_port: int = Field(gt=0, le=65_535)
    metrics_port: int = Field(gt=0, le=65_535)


class FleetSection(Section):
    """Seed instances for gossip: section ``[fleet]``."""

    seeds: Annotated[str, AfterValidator(_split_list)] = ""


class StoreSection(Section):
    """Address of the platform's store: section ``[store]``."""

    address: Address


class BoundsSection(Section):
    """Time limits to comply with: section ``[bounds]``."""

    values: Annotated[str, AfterValidator(_split_list)] = ""


class FailureDomainsSection(Section):
    """Region of each failure domain: section ``[failure-domains]``."""

    regions: Annotated[str, AfterValidator(_split_list)] = ""


class GatewaySettings(Section):
    """All settings of a gateway instance."""

    instance: InstanceSection
    listen: ListenSection
    fleet: FleetSection = FleetSection()
    store: StoreSection
    bounds: BoundsSection = BoundsSection()
    failure_domains: FailureDomainsSection = FailureDomainsSection()
    log: LogSettings = LogSettings()

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


def _validate(tree, path):
    try:
        settings = GatewaySettings.model_validate(tree)
    except ValidationError as error:
        return Err(tuple(to_problem(item, tree, path) for item in error.errors()))
    decoded = platform.decode_bounds(settings.bounds.values)
    if decoded.is_err():
        return Err(
            tuple(
                SettingsProblem(path, "bounds", "values", text, "name=number and unit")
                for text in decoded.unwrap_err()
            )
        )
    return Ok(settings)
