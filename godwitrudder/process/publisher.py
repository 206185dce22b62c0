"""The publisher: an operator's changes, appended once and read back.

An append whose answer is lost may stand, so the record is read back under its
operation id, and appended again under the same id until it is.  What the fold
says is the answer; nothing is reported as accepted before.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import gevent
from gevent import Greenlet

from godwitrudder import codec
from godwitrudder.clock import Clock
from godwitrudder.platform.log import Log, LogUnavailable
from godwitrudder.process.configuration import Configuration
from godwitrudder.process.console import Console
from godwitrudder.process.ledger import Ledger
from godwitrudder.sections import Problem
from godwitrudder.version import records
from godwitrudder.version.checks import problems
from godwitrudder.version.document import Document, build
from godwitrudder.version.edits import (
    CONFIG_STREAM,
    MAX_RECORD_BYTES,
    Drain,
    Edit,
    Verdict,
)
from godwitrudder.version.fold import Applied, Effect
from godwitrudder.version.revisions import apply_edit
from godwitrudder.views import EditView, Outcome, SectionView, TopUpView

WAIT_SECONDS: Final = 10.0
AGAIN_SECONDS: Final = 2.0
STEP_SECONDS: Final = 0.02
MAX_PROBLEMS: Final = 20


class Publisher:
    """Writes of the operators' port."""

    def __init__(
        self,
        log: Log,
        configuration: Configuration,
        ledger: Ledger,
        console: Console,
        clock: Clock,
    ) -> None:
        self._log = log
        self._configuration = configuration
        self._ledger = ledger
        self._console = console
        self._clock = clock
        self._effect_by_op: dict[str, Effect] = {}
        self._waiting: set[str] = set()
        ledger.listen(self._hear)

    def edit(self, edit: Edit) -> EditView:
        """Check, publish and read back an edit."""
        verdict = self._verdict(edit.op)
        if verdict is not None:
            return self._view(verdict)
        found = [str(problem) for problem in self._problems(edit)]
        if found:
            return self._rejected(edit, found)
        return self._publish(edit)

    def drain(self, drain: Drain) -> EditView:
        """Publish and read back a drain."""
        verdict = self._verdict(drain.op)
        return self._publish(drain) if verdict is None else self._view(verdict)

    def top_up(self, entry: records.TopUp) -> TopUpView:
        """Pay tokens in and wait until the ledger says so."""
        self._waiting.add(entry.op)
        self._ledger.submit(entry.budget, entry)
        deadline = self._clock.now() + WAIT_SECONDS
        while entry.op not in self._effect_by_op and self._clock.now() < deadline:
            gevent.sleep(STEP_SECONDS)
        self._waiting.discard(entry.op)
        effect = self._effect_by_op.pop(entry.op, None)
        if effect is None:
            note = "not read back in time; send the same op again"
            return TopUpView(outcome=Outcome.UNKNOWN, op=entry.op, note=note)
        if isinstance(effect, Applied):
            return TopUpView(outcome=Outcome.ACCEPTED, op=entry.op)
        return _voided(entry.op, effect.reason.value)

    def _hear(self, effect: Effect) -> None:
        """Take the first effect of a top-up that is waited for."""
        entry = effect.entry
        if isinstance(entry, records.TopUp) and entry.op in self._waiting:
            self._effect_by_op.setdefault(entry.op, effect)

    def _publish(self, record: Edit | Drain) -> EditView:
        data = codec.encode(record)
        if len(data) > MAX_RECORD_BYTES:
            expected = f"edit: (whole file): expected at most {MAX_RECORD_BYTES} bytes"
            return _view(Outcome.REJECTED, record.op, [expected])
        deadline = self._clock.now() + WAIT_SECONDS
        while self._clock.now() < deadline:
            task = gevent.spawn(self._log.append, CONFIG_STREAM, data)
            verdict = self._read_back(record.op, task, deadline)
            if verdict is not None:
                return self._view(verdict)
        return _view(Outcome.UNKNOWN, record.op)

    def _read_back(self, op: str, task: Greenlet, deadline: float) -> Verdict | None:
        """Wait for the verdict; None when it is time to append again.

        The record may be read back long before the append is answered.
        """
        again = self._clock.now() + AGAIN_SECONDS
        while self._clock.now() < deadline:
            verdict = self._verdict(op)
            if verdict is not None:
                return verdict
            failed = task.ready() and isinstance(task.value, LogUnavailable)
            if failed and self._clock.now() >= again:
                return None
            gevent.sleep(STEP_SECONDS)
        return self._verdict(op)

    def _verdict(self, op: str) -> Verdict | None:
        return self._configuration.fold.verdicts_by_op.get(op)

    def _problems(self, edit: Edit) -> list[Problem]:
        """Return what the fold would say now, and what only the ledger knows."""
        document = self._configuration.document
        after = apply_edit(document, document.version + 1, edit)
        if isinstance(after, Problem):
            return list(_all_problems(document, edit)) or [after]
        return [*self._below_committed(after)][:MAX_PROBLEMS]

    def _below_committed(self, after: Document) -> Iterator[Problem]:
        """Name budgets that would fall below what is billed and granted."""
        former = self._configuration.document.budgets_by_id
        for name, model in after.budgets_by_id.items():
            state = self._ledger.budget(name)
            if state is None or former.get(name) == model:
                continue
            least = state.billed + state.open - state.topped_up
            if model.paid_tokens < least:
                expected = f"expected at least {least}, billed and granted already"
                yield Problem("budgets", f"{name}.paid_tokens", expected)

    def _rejected(self, edit: Edit, found: list[str]) -> EditView:
        made_on = {change.section: change.made_on for change in edit.changes}
        return _view(Outcome.REJECTED, edit.op, found, self._standing(made_on))

    def _view(self, verdict: Verdict) -> EditView:
        if verdict.accepted:
            view = _view(Outcome.ACCEPTED, verdict.op)
            view.version = verdict.offset
            return view
        standing = self._standing(verdict.made_on_by_section)
        return _view(Outcome.REJECTED, verdict.op, [verdict.problem], standing)

    def _standing(self, made_on: dict[str, int]) -> dict[str, SectionView]:
        """Return the sections that have moved on since an edit was made."""
        version_of = self._configuration.fold.version_of
        return {
            name: self._console.section(name)
            for name, version in made_on.items()
            if version_of(name) != version
        }


def _all_problems(document: Document, edit: Edit) -> Iterator[Problem]:
    """Yield every problem of a text that parses, up to a bound."""
    current = document.version_by_section
    if any(current.get(c.section, -1) != c.made_on for c in edit.changes):
        return
    texts = dict(document.text_by_section)
    texts.update((change.section, change.text) for change in edit.changes)
    parsed = build(0, current, texts)
    if isinstance(parsed, Problem):
        return
    for _, problem in zip(range(MAX_PROBLEMS), problems(parsed), strict=False):
        yield problem


def _voided(op: str, reason: str) -> TopUpView:
    """Say what a void top-up means; a repeated one stands already."""
    if reason == "repeated":
        note = "paid in by an earlier record of this op"
        return TopUpView(outcome=Outcome.ACCEPTED, op=op, note=note)
    return TopUpView(outcome=Outcome.REJECTED, op=op, note=reason)


def _view(
    outcome: Outcome,
    op: str,
    found: list[str] | None = None,
    standing: dict[str, SectionView] | None = None,
) -> EditView:
    return EditView(
        outcome=outcome, op=op, problems=found or [], standing=standing or {}
    )
