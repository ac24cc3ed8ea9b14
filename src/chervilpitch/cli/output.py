"""Output of commands as text and JSON."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

__all__ = ["JSON_OPTION", "print_json", "print_problems", "print_table"]

JSON_OPTION = option("json", None, "Print JSON.", flag=True)


def print_json(command: Command, value: Any) -> None:
    """Print a value as JSON to standard output.

    Parameters
    ----------
    command : cleo.commands.command.Command
        The command.
    value : object
        Value that can be encoded as JSON.
    """
    command.line(json.dumps(value, indent=2, sort_keys=True))


def print_problems(command: Command, problems: Iterable[Any]) -> None:
    """Print one problem per line to standard error.

    Parameters
    ----------
    command : cleo.commands.command.Command
        The command; prints JSON if its ``--json`` option is set.
    problems : iterable of NamedTuple
        Problems of notes or settings.
    """
    for problem in problems:
        if command.option("json"):
            command.line_error(json.dumps(problem._asdict(), sort_keys=True))
        else:
            command.line_error(format_problem(problem._asdict()))


def format_problem(fields: Mapping[str, Any]) -> str:
    """Format a problem as one line of text.

    Parameters
    ----------
    fields : mapping of str to object
        Fields of the problem.

    Returns
    -------
    str
        Location of the problem, value found and values allowed.

    Examples
    --------
    >>> format_problem({"file": "a.ini", "section": "log", "option": "level",
    ...           "seen": "loud", "allowed": "debug or info"})
    "a.ini: [log] level: saw 'loud'; allowed: debug or info"
    """
    line = f":{fields['line']}" if fields.get("line") else ""
    section = f" [{fields['section'].strip('[]')}]" if fields["section"] else ""
    name = f" {fields['option']}" if fields["option"] else ""
    kind = f" {fields['kind']}:" if fields.get("kind") else ""
    where = f"{fields['file']}{line}:{section}{name}:{kind}"
    return f"{where} saw {fields['seen']!r}; allowed: {fields['allowed']}"


def print_table(command: Command, headers: list[str], rows: list[list[Any]]) -> None:
    """Print a table with aligned columns.

    Parameters
    ----------
    command : cleo.commands.command.Command
        The command.
    headers : list of str
        Column headers.
    rows : list of list
        Values of each row.
    """
    lines = [headers, *([str(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in lines) for column in range(len(headers))]
    for row in lines:
        cells = (value.ljust(width) for value, width in zip(row, widths, strict=True))
        command.line("  ".join(cells).rstrip())
