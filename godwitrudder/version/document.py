"""The configuration document: four sections, each with its own version.

An edit names the section version that it was made on.  The log's order settles
races: an edit made on a version that is no longer current is void, whoever
reads it.  A section's version is the log offset of the edit that made it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final, Literal

import msgspec
import pyjson5

from godwitrudder import codec
from godwitrudder.sections import Problem, validate

STREAM: Final = "config"
SECTIONS: Final = ("budgets", "workspaces", "targets", "turns")


class BudgetModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A prepaid budget.

    Attributes
    ----------
    paid_tokens : int
        Tokens paid in by the document; top-ups come on top.
    endurance : float
        0 strands least when a router is lost, 1 lasts longest in a partition.
    """

    paid_tokens: int
    endurance: float = 0.5


class KeyModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An API key, by its SHA-256 in hex, and the budget that it draws on."""

    sha256: str
    budget: str


class WorkspaceModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A workspace: its keys and the targets that it may use."""

    keys: tuple[KeyModel, ...]
    targets: tuple[str, ...]


class CallModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A call of a plain service.

    Attributes
    ----------
    method, path : str
        ``path`` is a prefix.
    cost_tokens : int
        What one call costs.
    repeatable : bool
        False for a call that runs at most once.
    """

    method: str
    path: str
    cost_tokens: int = 1
    repeatable: bool = True


class TargetModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A target: a model on engines, or a plain service."""

    kind: Literal["engine", "service"]
    slots_per_runner: int = 8
    max_prompt_bytes: int = 65536
    max_output_tokens: int = 4096
    default_output_tokens: int = 256
    checks_fence: bool = False
    calls: tuple[CallModel, ...] = ()


class TurnModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Turns at one target.

    Attributes
    ----------
    unit : str
        What a turn is measured in.
    weights_by_workspace : dict
        1 where not named.
    queue_limit : int
        Most queued requests per workspace and daemon.
    deadline_seconds : float
        Longest wait in the queue.
    """

    unit: Literal["tokens", "requests"] = "tokens"
    weights_by_workspace: dict[str, float] = {}
    queue_limit: int = 1000
    deadline_seconds: float = 30.0


MODEL_BY_SECTION: Final[dict[str, Any]] = {
    "budgets": dict[str, BudgetModel],
    "workspaces": dict[str, WorkspaceModel],
    "targets": dict[str, TargetModel],
    "turns": dict[str, TurnModel],
}


class Edit(msgspec.Struct, frozen=True, array_like=True, tag="edit"):
    """A new text of one section, as a record of the log.

    Attributes
    ----------
    op : str
        Operation id; a repeated one is void.
    section : str
        One of ``SECTIONS``.
    made_on : int
        Version of the section that the edit was made on; -1 for none.
    text : str
        Commented JSON.
    author : str
        The operators' team.
    """

    op: str
    section: str
    made_on: int
    text: str
    author: str


@dataclass(frozen=True, slots=True)
class Access:
    """What an API key opens."""

    workspace: str
    budget: str
    key_sha256: str


@dataclass(slots=True)
class Document:
    """The configuration in force, one immutable value per version."""

    version: int = -1
    version_by_section: dict[str, int] = field(default_factory=dict)
    text_by_section: dict[str, str] = field(default_factory=dict)
    budgets_by_id: dict[str, BudgetModel] = field(default_factory=dict)
    workspaces_by_id: dict[str, WorkspaceModel] = field(default_factory=dict)
    targets_by_id: dict[str, TargetModel] = field(default_factory=dict)
    turns_by_target: dict[str, TurnModel] = field(default_factory=dict)
    access_by_key_hash: dict[str, Access] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The edit is in force from ``offset`` on."""

    edit: Edit
    offset: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The edit is void.

    Attributes
    ----------
    current : int
        Version of the section that stands.
    """

    edit: Edit | None
    offset: int
    problem: Problem
    current: int = -1


class ConfigFold:
    """The document after the records up to ``next_offset``."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.document = Document()
        self.results_by_op: dict[str, Accepted | Rejected] = {}

    def apply(self, offset: int, data: bytes) -> Accepted | Rejected | None:
        """Apply one record; None for one that was applied before."""
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        edit = codec.decode(data, Edit)
        if isinstance(edit, codec.Malformed):
            return Rejected(None, offset, Problem(STREAM, "", edit.reason))
        if edit.op in self.results_by_op:
            return None
        result = self._judge(offset, edit)
        self.results_by_op[edit.op] = result
        return result

    def _judge(self, offset: int, edit: Edit) -> Accepted | Rejected:
        current = self.document.version_by_section.get(edit.section, -1)
        if edit.made_on != current:
            expected = f"made on version {edit.made_on}, version {current} stands"
            problem = Problem(edit.section, "", expected)
            return Rejected(edit, offset, problem, current)
        document = with_section(self.document, offset, edit.section, edit.text)
        if isinstance(document, Problem):
            return Rejected(edit, offset, document, current)
        self.document = document
        return Accepted(edit, offset)


def with_section(
    document: Document, offset: int, section: str, text: str
) -> Document | Problem:
    """Return the document with one section replaced, or what is wrong."""
    if section not in SECTIONS:
        return Problem(section, "", f"expected a section of {', '.join(SECTIONS)}")
    texts = {**document.text_by_section, section: text}
    versions = {**document.version_by_section, section: offset}
    return build(offset, versions, texts)


def build(
    version: int, versions: dict[str, int], texts: dict[str, str]
) -> Document | Problem:
    """Parse and cross-check the texts of all sections."""
    parsed: dict[str, Any] = {name: {} for name in SECTIONS}
    for name, text in texts.items():
        try:
            plain = pyjson5.decode(text)
        except pyjson5.Json5Exception as error:
            return Problem(name, "", f"expected commented JSON: {error}")
        value = validate(name, plain, MODEL_BY_SECTION[name])
        if isinstance(value, Problem):
            return value
        parsed[name] = value
    document = Document(
        version,
        versions,
        texts,
        parsed["budgets"],
        parsed["workspaces"],
        parsed["targets"],
        parsed["turns"],
    )
    return _check(document) or document


def _check(document: Document) -> Problem | None:
    for name, budget in document.budgets_by_id.items():
        if budget.paid_tokens < 0:
            return Problem("budgets", f"{name}.paid_tokens", "expected 0 or more")
    for name, workspace in document.workspaces_by_id.items():
        for key in workspace.keys:
            document.access_by_key_hash[key.sha256] = Access(
                name, key.budget, key.sha256
            )
    return None
