"""Read the settings of an instance from an INI file."""

import configparser
import pathlib
from typing import Any, NamedTuple

from pydantic import ValidationError
from result import Err, Ok, Result

from .schema import MIN_SECRET_BYTES, Settings

__all__ = [
    "SettingsProblem",
    "load",
    "parse",
    "read_file",
    "read_secret",
    "read_sections",
    "to_problem",
]

MAX_SETTINGS_BYTES = 1_048_576


class SettingsProblem(NamedTuple):
    """One error in a settings file.

    Parameters
    ----------
    file : str
        Path of the file.
    section : str
        Section, empty when the whole file is meant.
    option : str
        Option, empty when the whole section is meant.
    seen : str
        The value found.
    allowed : str
        What would be accepted.
    """

    file: str
    section: str
    option: str
    seen: str
    allowed: str

    def __str__(self) -> str:
        where = f"[{self.section}]" if self.section else "whole file"
        option = f" {self.option}" if self.option else ""
        return f"{self.file}: {where}{option}: saw {self.seen!r}; {self.allowed}"


def load(path: str) -> Result[Settings, tuple[SettingsProblem, ...]]:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        Path of the INI file.

    Returns
    -------
    Result
        The settings, or every problem found.
    """
    return read_file(path).and_then(lambda content: parse(content, path))


def read_file(path: str) -> Result[bytes, tuple[SettingsProblem, ...]]:
    """Return the bytes of a settings file, or why it cannot be read."""
    try:
        return Ok(pathlib.Path(path).read_bytes())
    except OSError as error:
        problem = SettingsProblem(path, "", "", str(error.strerror), "a readable file")
        return Err((problem,))


def parse(
    content: bytes, file: str = "settings"
) -> Result[Settings, tuple[SettingsProblem, ...]]:
    """Check the bytes of a settings file.

    Parameters
    ----------
    content : bytes
        INI text in UTF-8.
    file : str, optional
        Name used in problems.

    Returns
    -------
    Result
        The settings, or every problem found.

    Examples
    --------
    >>> parse(b"[instance]").is_err()
    True
    """
    return read_sections(content, file).and_then(lambda tree: _validate(tree, file))


def read_sections(
    content: bytes, file: str
) -> Result[dict[str, dict[str, str]], tuple[SettingsProblem, ...]]:
    """Return the options of each section, or every problem with the INI text."""
    if len(content) > MAX_SETTINGS_BYTES:
        seen = f"{len(content)} bytes"
        allowed = f"at most {MAX_SETTINGS_BYTES} bytes"
        return Err((SettingsProblem(file, "", "", seen, allowed),))
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        seen = f"byte {error.start} is not UTF-8"
        return Err((SettingsProblem(file, "", "", seen, "UTF-8 text"),))
    return _parse_sections(text, file)


def read_secret(settings: Settings) -> Result[bytes, SettingsProblem]:
    """Read the fleet secret that authenticates peers and tickets.

    Parameters
    ----------
    settings : Settings
        Checked settings; the file they name is read.

    Returns
    -------
    Result
        The secret, or the problem with its file.
    """
    path = settings.fleet.secret_file
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        seen = str(error.strerror)
        return Err(
            SettingsProblem(path, "fleet", "secret-file", seen, "a readable file")
        )
    if len(secret) < MIN_SECRET_BYTES:
        allowed = f"at least {MIN_SECRET_BYTES} bytes"
        seen = f"{len(secret)} bytes"
        return Err(SettingsProblem(path, "fleet", "secret-file", seen, allowed))
    return Ok(secret)


def _parse_sections(
    text: str, file: str
) -> Result[dict[str, dict[str, str]], tuple[SettingsProblem, ...]]:
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text, file)
    except configparser.DuplicateSectionError as error:
        problem = SettingsProblem(file, error.section, "", "twice", "one such section")
    except configparser.DuplicateOptionError as error:
        problem = SettingsProblem(
            file, error.section, error.option, "twice", "one such option"
        )
    except configparser.Error as error:
        problem = SettingsProblem(file, "", "", error.message, "sections and options")
    else:
        return Ok({name: dict(parser[name]) for name in parser.sections()})
    return Err((problem,))


def _validate(
    tree: dict[str, dict[str, str]], file: str
) -> Result[Settings, tuple[SettingsProblem, ...]]:
    try:
        return Ok(Settings.model_validate(tree))
    except ValidationError as error:
        return Err(tuple(to_problem(item, tree, file) for item in error.errors()))


def to_problem(
    item: Any, tree: dict[str, dict[str, str]], file: str
) -> SettingsProblem:
    """Return the problem for an error of the schema."""
    section, option = ([str(part) for part in item["loc"]] + ["", ""])[:2]
    seen = tree.get(section, {}).get(option, "")
    if item["type"] == "missing":
        seen = "nothing"
    return SettingsProblem(file, section, option.replace("_", "-"), seen, item["msg"])
