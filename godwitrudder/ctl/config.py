"""``config get|diff|edit|apply|history|status``.

A file made by ``config edit`` starts with a line that names the section and the
version that it was made on, so ``config apply`` needs only the file.
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
from godwitrudder.ctl.command import Exit, FleetCommand
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.sections import Problem
from godwitrudder.version.document import SECTIONS
from godwitrudder.views import (
    ChangeBody,
    ConfigView,
    EditBody,
    EditView,
    HistoryView,
    Outcome,
    SectionView,
    StatusView,
)

EXIT_BY_OUTCOME: Final = {
    Outcome.ACCEPTED: Exit.DONE,
    Outcome.REJECTED: Exit.REJECTED,
    Outcome.UNKNOWN: Exit.UNKNOWN,
}
_HEAD = re.compile(r"// godwitctl: section (\w+), made on version (-?\d+)\n")


@dataclass(frozen=True, slots=True)
class SectionFile:
    """A section in a file, and the version that it was made on, if named."""

    path: str
    section: str
    made_on: int | None
    text: str


def read(path: str, section: str | None, made_on: str | None) -> SectionFile | Problem:
    """Read a section file; options go before its first line."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Problem(path, "", f"expected a readable UTF-8 file: {error}")
    head = _HEAD.match(text)
    body = text[head.end() :] if head else text
    name = section or (head[1] if head else Path(path).stem)
    if name not in SECTIONS:
        expected = f"expected --section with one of {', '.join(SECTIONS)}"
        return Problem(path, "", expected)
    version = made_on if made_on is not None else head[2] if head else None
    if version is not None and not re.fullmatch(r"-?\d+", version):
        return Problem(path, "", f"expected --made-on with a version, not {version!r}")
    return SectionFile(path, name, None if version is None else int(version), body)


def head_line(section: str, version: int) -> str:
    """Return the first line of an edit file."""
    return f"// godwitctl: section {section}, made on version {version}\n"


def difference(left: SectionView, name: str, file: SectionFile) -> str:
    """Return a unified diff from the section in force to the file."""
    lines = difflib.unified_diff(
        left.text.splitlines(),
        file.text.splitlines(),
        f"{name} version {left.version}",
        file.path,
        lineterm="",
    )
    return "\n".join(lines)


class ConfigGet(FleetCommand):
    """Print one section, comments included, or the versions of all."""

    name = "config get"
    description = "Print a section as it is in force, or the versions of all."
    arguments: ClassVar[list[Argument]] = [
        argument("section", "Name of the section.", optional=True)
    ]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it."""
        view = client.get("/config", ConfigView)
        if isinstance(view, Failure):
            return self.failed(view)
        section = self.argument("section")
        if section and section not in view.sections:
            self.fail(f"no section {section!r} is published")
            return Exit.REJECTED
        if self.for_scripts:
            self.print_json(view.sections[section] if section else view)
        elif section:
            self.print_text(view.sections[section].text.rstrip("\n"))
        else:
            rows = [[k, v.version, v.author] for k, v in view.sections.items()]
            self.print_table(["section", "version", "author"], rows)
        return Exit.DONE


class ConfigEdit(FleetCommand):
    """Write a section to a file, ready to be edited and applied."""

    name = "config edit"
    description = "Write a section to a file, with the version it is made on."
    arguments: ClassVar[list[Argument]] = [
        argument("section", "Name of the section."),
        argument("file", "File to write; it must not exist."),
    ]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Write it."""
        view = client.get("/config", ConfigView)
        if isinstance(view, Failure):
            return self.failed(view)
        name = self.argument("section")
        if name not in SECTIONS:
            self.fail(f"expected a section of {', '.join(SECTIONS)}")
            return Exit.USAGE
        section = view.sections.get(name, SectionView(version=-1, text="{}\n"))
        try:
            with Path(self.argument("file")).open("x", encoding="utf-8") as file:
                file.write(head_line(name, section.version) + section.text)
        except OSError as error:
            self.fail(f"{error}")
            return Exit.USAGE
        self.line(f"edit {file.name}, then: godwitctl config apply {file.name}")
        return Exit.DONE


class ConfigDiff(FleetCommand):
    """Show what a file would change."""

    name = "config diff"
    description = "Show what a file would change in the section in force."
    arguments: ClassVar[list[Argument]] = [argument("file", "An edited section.")]
    own_options: ClassVar[list[Option]] = [
        option("section", None, "Section, if the file does not say.", flag=False)
    ]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Show it."""
        file = read(self.argument("file"), self.option("section"), None)
        if isinstance(file, Problem):
            self.fail(str(file))
            return Exit.USAGE
        view = client.get("/config", ConfigView)
        if isinstance(view, Failure):
            return self.failed(view)
        standing = view.sections.get(file.section, SectionView(version=-1, text=""))
        if file.made_on not in (None, standing.version):
            self.fail(
                f"{file.path} was made on version {file.made_on};"
                f" version {standing.version} by {standing.author or '?'} stands"
            )
        self.print_text(difference(standing, file.section, file))
        return Exit.DONE


class ConfigApply(FleetCommand):
    """Publish one edit of one or more sections."""

    name = "config apply"
    description = "Publish files as one edit and wait until it is in force here."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "One file per section.", multiple=True)
    ]
    own_options: ClassVar[list[Option]] = [
        option("section", None, "Section of a single file.", flag=False),
        option("made-on", None, "Version that the files were made on.", flag=False),
        option("op", None, "Operation id of an edit to retry.", flag=False),
    ]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Publish it."""
        files = [
            read(path, self.option("section"), self.option("made-on"))
            for path in self.argument("files")
        ]
        body = self._body(files)
        if isinstance(body, Problem):
            self.fail(str(body))
            return Exit.USAGE
        view = client.post("/config/edits", body, EditView)
        if isinstance(view, Failure):
            if view.status == 0:
                self.fail(f"outcome unknown; retry with --op {body.op}")
            return self.failed(view)
        self._report(view, [f for f in files if isinstance(f, SectionFile)])
        return EXIT_BY_OUTCOME[view.outcome]

    def _body(self, files: list[SectionFile | Problem]) -> EditBody | Problem:
        changes: dict[str, ChangeBody] = {}
        for file in files:
            if isinstance(file, Problem):
                return file
            if file.made_on is None:
                expected = "expected the first line of config edit, or --made-on"
                return Problem(file.path, "", expected)
            if file.section in changes:
                return Problem(file.path, "", "expected one file per section")
            changes[file.section] = ChangeBody(made_on=file.made_on, text=file.text)
        return EditBody(op=self.option("op") or uuid4().hex, changes=changes)

    def _report(self, view: EditView, files: list[SectionFile]) -> None:
        if self.for_scripts:
            self.print_json(view)
            return
        if view.outcome is Outcome.ACCEPTED:
            self.line(f"accepted as version {view.version}")
            return
        if view.outcome is Outcome.UNKNOWN:
            self.fail(f"not read back in time; retry with --op {view.op}")
        for problem in view.problems:
            self.fail(problem)
        for file in files:
            standing = view.standing.get(file.section)
            if standing is not None:
                self._conflict(file, standing)

    def _conflict(self, file: SectionFile, standing: SectionView) -> None:
        """Show both versions of a lost race."""
        self.fail(
            f"{file.section}: your edit was made on version {file.made_on};"
            f" version {standing.version} by {standing.author or '?'} stands."
            f" Your text against it:"
        )
        self.print_text(difference(standing, file.section, file))


class ConfigHistory(FleetCommand):
    """Print the newest records and what became of them."""

    name = "config history"
    description = "Print the newest edits and drains and what became of them."

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it."""
        view = client.get("/config/history", HistoryView)
        if isinstance(view, Failure):
            return self.failed(view)
        if self.for_scripts:
            self.print_json(view)
            return Exit.DONE
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
        return Exit.DONE


class ConfigStatus(FleetCommand):
    """Print which daemon has which version, and how long it took."""

    name = "config status"
    description = "Print each daemon's version and how long it took to be in force."

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it; rejected if a daemon is behind or silent."""
        view = client.get("/config/status", StatusView)
        if isinstance(view, Failure):
            return self.failed(view)
        newest = max(status.config_version for status in view.daemons)
        behind = [s for s in view.daemons if s.config_version < newest]
        if self.for_scripts:
            self.print_json(view)
        else:
            rows = [
                [s.host, s.config_version, _in_force(s.in_force_seconds)]
                for s in view.daemons
            ]
            rows += [[host, "no answer", ""] for host in view.missing]
            self.print_table(["daemon", "version", "in force after s"], rows)
        return Exit.REJECTED if behind or view.missing else Exit.DONE


def _in_force(seconds: float) -> str:
    return "since its start" if seconds < 0 else f"{seconds:.3f}"


COMMANDS: Final = (
    ConfigGet,
    ConfigEdit,
    ConfigDiff,
    ConfigApply,
    ConfigHistory,
    ConfigStatus,
)
