"""``godwitctl``: the operators' command line."""

from __future__ import annotations

import sys
from importlib import metadata
from typing import Final

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand

from godwitrudder.ctl import (
    causes,
    config,
    explain,
    load,
    resources,
    store,
    timeline,
    verify,
    where,
)
from godwitrudder.ctl.command import BaseCommand

COMMANDS: Final[tuple[type[BaseCommand], ...]] = (
    *config.COMMANDS,
    *resources.COMMANDS,
    *timeline.COMMANDS,
    *verify.COMMANDS,
    *load.COMMANDS,
    *explain.COMMANDS,
    *causes.COMMANDS,
    *store.COMMANDS,
    *where.COMMANDS,
)


def application() -> Application:
    """Return the application with all commands."""
    program = Application("godwitctl", metadata.version("godwitrudder"))
    program.add(CompletionsCommand())
    for command in COMMANDS:
        program.add(command())
    return program


def main() -> int:
    """Run the command line; the exit codes are those of ``ExitCode``."""
    return application().run()


if __name__ == "__main__":
    sys.exit(main())
