"""Base of all commands: settings, output for people or scripts, exit codes."""

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
from godwitrudder.validation import Problem


class ExitCode(enum.IntEnum):
    """Exit codes of ``godwitctl``.

    Attributes
    ----------
    DONE : int
        The command succeeded.
    FAILED : int
        A change was rejected, a listed daemon did not answer or is behind, a check
        found a violation, a load request did not complete, a record is unreadable,
        or the operators' port returned an error without a code of its own.
    USAGE : int
        Arguments, settings or files are invalid.
    UNREACHABLE : int
        No daemon answered, or the log or store did not.
    DENIED : int
        The key is unknown or does not permit the request.
    UNKNOWN : int
        The outcome of a change is unknown, the log files do not name the request, or
        the store holds no configuration.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    DENIED = 4
    UNKNOWN = 5


EXIT_BY_STATUS: Final = {
    0: ExitCode.UNREACHABLE,
    401: ExitCode.DENIED,
    403: ExitCode.DENIED,
    422: ExitCode.USAGE,
}
SHARED_OPTIONS: Final = (
    option("settings", None, "Settings file.", flag=False),
    option("json", None, "Print JSON for scripts."),
)


class BaseCommand(Command):
    """Base of the commands.

    By default it loads the settings and passes a client of the operators' port to
    ``run_command``.  Commands that use no daemon override ``handle``.
    """

    arguments: ClassVar[list[Argument]] = []
    own_options: ClassVar[list[Option]] = []
    options: ClassVar[list[Option]] = [*SHARED_OPTIONS]

    def __init_subclass__(cls) -> None:
        """Append the shared options to the command's own options."""
        super().__init_subclass__()
        cls.options = [*cls.own_options, *SHARED_OPTIONS]

    @abstractmethod
    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Run the command and return its exit code."""

    def handle(self) -> int:
        """Load the settings and run the command."""
        settings = load(self.option("settings"))
        if isinstance(settings, Problem):
            self.print_error(str(settings))
            return ExitCode.USAGE
        return self.run_command(settings, OperatorClient(settings))

    @property
    def json_output(self) -> bool:
        """Whether ``--json`` is set."""
        return bool(self.option("json"))

    def print_error(self, text: str) -> None:
        """Print an error message to standard error."""
        self.line_error(f"<error>{_escape(text)}</error>")

    def print_failure(self, failure: Failure) -> ExitCode:
        """Print why a request failed and return the exit code for its status."""
        self.print_error(failure.message)
        return EXIT_BY_STATUS.get(failure.status, ExitCode.FAILED)

    def print_json(self, view: Any) -> None:
        """Print a view as one JSON document."""
        text = msgspec.json.format(msgspec.json.encode(view), indent=2).decode()
        self.io.output.write_line(_escape(text))

    def print_text(self, text: str) -> None:
        """Print a text verbatim."""
        self.io.output.write_line(_escape(text))

    def print_table(self, headers: list[str], rows: Iterable[Iterable[Any]]) -> None:
        """Print a table with a header row."""
        table = self.table()
        table.set_headers([*headers])
        table.set_rows([[_escape(str(cell)) for cell in row] for row in rows])
        table.render()


def _escape(text: str) -> str:
    """Escape ``<`` so that cleo's formatter does not read it as a style tag."""
    return text.replace("<", "\\<")


def is_terminal() -> bool:
    """Return whether standard output is a terminal."""
    return sys.stdout.isatty()
