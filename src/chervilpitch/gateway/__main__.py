"""Run an instance with the settings file that an environment variable names."""

import os
import sys

from chervilpitch import platform
from chervilpitch.exits import ExitCode

from .process import run_gateway
from .settings import load_gateway


def main() -> int:
    """Run the instance and return the exit code."""
    path = os.environ.get(platform.SETTINGS_VARIABLE, "")
    loaded = load_gateway(path)
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(problem, file=sys.stderr)
        return ExitCode.BAD_SETTINGS
    run_gateway(loaded.unwrap(), path)
    return ExitCode.SUCCESS


if __name__ == "__main__":
    sys.exit(main())
