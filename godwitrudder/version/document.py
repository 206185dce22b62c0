"""The configuration document: four sections, each with its own version.

A ``Document`` is built from the texts of all sections at once, so references between
sections are checked whenever either section changes.  The same texts give the same
document, or the same problem, in every process.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any, Final, Literal, cast

import msgspec
import pyjson5

from godwitrudder.validation import Problem, validate

SECTIONS: Final = ("budgets", "workspaces", "targets", "turns")
# Maximum nesting depth of a section's JSON5.
MAX_DEPTH: Final = 16


class BudgetModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A prepaid budget.

    Attributes
    ----------
    paid_tokens : int
        Tokens paid in by the document, without top-ups.  If a new amount is below
        the billed and granted tokens, the ledger lowers the amount in force only as
        far as these allow.
    endurance : float
        From 0, which strands the fewest tokens when a router is lost, to 1, which
        lasts longest in a network partition.
    """

    paid_tokens: int
    endurance: float = 0.5


class KeyModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An API key, as its SHA-256 in hex, and the budget that it spends from."""

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
        HTTP method, and prefix of the path.
    cost_tokens : int
        Tokens that one call costs.
    repeatable : bool
        False for a call that must run at most once.
    """

    method: str
    path: str
    cost_tokens: int = 1
    repeatable: bool = True


class TargetModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A target: a model on engines, or a plain service.

    Attributes
    ----------
    slots_per_runner : int
        Number of requests that one runner processes concurrently.
    default_output_tokens : int
        Output limit of a request that states none.
    calls : tuple of CallModel
        Calls of a plain service; empty for an engine.
    """

    kind: Literal["engine", "service"]
    slots_per_runner: int = 8
    max_prompt_bytes: int = 65536
    max_output_tokens: int = 4096
    default_output_tokens: int = 256
    checks_fence: bool = False
    calls: tuple[CallModel, ...] = ()


class TurnModel(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Fair queueing of requests at one target.

    Attributes
    ----------
    unit : str
        Unit in which the workspaces' shares are measured.
    weights_by_workspace : dict
        Relative weights of workspaces; 1 for a workspace that is not listed.
    queue_limit : int
        Maximum number of queued requests per workspace and daemon.
    deadline_seconds : float
        Maximum wait in the queue.
    """

    unit: Literal["tokens", "requests"] = "tokens"
    weights_by_workspace: dict[str, float] = {}
    queue_limit: int = 1000
    deadline_seconds: float = 30.0


MODEL_BY_SECTION: Final[dict[str, Any]] = {
    "budgets": BudgetModel,
    "workspaces": WorkspaceModel,
    "targets": TargetModel,
    "turns": TurnModel,
}


class DrainKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a target, runner or failure domain that gets no new requests.

    Attributes
    ----------
    kind : str
        Whether ``id`` names a whole target, one runner, or a failure domain.
    id : str
        Identifier of the target, runner or failure domain.
    """

    kind: Literal["target", "runner", "failure_domain"]
    id: str


@dataclass(frozen=True, slots=True)
class Access:
    """The workspace and budget that an API key gives access to."""

    workspace: str
    budget: str
    key_sha256: str


@dataclass(slots=True)
class Document:
    """One version of the configuration; not modified once it is in force.

    Attributes
    ----------
    version : int
        Log offset of the record that created it; -1 for the empty document.
    version_by_section, text_by_section : dict
        Versions and texts as published, with comments.
    drains : frozenset of DrainKey
        Targets, runners and failure domains that operators took out of service.
    """

    version: int = -1
    version_by_section: dict[str, int] = field(default_factory=dict)
    text_by_section: dict[str, str] = field(default_factory=dict)
    budgets_by_id: dict[str, BudgetModel] = field(default_factory=dict)
    workspaces_by_id: dict[str, WorkspaceModel] = field(default_factory=dict)
    targets_by_id: dict[str, TargetModel] = field(default_factory=dict)
    turns_by_target: dict[str, TurnModel] = field(default_factory=dict)
    access_by_key_hash: dict[str, Access] = field(default_factory=dict)
    drains: frozenset[DrainKey] = frozenset()

    def entries(self, section: str) -> dict[str, Any]:
        """Return the parsed entries of a section, by identifier."""
        entries_by_section: dict[str, dict[str, Any]] = {
            "budgets": self.budgets_by_id,
            "workspaces": self.workspaces_by_id,
            "targets": self.targets_by_id,
            "turns": self.turns_by_target,
        }
        return entries_by_section[section]

    def drained(self, kind: str, identifier: str) -> bool:
        """Whether an operator took the identified target or runners out of service."""
        return DrainKey(cast(Any, kind), identifier) in self.drains


def parse_section(section: str, text: str) -> dict[str, Any] | Problem:
    """Parse the JSON5 text of one section and validate it against its model."""
    try:
        plain = pyjson5.decode(text, maxdepth=MAX_DEPTH)
    except (pyjson5.Json5Exception, ValueError) as error:
        return Problem(section, "", f"expected commented JSON: {error}")
    if not isinstance(plain, dict):
        return Problem(section, "", "expected an object with a key per identifier")
    entries: dict[str, Any] = {}
    for name, entry in plain.items():
        value = validate(section, entry, MODEL_BY_SECTION[section])
        if isinstance(value, Problem):
            return replace(value, path=f"{name}.{value.path}".rstrip("."))
        entries[name] = value
    return entries


def build(
    version: int,
    version_by_section: dict[str, int],
    text_by_section: dict[str, str],
    drains: frozenset[DrainKey] = frozenset(),
    previous: Document | None = None,
) -> Document | Problem:
    """Parse the texts of all sections; ``checks.problems`` validates the result.

    Parameters
    ----------
    previous : Document or None
        A section with the same text there is reused instead of parsed again.
    """
    document = Document(version, version_by_section, text_by_section, drains=drains)
    parsed: dict[str, dict[str, Any]] = {name: {} for name in SECTIONS}
    for name, text in text_by_section.items():
        if previous is not None and previous.text_by_section.get(name) == text:
            parsed[name] = previous.entries(name)
            continue
        value = parse_section(name, text)
        if isinstance(value, Problem):
            return value
        parsed[name] = value
    document.budgets_by_id = parsed["budgets"]
    document.workspaces_by_id = parsed["workspaces"]
    document.targets_by_id = parsed["targets"]
    document.turns_by_target = parsed["turns"]
    document.access_by_key_hash = {
        key.sha256: Access(name, key.budget, key.sha256)
        for name, workspace in document.workspaces_by_id.items()
        for key in workspace.keys
    }
    return document
