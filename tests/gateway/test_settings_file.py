"""Digest of the settings in force and of the file on disk."""

import pathlib

from chervilpitch.gateway.settings_file import SettingsFile

EXAMPLE = next(pathlib.Path("examples/gateway").glob("*.ini"))


def test_a_change_is_in_force_only_after_it_was_read(tmp_path):
    path = tmp_path / "gateway.ini"
    path.write_text(EXAMPLE.read_text())
    settings_file = SettingsFile(str(path))
    before = settings_file.digest
    path.write_text(EXAMPLE.read_text() + "\n; changed\n")
    assert settings_file.digest == before != settings_file.digest_on_disk
    assert settings_file.load().is_ok()
    assert settings_file.digest == settings_file.digest_on_disk


def test_settings_that_are_invalid_do_not_come_into_force(tmp_path):
    path = tmp_path / "gateway.ini"
    path.write_text(EXAMPLE.read_text())
    settings_file = SettingsFile(str(path))
    before = settings_file.digest
    path.write_text("[instance]\n")
    assert settings_file.load().is_err()
    assert settings_file.digest == before
    path.unlink()
    assert settings_file.digest_on_disk == "unreadable"
