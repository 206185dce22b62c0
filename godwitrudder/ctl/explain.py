"""``explain``: a request's story and its cause, from log files."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from godwitrudder.ctl.client import OperatorClient
from godwitrudder.ctl.command import Exit, FleetCommand, is_terminal
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.ctl.story import Count, Line, judge, read, story

PROGRESS_BYTES: Final = 64 * 1024 * 1024


class ExplainCommand(FleetCommand):
    """Print what was decided about a request, and the decision that ended it."""

    name = "explain"
    description = "Tell a request's story from log files."
    arguments: ClassVar[list[Argument]] = [
        argument("request", "Id of the request."),
        argument("logs", "Log files of entry processes.", multiple=True),
    ]

    def handle(self) -> int:
        """Read the files; no settings and no fleet are needed."""
        request = str(self.argument("request"))
        count = Count()
        lines: list[Line] = []
        for name in self.argument("logs"):
            try:
                lines += story(read(self._raw(Path(name)), count), request)
            except OSError as error:
                self.fail(f"{name}: {error.strerror}")
                return Exit.USAGE
        lines.sort(key=lambda line: line.wall)
        self._print(request, lines, count)
        return Exit.DONE if lines else Exit.UNKNOWN

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Not used: the command reads files only."""
        raise AssertionError("explain asks no fleet")

    def _raw(self, path: Path) -> Iterator[bytes]:
        """Yield a file's lines, with progress for people on large files."""
        done, told = 0, 0
        size = path.stat().st_size
        with path.open("rb") as file:
            for raw in file:
                yield raw
                done += len(raw)
                if is_terminal() and done - told > PROGRESS_BYTES:
                    told = done
                    self.line_error(f"{path}: {100 * done // size}%")

    def _print(self, request: str, lines: list[Line], count: Count) -> None:
        verdict = judge(lines)
        if self.for_scripts:
            self.print_json(
                {
                    "request": request,
                    "cause": verdict.cause,
                    "decision": verdict.line,
                    "lines": lines,
                    "read": count.lines,
                    "foreign": count.foreign,
                }
            )
            return
        for line in lines:
            inputs = " ".join(f"{key}={value}" for key, value in line.inputs.items())
            self.print_text(f"{line.wall:.3f} {line.host} {line.kind} {inputs}")
        self.print_text(f"cause: {verdict.cause}")
        if verdict.line is not None:
            self.print_text(f"decided by: {verdict.line.kind} on {verdict.line.host}")
        self.print_text(f"{count.lines} lines read, {count.foreign} foreign or cut")


COMMANDS: Final = (ExplainCommand,)
