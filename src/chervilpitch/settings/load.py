"""Read and validate the settings of an instance."""

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
    """An error in a settings file.

    Parameters
    ----------
    file : str
        Path of the file.
    section : str
        Section; empty if the problem concerns the whole file.
    option : str
        Option; empty if the problem concerns the whole section.
    seen : str
        The value found.
    allowed : str
        Description of the accepted values.
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
    """Read and validate a settings file.

    Parameters
    ----------
    path : str
        Path of the INI file.

    Returns
    -------
    Result
        The settings, or all problems found.
    """
    return read_file(path).and_then(lambda content: parse(content, path))


def read_file(path: str) -> Result[bytes, tuple[SettingsProblem, ...]]:
    """Read the bytes of a settings file, or return why it cannot be read."""
    try:
        return Ok(pathlib.Path(path).read_bytes())
    except OSError as error:
        problem = SettingsProblem(path, "", "", str(error.strerror), "a readable file")
        return Err((problem,))


def parse(
    content: bytes, file: str = "settings"
) -> Result[Settings, tuple[SettingsProblem, ...]]:
    """Parse and validate the content of a settings file.

    Parameters
    ----------
    content : bytes
        INI text in UTF-8.
    file : str, optional
        File name to report in problems.

    Returns
    -------
    Result
        The settings, or all problems found.

    Examples
    --------
    >>> parse(b"[instance]").is_err()
    True
    """
    return read_sections(content, file).and_then(lambda tree: _validate(tree, file))


def read_sections(
    content: bytes, file: str
) -> Result[dict[str, dict[str, str]], tuple[SettingsProblem, ...]]:
    """Parse INI text into the options of each section, without validation."""
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
    """Read the secret shared by all instances, which authenticates peers and tickets.

    Parameters
    ----------
    settings : Settings
        Validated settings, which name the file.

    Returns
    -------
    Result
        The secret without surrounding white space, or the problem with its file.
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
        return Err(
            tuple(
                to_problem(error_details, tree, file)
                for error_details in error.errors()
            )
        )


def to_problem(
    error_details: Any, tree: dict[str, dict[str, str]], file: str
) -> SettingsProblem:
    """Convert a validation error of pydantic to a problem."""
    section, option = ([str(part) for part in error_details["loc"]] + ["", ""])[:2]
    seen = tree.get(section, {}).get(option, "")
    if error_details["type"] == "missing":
        seen = "nothing"
    return SettingsProblem(
        file, section, option.replace("_", "-"), seen, error_details["msg"]
    )
