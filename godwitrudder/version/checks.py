"""Checks of the configuration beyond types: references, amounts and units.

Each check yields all problems that it finds, in the same order in every process.  An
operator therefore sees all of them, and every fold reports the same first one.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator
from typing import Final

from godwitrudder.validation import Problem, is_sha256
from godwitrudder.version.document import (
    Document,
    KeyModel,
    TargetModel,
    TurnModel,
    WorkspaceModel,
)

MAX_TOKENS: Final = 10**15
MAX_SLOTS: Final = 100_000
MAX_PROMPT_BYTES: Final = 10_000_000
MAX_WEIGHT: Final = 1_000_000.0
MAX_DEADLINE_SECONDS: Final = 3600.0
METHODS: Final = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}")


def problems(document: Document) -> Iterator[Problem]:
    """Yield all problems of a parsed document."""
    yield from _check_identifiers(document)
    yield from _check_budgets(document)
    yield from _check_workspaces(document)
    for name, target in document.targets_by_id.items():
        yield from _check_target(name, target)
    for name, turn in document.turns_by_target.items():
        yield from _check_turn(document, name, turn)


def _check_identifiers(document: Document) -> Iterator[Problem]:
    names_by_section: dict[str, Iterable[str]] = {
        "budgets": document.budgets_by_id,
        "workspaces": document.workspaces_by_id,
        "targets": document.targets_by_id,
    }
    for section, names in names_by_section.items():
        for name in names:
            if not _IDENTIFIER.fullmatch(name):
                expected = "expected 1 to 128 letters, digits or . _ : @ -"
                yield Problem(section, name, expected)


def _check_budgets(document: Document) -> Iterator[Problem]:
    for name, budget in document.budgets_by_id.items():
        yield from _check_range(
            "budgets", f"{name}.paid_tokens", budget.paid_tokens, 0, MAX_TOKENS
        )
        yield from _check_range("budgets", f"{name}.endurance", budget.endurance, 0, 1)


def _check_workspaces(document: Document) -> Iterator[Problem]:
    workspace_by_hash: dict[str, str] = {}
    for name, workspace in document.workspaces_by_id.items():
        for index, key in enumerate(workspace.keys):
            path = f"{name}.keys[{index}]"
            yield from _check_key(document, path, key)
            owner = workspace_by_hash.setdefault(key.sha256, path)
            if owner != path:
                expected = f"expected a key of its own; {owner} has the same"
                yield Problem("workspaces", f"{path}.sha256", expected)
        yield from _check_workspace_targets(document, name, workspace)


def _check_key(document: Document, path: str, key: KeyModel) -> Iterator[Problem]:
    if not is_sha256(key.sha256):
        expected = "expected a SHA-256 as 64 lower-case hex digits"
        yield Problem("workspaces", f"{path}.sha256", expected)
    if key.budget not in document.budgets_by_id:
        expected = f"expected a budget of the section budgets, not {key.budget!r}"
        yield Problem("workspaces", f"{path}.budget", expected)


def _check_workspace_targets(
    document: Document, name: str, workspace: WorkspaceModel
) -> Iterator[Problem]:
    for index, target in enumerate(workspace.targets):
        path = f"{name}.targets[{index}]"
        if target not in document.targets_by_id:
            expected = f"expected a target of the section targets, not {target!r}"
            yield Problem("workspaces", path, expected)
        if target in workspace.targets[:index]:
            yield Problem("workspaces", path, f"expected {target!r} only once")


def _check_target(name: str, target: TargetModel) -> Iterator[Problem]:
    bounds_by_field = {
        "slots_per_runner": MAX_SLOTS,
        "max_prompt_bytes": MAX_PROMPT_BYTES,
        "max_output_tokens": MAX_TOKENS,
        "default_output_tokens": target.max_output_tokens,
    }
    for field, maximum in bounds_by_field.items():
        value = getattr(target, field)
        yield from _check_range("targets", f"{name}.{field}", value, 1, maximum)
    if target.kind == "engine" and target.calls:
        yield Problem("targets", f"{name}.calls", "expected none for an engine")
    yield from _check_calls(name, target)


def _check_calls(name: str, target: TargetModel) -> Iterator[Problem]:
    seen: set[tuple[str, str]] = set()
    for index, call in enumerate(target.calls):
        path = f"{name}.calls[{index}]"
        yield from _check_range(
            "targets", f"{path}.cost_tokens", call.cost_tokens, 0, MAX_TOKENS
        )
        if call.method not in METHODS:
            expected = f"expected one of {', '.join(METHODS)}"
            yield Problem("targets", f"{path}.method", expected)
        if not call.path.startswith("/"):
            yield Problem("targets", f"{path}.path", "expected a path from /")
        if (call.method, call.path) in seen:
            expected = "expected another method and path than an earlier call"
            yield Problem("targets", path, expected)
        seen.add((call.method, call.path))


def _check_turn(document: Document, name: str, turn: TurnModel) -> Iterator[Problem]:
    if name not in document.targets_by_id:
        yield Problem("turns", name, "expected a target of the section targets")
    yield from _check_range(
        "turns", f"{name}.queue_limit", turn.queue_limit, 1, MAX_SLOTS
    )
    yield from _check_positive(
        f"{name}.deadline_seconds", turn.deadline_seconds, MAX_DEADLINE_SECONDS
    )
    for workspace, weight in turn.weights_by_workspace.items():
        path = f"{name}.weights_by_workspace.{workspace}"
        if workspace not in document.workspaces_by_id:
            expected = "expected a workspace of the section workspaces"
            yield Problem("turns", path, expected)
        yield from _check_positive(path, weight, MAX_WEIGHT)


def _check_positive(path: str, value: float, maximum: float) -> Iterator[Problem]:
    if not (math.isfinite(value) and 0 < value <= maximum):
        expected = f"expected a number above 0 and up to {maximum:g}, not {value:g}"
        yield Problem("turns", path, expected)


def _check_range(
    section: str, path: str, value: float, minimum: float, maximum: float
) -> Iterator[Problem]:
    if not (math.isfinite(value) and minimum <= value <= maximum):
        expected = f"expected a number from {minimum:g} to {maximum:g}, not {value:g}"
        yield Problem(section, path, expected)
