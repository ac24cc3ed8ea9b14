"""The ``serve`` and ``settings`` commands."""

from cleo.commands.command import Command
from cleo.helpers import argument, option

from chervilpitch import settings
from chervilpitch.exits import ExitCode
from chervilpitch.gateway.process import run_gateway
from chervilpitch.gateway.settings import load_gateway
from chervilpitch.runtime.instance import serve

from .output import JSON_OPTION, print_problems

__all__ = ["GatewayCommand", "ServeCommand", "SettingsCommand"]


class SettingsCommand(Command):
    """Check the settings of an instance."""

    name = "settings"
    description = "Check the settings of an instance."
    arguments = [argument("file", "INI file of settings.")]
    options = [JSON_OPTION]
    help = "Example: chervilpitch settings examples/qureshi.ini"

    def handle(self) -> int:
        """Run the command and return its exit code."""
        loaded = settings.load(self.argument("file"))
        if loaded.is_err():
            print_problems(self, loaded.unwrap_err())
            return ExitCode.BAD_SETTINGS
        self.line(f"{self.argument('file')}: fine")
        return ExitCode.SUCCESS


class ServeCommand(Command):
    """Run one instance."""

    name = "serve"
    description = "Run one instance until SIGTERM."
    arguments = [argument("file", "INI file of settings.")]
    options = [JSON_OPTION]
    help = "Example: chervilpitch serve /etc/chervilpitch/instance.ini"

    def handle(self) -> int:
        """Run the command and return its exit code."""
        loaded = settings.load(self.argument("file"))
        if loaded.is_err():
            print_problems(self, loaded.unwrap_err())
            return ExitCode.BAD_SETTINGS
        ended = serve(loaded.unwrap())
        if ended.is_err():
            print_problems(self, (ended.unwrap_err(),))
            return ExitCode.BAD_SETTINGS
        return ExitCode.SUCCESS


class GatewayCommand(Command):
    """Run one instance on the users' platform."""

    name = "gateway"
    description = "Run one instance on the users' platform until SIGTERM."
    arguments = [argument("file", "INI file of settings.")]
    options = [
        JSON_OPTION,
        option("check", None, "Check the settings only.", flag=True),
    ]
    help = "Example: chervilpitch gateway /etc/chervilpitch/gateway.ini"

    def handle(self) -> int:
        """Run the command and return its exit code."""
        path = self.argument("file")
        loaded = load_gateway(path)
        if loaded.is_err():
            print_problems(self, loaded.unwrap_err())
            return ExitCode.BAD_SETTINGS
        if self.option("check"):
            self.line(f"{path}: fine")
            return ExitCode.SUCCESS
        run_gateway(loaded.unwrap(), path)
        return ExitCode.SUCCESS
