"""The ``check`` and ``diff`` commands."""

import pathlib

from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err, Ok, Result

from chervilpitch import notes
from chervilpitch.exits import ExitCode
from chervilpitch.model import EMPTY_CATALOGUE, Catalogue

from .output import JSON_OPTION, print_json, print_problems

__all__ = ["CheckCommand", "DiffCommand"]

Problems = tuple[notes.NoteProblem, ...]


class CheckCommand(Command):
    """Check release notes before they are published."""

    name = "check"
    description = "Check release notes before they are published."
    arguments = [argument("notes", "Notes in order of revision.", multiple=True)]
    options = [JSON_OPTION]
    help = """Each note is read whole and every error is named with its line. Notes that
begin with revision 1 are also applied one after the other.

Example: chervilpitch check notes/1.ini notes/2.ini"""

    def handle(self) -> int:
        """Run the command and return its exit code."""
        read = read_notes(self.argument("notes"))
        checked = read.and_then(_apply_from_first)
        if checked.is_err():
            print_problems(self, checked.unwrap_err())
            return ExitCode.BAD_NOTE
        summaries = [
            {"revision": note.revision, "digest": notes.digest(note)}
            for note in read.unwrap()
        ]
        if self.option("json"):
            print_json(self, summaries)
        else:
            for summary in summaries:
                self.line(
                    f"revision {summary['revision']}: fine, digest {summary['digest']}"
                )
        return ExitCode.SUCCESS


class DiffCommand(Command):
    """Show what the last of some release notes changes."""

    name = "diff"
    description = "Show what the last of some release notes changes."
    arguments = [argument("notes", "All notes from revision 1 on.", multiple=True)]
    options = [JSON_OPTION]
    help = "Example: chervilpitch diff notes/1.ini notes/2.ini"

    def handle(self) -> int:
        """Run the command and return its exit code."""
        compared = read_notes(self.argument("notes")).and_then(_diff_last)
        if compared.is_err():
            print_problems(self, compared.unwrap_err())
            return ExitCode.BAD_NOTE
        text = notes.format_changes(compared.unwrap()).strip()
        if self.option("json"):
            print_json(self, text.splitlines())
        else:
            self.line(text)
        return ExitCode.SUCCESS


def read_notes(paths: list[str]) -> Result[tuple[notes.ReleaseNote, ...], Problems]:
    """Read and parse files of release notes.

    Parameters
    ----------
    paths : list of str
        Paths of the files, in order of revision.

    Returns
    -------
    Result
        The notes, or all problems of all files.
    """
    read = [_read_note(path) for path in paths]
    problems = [item for result in read if result.is_err() for item in result.err()]
    if problems:
        return Err(tuple(problems))
    return Ok(tuple(result.unwrap() for result in read))


def _read_note(path: str) -> Result[notes.ReleaseNote, Problems]:
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        kind = notes.ProblemKind.DOES_NOT_EXIST
        seen = error.strerror or ""
        allowed = "a readable file"
        return Err((notes.NoteProblem(kind, path, 0, "", "", seen, allowed),))
    return notes.parse(content, path)


def _apply_from_first(read) -> Result[Catalogue, Problems]:
    if read[0].revision != 1:
        return Ok(EMPTY_CATALOGUE)
    return _apply_all(read)


def _apply_all(read) -> Result[Catalogue, Problems]:
    catalogue: Result[Catalogue, Problems] = Ok(EMPTY_CATALOGUE)
    for note in read:
        catalogue = catalogue.and_then(
            lambda before, note=note: notes.apply(before, note)
        )
    return catalogue


def _diff_last(read):
    after = _apply_all(read)
    before = _apply_all(read[:-1])
    return before.and_then(lambda b: after.map(lambda a: notes.difference(b, a)))
