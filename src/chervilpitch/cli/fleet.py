"""The ``address`` and ``status`` commands, which query running instances."""

import json
import pathlib

import urllib3
from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from chervilpitch.errors import PeerError
from chervilpitch.exits import ExitCode
from chervilpitch.pipeline.application import ADDRESS_PATH

from .output import JSON_OPTION, print_json, print_table

__all__ = ["AddressCommand", "StatusCommand", "fetch_json"]

REQUEST_TIMEOUT_S = 5.0


class AddressCommand(Command):
    """Ask an instance which addresses a caller should use."""

    name = "address"
    description = "Ask an instance which addresses a caller should use."
    arguments = [argument("entry", "Callers' address of any instance.")]
    options = [
        option("key-file", None, "File that holds the caller's key.", flag=False),
        option("path", None, "Path of the request to be made.", flag=False),
        option("near", None, "Failure domain of the caller.", flag=False),
        JSON_OPTION,
    ]
    help = "Example: chervilpitch address 127.0.0.1:8080 --key-file key --path /stock"

    def handle(self) -> int:
        """Run the command and return its exit code."""
        headers = self._request_headers()
        if headers.is_err():
            self.line_error(str(headers.unwrap_err()))
            return ExitCode.USAGE_ERROR
        fields = {
            "path": self.option("path") or "",
            "near": self.option("near") or "",
        }
        url = f"http://{self.argument('entry')}{ADDRESS_PATH}"
        response = fetch_json(url, fields, headers.unwrap())
        if response.is_err():
            self.line_error(f"{self.argument('entry')}: {response.unwrap_err()}")
            return ExitCode.UNREACHABLE
        return self._print_addresses(response.unwrap())

    def _request_headers(self) -> Result[dict[str, str], PeerError]:
        path = self.option("key-file")
        if not path:
            return Ok({})
        try:
            key = pathlib.Path(path).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            return Err(PeerError(f"{path}: {type(error).__name__}"))
        return Ok({"Authorization": f"Bearer {key}"})

    def _print_addresses(self, body) -> int:
        is_refused = "addresses" not in body
        if self.option("json"):
            print_json(self, body)
        elif is_refused:
            self.line_error(f"refused: {body['type']}, {body['run']}")
        else:
            for address in body["addresses"]:
                self.line(address)
        return ExitCode.REFUSED if is_refused else ExitCode.SUCCESS


class StatusCommand(Command):
    """Show the state of instances."""

    name = "status"
    description = "Show the state of instances."
    arguments = [argument("instances", "Operators' addresses.", multiple=True)]
    options = [JSON_OPTION]
    help = "Example: chervilpitch status 127.0.0.1:8082 127.0.0.1:8182"

    def handle(self) -> int:
        """Run the command and return its exit code."""
        results = {
            address: fetch_json(f"http://{address}/status")
            for address in self.argument("instances")
        }
        reachable = {
            a: result.unwrap() for a, result in results.items() if result.is_ok()
        }
        if self.option("json"):
            print_json(self, reachable)
        else:
            print_table(
                self, STATUS_COLUMNS, [_to_row(status) for status in reachable.values()]
            )
        for address, result in results.items():
            if result.is_err():
                self.line_error(f"{address}: {result.unwrap_err()}")
        return (
            ExitCode.SUCCESS if len(reachable) == len(results) else ExitCode.UNREACHABLE
        )


STATUS_COLUMNS = ["instance", "revision", "evidence", "seat", "in progress", "ejected"]


def _to_row(status) -> list[object]:
    ejected = [
        item["name"] for item in status["upstreams"] if item["state"] == "ejected"
    ]
    return [
        status["instance"],
        status["revision"],
        status["evidence"],
        "held" if status["holds_seat"] else "not held",
        status["in_progress"],
        ", ".join(ejected) or "none",
    ]


def fetch_json(url: str, fields=None, headers=None) -> Result[object, PeerError]:
    """Fetch a page of an instance and decode its JSON body.

    Parameters
    ----------
    url : str
        URL of the page.
    fields : dict of str to str, optional
        Query parameters.
    headers : dict of str to str, optional
        Request headers.

    Returns
    -------
    Result
        The decoded body, or the error if the instance is not reachable or the
        body is not JSON.
    """
    try:
        response = urllib3.request(
            "GET",
            url,
            fields=fields,
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
            retries=False,
        )
        return Ok(json.loads(response.data))
    except (HTTPError, OSError, ValueError) as error:
        return Err(PeerError(f"not reachable ({type(error).__name__})"))
