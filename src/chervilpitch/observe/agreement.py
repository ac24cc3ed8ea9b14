"""Which configuration and settings instances answer under, from their metrics."""

from collections.abc import Iterable
from typing import NamedTuple

from prometheus_client.parser import text_string_to_metric_families
from result import Err, Ok, Result

from chervilpitch.errors import PeerError

__all__ = [
    "Agreement",
    "InstanceVersions",
    "VersionGroup",
    "compare_versions",
    "parse_versions",
]

STATE_METRIC = "chervilpitch_state"
SETTINGS_METRIC = "chervilpitch_settings"


class InstanceVersions(NamedTuple):
    """What one instance answers under.

    Parameters
    ----------
    instance : str
        Name of the instance.
    version, revision : int
        Version of the configuration in force, and the store's revision of it.
    proof_age_s : float
        Age in seconds of the proof that no newer version existed.
    settings, settings_on_disk : str
        Digest of the settings file as it was read, and as it is now.
    """

    instance: str
    version: int
    revision: int
    proof_age_s: float
    settings: str
    settings_on_disk: str

    @property
    def has_unread_settings(self) -> bool:
        """Whether the settings file has changed since the instance read it."""
        return self.settings != self.settings_on_disk


class VersionGroup(NamedTuple):
    """Instances that answer under the same configuration.

    Parameters
    ----------
    version, revision : int
        The configuration, and the highest revision at which one of them read it. It
        has several if it was written again after the store was restored from a copy.
    instances : tuple of str
        Names of the instances, in order.
    max_proof_age_s : float
        Age in seconds of the oldest proof among them.
    """

    version: int
    revision: int
    instances: tuple[str, ...]
    max_proof_age_s: float


class Agreement(NamedTuple):
    """Configurations in force in a fleet.

    Parameters
    ----------
    groups : tuple of VersionGroup
        One group for each configuration, the newest first.
    unread_settings : tuple of str
        Instances whose settings file has changed but was not read.
    """

    groups: tuple[VersionGroup, ...]
    unread_settings: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether all instances answer under one configuration and their settings."""
        return len(self.groups) <= 1 and not self.unread_settings

    @property
    def lagging(self) -> tuple[str, ...]:
        """Instances that answer under an older configuration than others."""
        return tuple(name for group in self.groups[1:] for name in group.instances)


def parse_versions(text: str) -> Result[InstanceVersions, PeerError]:
    """Read the versions of an instance from its metrics.

    Parameters
    ----------
    text : str
        Metrics in the Prometheus text format.

    Returns
    -------
    Result
        The versions, or the error if a metric is missing or malformed.
    """
    state: dict[str, float] = {}
    labels: dict[str, str] = {}
    try:
        for family in text_string_to_metric_families(text):
            if family.name == STATE_METRIC:
                state |= {item.labels["name"]: item.value for item in family.samples}
            elif family.name == SETTINGS_METRIC and family.samples:
                labels = dict(family.samples[-1].labels)
        return Ok(
            InstanceVersions(
                labels["instance"],
                int(state["configuration_version"]),
                int(state["configuration_revision"]),
                state["proof_age_seconds"],
                labels["in_force"],
                labels["on_disk"],
            )
        )
    except (KeyError, ValueError) as error:
        return Err(PeerError(f"not the metrics of a gateway ({error})"))


def compare_versions(instances: Iterable[InstanceVersions]) -> Agreement:
    """Group instances by the configuration that they answer under.

    Parameters
    ----------
    instances : iterable of InstanceVersions
        What each instance answers under.

    Examples
    --------
    >>> new = InstanceVersions("a", 4, 90, 0.5, "d1", "d1")
    >>> old = InstanceVersions("b", 3, 70, 6.0, "d1", "d2")
    >>> agreement = compare_versions([old, new])
    >>> agreement.lagging, agreement.unread_settings
    (('b',), ('b',))
    """
    known = sorted(instances)
    by_version: dict[int, list[InstanceVersions]] = {}
    for item in known:
        by_version.setdefault(item.version, []).append(item)
    groups = tuple(
        VersionGroup(
            version,
            max(item.revision for item in items),
            tuple(item.instance for item in items),
            max(item.proof_age_s for item in items),
        )
        for version, items in sorted(by_version.items(), reverse=True)
    )
    unread = tuple(item.instance for item in known if item.has_unread_settings)
    return Agreement(groups, unread)
