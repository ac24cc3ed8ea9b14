"""The ``timeline`` command."""

import pathlib
import sys

import urllib3
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Result
from urllib3.exceptions import HTTPError

from chervilpitch.errors import PeerError
from chervilpitch.exits import ExitCode
from chervilpitch.observe import (
    StampedEvent,
    decode_events,
    encode_events,
    merge_events,
    render_html,
    render_svg,
    render_text,
)

__all__ = ["TimelineCommand"]

REQUEST_TIMEOUT_S = 10.0
FORMATS = ("text", "json", "svg", "html")


class TimelineCommand(Command):
    """Merge the events of instances into one time line."""

    name = "timeline"
    description = "Merge the events of instances into one time line."
    arguments = [argument("instances", "Operators' addresses.", multiple=True)]
    options = [
        option("format", None, "text, json, svg or html.", flag=False, default="text"),
        option("output", None, "File to write; default is the screen.", flag=False),
    ]
    help = """Example: chervilpitch timeline 127.0.0.1:8082 127.0.0.1:8182 \\
    --format svg --output run.svg"""

    def handle(self) -> int:
        """Run the command and return its exit code."""
        if self.option("format") not in FORMATS:
            self.line_error(f"--format: one of {', '.join(FORMATS)}")
            return ExitCode.USAGE_ERROR
        results = {
            address: fetch_events(address) for address in self.argument("instances")
        }
        for address, result in results.items():
            if result.is_err():
                self.line_error(f"{address}: {result.unwrap_err()}")
        sources = [result.unwrap() for result in results.values() if result.is_ok()]
        self._write(self._render(sources))
        return (
            ExitCode.SUCCESS if len(sources) == len(results) else ExitCode.UNREACHABLE
        )

    def _render(self, sources) -> str:
        merged = list(merge_events(sources))
        match self.option("format"):
            case "json":
                events = (item for item in merged if isinstance(item, StampedEvent))
                return encode_events(events)
            case "svg":
                return render_svg(merged)
            case "html":
                return render_html(merged, "Time line of the fleet")
        return render_text(merged)

    def _write(self, text: str) -> None:
        if self.option("output"):
            pathlib.Path(self.option("output")).write_text(text)
        else:
            sys.stdout.write(text if text.endswith("\n") else text + "\n")


def fetch_events(address: str) -> Result[tuple[StampedEvent, ...], PeerError]:
    """Fetch the events stored by an instance.

    Parameters
    ----------
    address : str
        Operators' address of the instance.

    Returns
    -------
    Result
        The events in order, or the error if the instance is not reachable or sent
        an invalid line.
    """
    try:
        response = urllib3.request(
            "GET", f"http://{address}/events", timeout=REQUEST_TIMEOUT_S, retries=False
        )
        text = response.data.decode()
    except (HTTPError, OSError, UnicodeDecodeError) as error:
        return Err(PeerError(f"not reachable ({type(error).__name__})"))
    return decode_events(text).map_err(
        lambda error: PeerError(f"invalid event in line {error.number}")
    )
