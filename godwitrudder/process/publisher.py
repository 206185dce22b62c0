"""Publishes operators' changes so that they apply once, and reads them back.

An append whose answer is lost may still have succeeded.  The publisher therefore
appends edits and drains again with the same operation id after a failed append, until
the record is read back or ``READ_BACK_TIMEOUT_SECONDS`` pass.  A top-up is submitted
once, since the ledger itself repeats appends.  The verdict of ``ConfigFold``, or the
effect of ``LedgerFold`` for a top-up, is the result.  A change is reported as accepted
only after it.
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
from godwitrudder.validation import Problem
from godwitrudder.version import records
from godwitrudder.version.checks import problems
from godwitrudder.version.config_fold import apply_edit
from godwitrudder.version.config_records import (
    CONFIG_STREAM,
    MAX_RECORD_BYTES,
    Drain,
    Edit,
    Verdict,
)
from godwitrudder.version.document import Document, build
from godwitrudder.version.fold import Applied, Effect
from godwitrudder.views import ChangeOutcome, EditView, SectionView, TopUpView

READ_BACK_TIMEOUT_SECONDS: Final = 10.0
# Shortest time between two appends of one record.
APPEND_RETRY_SECONDS: Final = 2.0
READ_BACK_POLL_SECONDS: Final = 0.02
MAX_PROBLEMS: Final = 20


class Publisher:
    """Handles the write requests of the operator port."""

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
        self._waiting_ops: set[str] = set()
        ledger.listen(self._on_effect)

    def edit(self, edit: Edit) -> EditView:
        """Check an edit, publish it and return the verdict that was read back."""
        verdict = self._verdict(edit.op)
        if verdict is not None:
            return self._verdict_view(verdict)
        problem_texts = [str(problem) for problem in self._problems(edit)]
        if problem_texts:
            return self._rejected_view(edit, problem_texts)
        return self._publish(edit)

    def drain(self, drain: Drain) -> EditView:
        """Publish a drain and return the verdict that was read back."""
        verdict = self._verdict(drain.op)
        return self._publish(drain) if verdict is None else self._verdict_view(verdict)

    def top_up(self, entry: records.TopUp) -> TopUpView:
        """Append a top-up and wait until its effect is read back."""
        self._waiting_ops.add(entry.op)
        self._ledger.submit(entry.budget, entry)
        deadline = self._clock.now() + READ_BACK_TIMEOUT_SECONDS
        while entry.op not in self._effect_by_op and self._clock.now() < deadline:
            gevent.sleep(READ_BACK_POLL_SECONDS)
        self._waiting_ops.discard(entry.op)
        effect = self._effect_by_op.pop(entry.op, None)
        if effect is None:
            note = "not read back in time; send the same op again"
            return TopUpView(outcome=ChangeOutcome.UNKNOWN, op=entry.op, note=note)
        if isinstance(effect, Applied):
            return TopUpView(outcome=ChangeOutcome.ACCEPTED, op=entry.op)
        return _voided_top_up_view(entry.op, effect.reason.value)

    def _on_effect(self, effect: Effect) -> None:
        """Store the first effect of each top-up that a caller waits for."""
        entry = effect.entry
        if isinstance(entry, records.TopUp) and entry.op in self._waiting_ops:
            self._effect_by_op.setdefault(entry.op, effect)

    def _publish(self, record: Edit | Drain) -> EditView:
        data = codec.encode(record)
        if len(data) > MAX_RECORD_BYTES:
            problem_text = f"record: expected at most {MAX_RECORD_BYTES} bytes"
            return _edit_view(ChangeOutcome.REJECTED, record.op, [problem_text])
        deadline = self._clock.now() + READ_BACK_TIMEOUT_SECONDS
        while self._clock.now() < deadline:
            task = gevent.spawn(self._log.append, CONFIG_STREAM, data)
            verdict = self._read_back(record.op, task, deadline)
            if verdict is not None:
                return self._verdict_view(verdict)
        return _edit_view(ChangeOutcome.UNKNOWN, record.op)

    def _read_back(self, op: str, task: Greenlet, deadline: float) -> Verdict | None:
        """Wait for the verdict; return None when it is time to append again.

        The record may be read back long before the log answers the append.
        """
        retry_at = self._clock.now() + APPEND_RETRY_SECONDS
        while self._clock.now() < deadline:
            verdict = self._verdict(op)
            if verdict is not None:
                return verdict
            failed = task.ready() and isinstance(task.value, LogUnavailable)
            if failed and self._clock.now() >= retry_at:
                return None
            gevent.sleep(READ_BACK_POLL_SECONDS)
        return self._verdict(op)

    def _verdict(self, op: str) -> Verdict | None:
        return self._configuration.fold.verdicts_by_op.get(op)

    def _problems(self, edit: Edit) -> list[Problem]:
        """Return why the fold would reject an edit.

        If it would accept the edit, return the budgets that the edit reduces below
        their billed and granted tokens, which only the ledger knows.
        """
        document = self._configuration.document
        after = apply_edit(document, document.version + 1, edit)
        if isinstance(after, Problem):
            return list(_all_problems(document, edit)) or [after]
        return [*self._reduced_below_committed(after)][:MAX_PROBLEMS]

    def _reduced_below_committed(self, after: Document) -> Iterator[Problem]:
        """Yield a problem for each changed budget that is below its committed tokens.

        Committed tokens are those billed and granted, less those topped up.
        """
        current = self._configuration.document.budgets_by_id
        for name, model in after.budgets_by_id.items():
            state = self._ledger.budget(name)
            if state is None or current.get(name) == model:
                continue
            minimum = state.billed + state.open - state.topped_up
            if model.paid_tokens < minimum:
                expected = f"expected at least {minimum}, already billed or granted"
                yield Problem("budgets", f"{name}.paid_tokens", expected)

    def _rejected_view(self, edit: Edit, problem_texts: list[str]) -> EditView:
        made_on = {change.section: change.made_on for change in edit.changes}
        return _edit_view(
            ChangeOutcome.REJECTED,
            edit.op,
            problem_texts,
            self._changed_sections(made_on),
        )

    def _verdict_view(self, verdict: Verdict) -> EditView:
        if verdict.accepted:
            view = _edit_view(ChangeOutcome.ACCEPTED, verdict.op)
            view.version = verdict.offset
            return view
        standing = self._changed_sections(verdict.made_on_by_section)
        return _edit_view(
            ChangeOutcome.REJECTED, verdict.op, [verdict.problem], standing
        )

    def _changed_sections(self, made_on: dict[str, int]) -> dict[str, SectionView]:
        """Return the sections whose version changed since an edit was made."""
        version_of = self._configuration.fold.version_of
        return {
            name: self._console.section(name)
            for name, version in made_on.items()
            if version_of(name) != version
        }


def _all_problems(document: Document, edit: Edit) -> Iterator[Problem]:
    """Yield up to ``MAX_PROBLEMS`` problems of an edit whose text parses.

    Yields none for an edit that was made on an old version.
    """
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


def _voided_top_up_view(op: str, reason: str) -> TopUpView:
    """Return the view of a void top-up; a repeated one counts as accepted."""
    if reason == "repeated":
        note = "already paid in by an earlier record with this operation id"
        return TopUpView(outcome=ChangeOutcome.ACCEPTED, op=op, note=note)
    return TopUpView(outcome=ChangeOutcome.REJECTED, op=op, note=reason)


def _edit_view(
    outcome: ChangeOutcome,
    op: str,
    problem_texts: list[str] | None = None,
    standing: dict[str, SectionView] | None = None,
) -> EditView:
    return EditView(
        outcome=outcome, op=op, problems=problem_texts or [], standing=standing or {}
    )
