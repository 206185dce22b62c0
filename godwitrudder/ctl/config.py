"""``config get|diff|edit|apply|history|status``: read and edit the configuration.

``config edit`` writes a header line into the file.  It names the section and the
version that the text was made on, so ``config apply`` needs only the file.
"""

from __future__ import annotations

import difflib
import re
import time
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar, Final
from uuid import uuid4

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from godwitrudder.ctl.client import Failure, OperatorClient
from godwitrudder.ctl.command import BaseCommand, ExitCode
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.validation import Problem
from godwitrudder.version.document import SECTIONS
from godwitrudder.views import (
    ChangeBody,
    ChangeOutcome,
    ConfigView,
    EditBody,
    EditView,
    HistoryView,
    SectionView,
    StatusView,
)

EXIT_BY_OUTCOME: Final = {
    ChangeOutcome.ACCEPTED: ExitCode.DONE,
    ChangeOutcome.REJECTED: ExitCode.FAILED,
    ChangeOutcome.UNKNOWN: ExitCode.UNKNOWN,
}
_HEADER = re.compile(r"// godwitctl: section (\w+), made on version (-?\d+)\n")


@dataclass(frozen=True, slots=True)
class SectionFile:
    """The text of a section, read from a file.

    Attributes
    ----------
    base_version : int or None
        Version that the text was made on; None if neither the header line nor an
        option states it.
    """

    path: str
    section: str
    base_version: int | None
    text: str


def read_section_file(
    path: str, section: str | None, base_version: str | None
) -> SectionFile | Problem:
    """Read a section file.

    Parameters
    ----------
    section, base_version : str or None
        Options; they take precedence over the header line of the file.  Without
        either, the section is the file's name without its suffix.

    Returns
    -------
    SectionFile or Problem
        The section, or why the file can't be used.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Problem(path, "", f"expected a readable UTF-8 file: {error}")
    header = _HEADER.match(text)
    body = text[header.end() :] if header else text
    name = section or (header[1] if header else Path(path).stem)
    if name not in SECTIONS:
        expected = f"expected --section with one of {', '.join(SECTIONS)}"
        return Problem(path, "", expected)
    version = (
        base_version if base_version is not None else header[2] if header else None
    )
    if version is not None and not re.fullmatch(r"-?\d+", version):
        return Problem(path, "", f"expected --made-on with a version, not {version!r}")
    return SectionFile(path, name, None if version is None else int(version), body)


def header_line(section: str, version: int) -> str:
    """Return the header line of a section file."""
    return f"// godwitctl: section {section}, made on version {version}\n"


def section_diff(current: SectionView, section_name: str, file: SectionFile) -> str:
    """Return a unified diff from the section in force to the file."""
    lines = difflib.unified_diff(
        current.text.splitlines(),
        file.text.splitlines(),
        f"{section_name} version {current.version}",
        file.path,
        lineterm="",
    )
    return "\n".join(lines)


class ConfigGet(BaseCommand):
    """Print a section in force with its comments, or the versions of all sections."""

    name = "config get"
    description = "Print a section in force, or the versions of all sections."
    arguments: ClassVar[list[Argument]] = [
        argument("section", "Name of the section.", optional=True)
    ]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print the section, or a table of all sections."""
        view = client.get("/config", ConfigView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        section = self.argument("section")
        if section and section not in view.sections:
            self.print_error(f"no section {section!r} is published")
            return ExitCode.FAILED
        if self.json_output:
            self.print_json(view.sections[section] if section else view)
        elif section:
            self.print_text(view.sections[section].text.rstrip("\n"))
        else:
            rows = [[k, v.version, v.author] for k, v in view.sections.items()]
            self.print_table(["section", "version", "author"], rows)
        return ExitCode.DONE


class ConfigEdit(BaseCommand):
    """Write a section with its header line to a new file, to edit and apply."""

    name = "config edit"
    description = "Write a section and its version to a new file, to be edited."
    arguments: ClassVar[list[Argument]] = [
        argument("section", "Name of the section."),
        argument("file", "File to write; it must not exist."),
    ]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Write the file; without a published section, ``{}`` at version -1."""
        view = client.get("/config", ConfigView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        name = self.argument("section")
        if name not in SECTIONS:
            self.print_error(f"expected one of the sections {', '.join(SECTIONS)}")
            return ExitCode.USAGE
        # Version -1 stands for a section that is not yet published.
        section = view.sections.get(name, SectionView(version=-1, text="{}\n"))
        try:
            with Path(self.argument("file")).open("x", encoding="utf-8") as file:
                file.write(header_line(name, section.version) + section.text)
        except OSError as error:
            self.print_error(f"{error}")
            return ExitCode.USAGE
        self.line(f"edit {file.name}, then run: godwitctl config apply {file.name}")
        return ExitCode.DONE


class ConfigDiff(BaseCommand):
    """Print what a file would change in the section in force."""

    name = "config diff"
    description = "Print what a file would change in the section in force."
    arguments: ClassVar[list[Argument]] = [argument("file", "An edited section.")]
    own_options: ClassVar[list[Option]] = [
        option("section", None, "Section; overrides the header line.", flag=False)
    ]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print the diff, and a warning if the file was made on another version.

        The warning goes to standard error; the exit code is ``DONE``.
        """
        file = read_section_file(self.argument("file"), self.option("section"), None)
        if isinstance(file, Problem):
            self.print_error(str(file))
            return ExitCode.USAGE
        view = client.get("/config", ConfigView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        # Version -1 stands for a section that is not yet published.
        current = view.sections.get(file.section, SectionView(version=-1, text=""))
        if file.base_version not in (None, current.version):
            self.print_error(
                f"{file.path} was made on version {file.base_version};"
                f" version {current.version} by {current.author or '?'} is in force"
            )
        self.print_text(section_diff(current, file.section, file))
        return ExitCode.DONE


class ConfigApply(BaseCommand):
    """Publish one edit of one or more sections."""

    name = "config apply"
    description = "Publish files as one edit; wait until the daemon has it in force."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "One file per section.", multiple=True)
    ]
    own_options: ClassVar[list[Option]] = [
        option(
            "section",
            None,
            "Section of a single file; overrides its header line.",
            flag=False,
        ),
        option(
            "made-on",
            None,
            "Version that the files were made on; overrides the header line.",
            flag=False,
        ),
        option("op", None, "Operation id of an edit to retry.", flag=False),
    ]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Publish the edit; the exit code follows from its outcome."""
        files = [
            read_section_file(path, self.option("section"), self.option("made-on"))
            for path in self.argument("files")
        ]
        body = self._body(files)
        if isinstance(body, Problem):
            self.print_error(str(body))
            return ExitCode.USAGE
        view = client.post("/config/edits", body, EditView)
        if isinstance(view, Failure):
            if view.status == 0:  # no daemon answered
                self.print_error(f"outcome unknown; retry with --op {body.op}")
            return self.print_failure(view)
        self._print_result(view, [f for f in files if isinstance(f, SectionFile)])
        return EXIT_BY_OUTCOME[view.outcome]

    def _body(self, files: list[SectionFile | Problem]) -> EditBody | Problem:
        changes: dict[str, ChangeBody] = {}
        for file in files:
            if isinstance(file, Problem):
                return file
            if file.base_version is None:
                expected = "expected the header line of config edit, or --made-on"
                return Problem(file.path, "", expected)
            if file.section in changes:
                return Problem(file.path, "", "expected one file per section")
            changes[file.section] = ChangeBody(
                made_on=file.base_version, text=file.text
            )
        return EditBody(op=self.option("op") or uuid4().hex, changes=changes)

    def _print_result(self, view: EditView, files: list[SectionFile]) -> None:
        if self.json_output:
            self.print_json(view)
            return
        if view.outcome is ChangeOutcome.ACCEPTED:
            self.line(f"accepted as version {view.version}")
            return
        if view.outcome is ChangeOutcome.UNKNOWN:
            self.print_error(
                f"the edit was not read back from the log in time;"
                f" retry with --op {view.op}"
            )
        for problem in view.problems:
            self.print_error(problem)
        for file in files:
            current = view.standing.get(file.section)
            if current is not None:
                self._print_conflict(file, current)

    def _print_conflict(self, file: SectionFile, current: SectionView) -> None:
        """Print how a rejected file differs from the version in force."""
        self.print_error(
            f"{file.section}: your edit was made on version {file.base_version};"
            f" version {current.version} by {current.author or '?'} is in force."
            f" Diff from that version to your text:"
        )
        self.print_text(section_diff(current, file.section, file))


class ConfigHistory(BaseCommand):
    """Print the newest edits and drains and their outcomes."""

    name = "config history"
    description = "Print the newest edits and drains and their outcomes."

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print one row per edit or drain, oldest first."""
        view = client.get("/config/history", HistoryView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        if self.json_output:
            self.print_json(view)
            return ExitCode.DONE
        rows = [
            [
                verdict.offset,
                time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(verdict.time)),
                verdict.author,
                verdict.what,
                verdict.problem or "accepted",
            ]
            for verdict in view.verdicts
        ]
        self.print_table(["version", "UTC", "author", "what", "outcome"], rows)
        return ExitCode.DONE


class ConfigStatus(BaseCommand):
    """Print each daemon's configuration version, and its delay after publication."""

    name = "config status"
    description = "Print each daemon's version and how long it took to take effect."

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print the table; ``FAILED`` if a daemon is behind or does not answer."""
        view = client.get("/config/status", StatusView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        newest = max(status.config_version for status in view.daemons)
        behind = [s for s in view.daemons if s.config_version < newest]
        if self.json_output:
            self.print_json(view)
        else:
            rows = [
                [s.host, s.config_version, _in_force_text(s.in_force_seconds)]
                for s in view.daemons
            ]
            rows += [[host, "no answer", ""] for host in view.missing]
            self.print_table(["daemon", "version", "in force after s"], rows)
        return ExitCode.FAILED if behind or view.missing else ExitCode.DONE


def _in_force_text(seconds: float) -> str:
    # Negative if the daemon started with the version.
    return "since its start" if seconds < 0 else f"{seconds:.3f}"


COMMANDS: Final = (
    ConfigGet,
    ConfigEdit,
    ConfigDiff,
    ConfigApply,
    ConfigHistory,
    ConfigStatus,
)
