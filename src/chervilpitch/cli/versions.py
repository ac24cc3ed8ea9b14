"""The ``versions`` command, which compares what many instances answer under."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

import urllib3
from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err, Result
from urllib3.exceptions import HTTPError

from chervilpitch.errors import PeerError
from chervilpitch.exits import ExitCode
from chervilpitch.observe.agreement import (
    Agreement,
    InstanceVersions,
    compare_versions,
    parse_versions,
)

from .output import JSON_OPTION, print_json, print_table

__all__ = ["VersionsCommand"]

REQUEST_TIMEOUT_S = 3.0
MAX_REQUESTS_AT_ONCE = 16
MAX_NAMES = 8
COLUMNS = ["version", "revision", "instances", "oldest proof s", "names"]


class VersionsCommand(Command):
    """Show which configuration and settings instances answer under."""

    name = "versions"
    description = "Show which configuration and settings instances answer under."
    arguments = [argument("metrics", "Metrics addresses of gateways.", multiple=True)]
    options = [JSON_OPTION]
    help = (
        "Prints one line for each configuration in force, the newest first, then the "
        "instances whose settings file has changed but was not read. The exit code is "
        "0 if all agree, 6 if they differ and 4 if one was not reached.\n\n"
        "Example: chervilpitch versions 10.1.0.5:9464 10.1.0.6:9464"
    )

    def handle(self) -> int:
        """Run the command and return its exit code."""
        addresses = self.argument("metrics")
        results = dict(zip(addresses, self._fetch_all(addresses), strict=True))
        reached = [item.unwrap() for item in results.values() if item.is_ok()]
        agreement = compare_versions(reached)
        self._print(agreement)
        errors = {
            address: item.unwrap_err()
            for address, item in results.items()
            if item.is_err()
        }
        for address, error in errors.items():
            self.line_error(f"{address}: {error}")
        if errors:
            return ExitCode.UNREACHABLE
        return ExitCode.SUCCESS if agreement.is_complete else ExitCode.DISAGREEMENT

    def _fetch_all(self, addresses) -> list[Result[InstanceVersions, PeerError]]:
        progress = self.progress_bar(len(addresses))
        results = []
        with ThreadPoolExecutor(MAX_REQUESTS_AT_ONCE) as executor:
            for result in executor.map(_fetch_versions, addresses):
                results.append(result)
                progress.advance()
        progress.finish()
        self.line_error("")
        return results

    def _print(self, agreement: Agreement):
        if self.option("json"):
            print_json(
                self,
                {
                    "configurations": [group._asdict() for group in agreement.groups],
                    "unread_settings": agreement.unread_settings,
                },
            )
            return
        rows = [
            [
                group.version,
                group.revision,
                len(group.instances),
                f"{group.max_proof_age_s:.1f}",
                _listed(group.instances),
            ]
            for group in agreement.groups
        ]
        print_table(self, COLUMNS, rows)
        if agreement.unread_settings:
            names = _listed(agreement.unread_settings)
            self.line(f"settings file changed but not read: {names}")


def _fetch_versions(address: str) -> Result[InstanceVersions, PeerError]:
    try:
        response = urllib3.request(
            "GET",
            f"http://{address}/metrics",
            timeout=REQUEST_TIMEOUT_S,
            retries=False,
        )
    except (HTTPError, OSError) as error:
        return Err(PeerError(f"not reachable ({type(error).__name__})"))
    return parse_versions(response.data.decode(errors="replace"))


def _listed(names: Iterable[str]) -> str:
    known = list(names)
    shown = ", ".join(known[:MAX_NAMES])
    more = len(known) - MAX_NAMES
    return f"{shown} and {more} more" if more > 0 else shown
