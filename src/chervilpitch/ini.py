"""INI settings files, read into the options of each section.

This module imports no validation library, as an instance of the gateway starts with it.
"""

import configparser
import pathlib
from typing import NamedTuple

from result import Err, Ok, Result

__all__ = ["SettingsProblem", "read_file", "read_sections"]

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


def read_file(path: str) -> Result[bytes, tuple[SettingsProblem, ...]]:
    """Read the bytes of a settings file, or return why it cannot be read."""
    try:
        return Ok(pathlib.Path(path).read_bytes())
    except OSError as error:
        problem = SettingsProblem(path, "", "", str(error.strerror), "a readable file")
        return Err((problem,))


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
