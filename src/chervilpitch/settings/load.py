"""Read and validate the settings of an instance."""

import pathlib
from typing import Any

from pydantic import ValidationError
from result import Err, Ok, Result

from chervilpitch.ini import SettingsProblem, read_file, read_sections

from .schema import MIN_SECRET_BYTES, Settings

__all__ = [
    "load",
    "parse",
    "read_secret",
]


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


def _validate(
    tree: dict[str, dict[str, str]], file: str
) -> Result[Settings, tuple[SettingsProblem, ...]]:
    try:
        return Ok(Settings.model_validate(tree))
    except ValidationError as error:
        return Err(
            tuple(
                _to_problem(error_details, tree, file)
                for error_details in error.errors()
            )
        )


def _to_problem(
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
