"""What all commands share: settings, output for people or scripts, exit codes."""

from __future__ import annotations

import enum
import sys
from abc import abstractmethod
from collections.abc import Iterable
from typing import Any, ClassVar, Final

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from godwitrudder.ctl.client import Failure, OperatorClient
from godwitrudder.ctl.settings import CtlSettings, load
from godwitrudder.sections import Problem


class Exit(enum.IntEnum):
    """Exit codes of ``godwitctl``."""

    DONE = 0
    REJECTED = 1
    USAGE = 2
    UNREACHABLE = 3
    DENIED = 4
    UNKNOWN = 5


EXIT_BY_STATUS: Final = {
    0: Exit.UNREACHABLE,
    401: Exit.DENIED,
    403: Exit.DENIED,
    422: Exit.USAGE,
}
SHARED_OPTIONS: Final = (
    option("settings", None, "Settings file.", flag=False),
    option("json", None, "Print JSON for scripts."),
)


class FleetCommand(Command):
    """A command that asks the fleet."""

    arguments: ClassVar[list[Argument]] = []
    own_options: ClassVar[list[Option]] = []
    options: ClassVar[list[Option]] = [*SHARED_OPTIONS]

    def __init_subclass__(cls) -> None:
        """Add the shared options to a command's own."""
        super().__init_subclass__()
        cls.options = [*cls.own_options, *SHARED_OPTIONS]

    @abstractmethod
    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Do what the command is for."""

    def handle(self) -> int:
        """Load the settings and act."""
        settings = load(self.option("settings"))
        if isinstance(settings, Problem):
            self.fail(str(settings))
            return Exit.USAGE
        return self.act(settings, OperatorClient(settings))

    @property
    def for_scripts(self) -> bool:
        """Whether to print JSON."""
        return bool(self.option("json"))

    def fail(self, text: str) -> None:
        """Print an error."""
        self.line_error(f"<error>{_escape(text)}</error>")

    def failed(self, failure: Failure) -> Exit:
        """Print a failure and return its exit code."""
        self.fail(failure.message)
        return EXIT_BY_STATUS.get(failure.status, Exit.REJECTED)

    def print_json(self, view: Any) -> None:
        """Print a view as one JSON document."""
        text = msgspec.json.format(msgspec.json.encode(view), indent=2).decode()
        self.io.output.write_line(_escape(text))

    def print_text(self, text: str) -> None:
        """Print a text as it stands."""
        self.io.output.write_line(_escape(text))

    def print_table(self, heads: list[str], rows: Iterable[Iterable[Any]]) -> None:
        """Print a table for people."""
        table = self.table()
        table.set_headers([*heads])
        table.set_rows([[_escape(str(cell)) for cell in row] for row in rows])
        table.render()


def _escape(text: str) -> str:
    """Keep the formatter from reading marks in a text."""
    return text.replace("<", "\\<")


def is_terminal() -> bool:
    """Whether a person reads the output."""
    return sys.stdout.isatty()
