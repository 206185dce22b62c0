"""``explain``: the decisions about a request and its cause, from log files."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from godwitrudder.ctl.client import OperatorClient
from godwitrudder.ctl.command import BaseCommand, ExitCode, is_terminal
from godwitrudder.ctl.decision_log import (
    Decision,
    LineCounts,
    find_cause,
    read_decisions,
    request_decisions,
)
from godwitrudder.ctl.settings import CtlSettings

PROGRESS_INTERVAL_BYTES: Final = 64 * 1024 * 1024


class ExplainCommand(BaseCommand):
    """Print the decisions about a request, and which one caused its outcome."""

    name = "explain"
    description = "Explain the outcome of a request from log files."
    arguments: ClassVar[list[Argument]] = [
        argument("request", "Id of the request."),
        argument("logs", "Log files of entry processes.", multiple=True),
    ]

    def handle(self) -> int:
        """Read the files; the command needs no settings and no fleet."""
        request = str(self.argument("request"))
        counts = LineCounts()
        decisions: list[Decision] = []
        for name in self.argument("logs"):
            try:
                decisions += request_decisions(
                    read_decisions(self._read_lines(Path(name)), counts), request
                )
            except OSError as error:
                self.print_error(f"{name}: {error.strerror}")
                return ExitCode.USAGE
        decisions.sort(key=lambda decision: decision.wall)
        self._print(request, decisions, counts)
        return ExitCode.DONE if decisions else ExitCode.UNKNOWN

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Not used: the command reads files only."""
        raise AssertionError("explain reads log files only")

    def _read_lines(self, path: Path) -> Iterator[bytes]:
        """Yield a file's lines; on a terminal, print progress for large files."""
        bytes_read, bytes_reported = 0, 0
        size = path.stat().st_size
        with path.open("rb") as file:
            for line in file:
                yield line
                bytes_read += len(line)
                if (
                    is_terminal()
                    and bytes_read - bytes_reported > PROGRESS_INTERVAL_BYTES
                ):
                    bytes_reported = bytes_read
                    self.line_error(f"{path}: {100 * bytes_read // size}%")

    def _print(
        self, request: str, decisions: list[Decision], counts: LineCounts
    ) -> None:
        result = find_cause(decisions)
        if self.json_output:
            self.print_json(
                {
                    "request": request,
                    "cause": result.cause,
                    "decision": result.decision,
                    "lines": decisions,
                    "read": counts.lines,
                    "foreign": counts.skipped,
                }
            )
            return
        for decision in decisions:
            inputs = " ".join(
                f"{key}={value}" for key, value in decision.inputs.items()
            )
            self.print_text(
                f"{decision.wall:.3f} {decision.host} {decision.kind} {inputs}"
            )
        self.print_text(f"cause: {result.cause}")
        if result.decision is not None:
            self.print_text(
                f"decided by: {result.decision.kind} on {result.decision.host}"
            )
        self.print_text(
            f"{counts.lines} lines read, {counts.skipped} skipped: foreign or truncated"
        )


COMMANDS: Final = (ExplainCommand,)
