"""Versions that instances answer under, read from their metrics."""

import pytest

from chervilpitch.gateway.metrics import GatewayMetrics
from chervilpitch.observe.agreement import (
    InstanceVersions,
    compare_versions,
    parse_versions,
)


def rendered(version=7, revision=70, in_force="d1", on_disk="d1"):
    metrics = GatewayMetrics()
    metrics.set_state_values(
        {
            "configuration_version": version,
            "configuration_revision": revision,
            "proof_age_seconds": 0.5,
        }
    )
    metrics.set_settings("a", in_force, on_disk)
    return metrics.render().decode()


def test_metrics_name_the_configuration_and_the_settings():
    versions = parse_versions(rendered(on_disk="d2")).unwrap()
    assert versions == InstanceVersions("a", 7, 70, 0.5, "d1", "d2")
    assert versions.has_unread_settings


def test_settings_that_were_read_later_replace_the_earlier_ones():
    metrics = GatewayMetrics()
    metrics.set_settings("a", "d1", "d2")
    metrics.set_settings("a", "d2", "d2")
    assert metrics.render().decode().count("chervilpitch_settings{") == 1


@pytest.mark.parametrize("text", ["", "chervilpitch_state 1", "no metrics {", "\0"])
def test_other_pages_are_an_error(text):
    assert parse_versions(text).is_err()


def test_instances_are_grouped_by_configuration_the_newest_first():
    agreement = compare_versions(
        [
            InstanceVersions("c", 9, 90, 0.2, "d1", "d1"),
            InstanceVersions("b", 7, 70, 4.0, "d1", "d1"),
            InstanceVersions("a", 9, 90, 0.9, "d1", "d1"),
        ]
    )
    assert [group.instances for group in agreement.groups] == [("a", "c"), ("b",)]
    assert agreement.groups[0].max_proof_age_s == 0.9
    assert agreement.lagging == ("b",)
    assert not agreement.is_complete


def test_version_written_again_at_another_revision_is_one_configuration():
    agreement = compare_versions(
        [
            InstanceVersions("a", 9, 40, 0.2, "d1", "d1"),
            InstanceVersions("b", 9, 39, 0.2, "d1", "d1"),
        ]
    )
    assert [group.instances for group in agreement.groups] == [("a", "b")]
    assert agreement.is_complete


def test_instances_agree_if_they_have_one_configuration_and_read_their_settings():
    versions = InstanceVersions("a", 9, 90, 0.2, "d1", "d1")
    assert compare_versions([versions]).is_complete
    unread = versions._replace(instance="b", settings_on_disk="d2")
    assert not compare_versions([versions, unread]).is_complete
