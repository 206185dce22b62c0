"""``ledger verify`` and ``budget history``: replay the log without the daemons.

``ledger verify`` reads every partition from the log, folds its records, and checks the
invariants of the ledger after each record.  A violation names partition, offset and
budget.  ``budget history`` prints the base records and top-ups of one budget.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from godwitrudder.ctl.client import OperatorClient
from godwitrudder.ctl.command import BaseCommand, ExitCode
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.platform.log import Log, LogRecord, LogUnavailable, StoreLog
from godwitrudder.process.ledger import partition_of
from godwitrudder.process.partition import stream_of
from godwitrudder.process.snapshots import snapshot_stream_of
from godwitrudder.version import records, snapshot
from godwitrudder.version.fold import Applied, Budget, Effect, LedgerFold, Voided

# Violations that are printed as text; ``--json`` prints all.
MAX_SHOWN: Final = 50
KINDS_IN_HISTORY: Final = (records.Base, records.TopUp, records.Closing)


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that does not hold after a record."""

    partition: int
    offset: int
    budget: str
    invariant: str


@dataclass(slots=True)
class PartitionSummary:
    """Totals of one partition after its last record.

    Attributes
    ----------
    first : int
        Lowest offset that the log still has.
    records, budgets : int
        Number of records read, and of budgets.
    paid, billed, open : int
        Tokens, summed over the budgets.
    whole : bool
        Whether the fold began at the start of the stream or at a snapshot.  If not,
        the records can't be folded.
    """

    partition: int
    first: int = 0
    records: int = 0
    budgets: int = 0
    paid: int = 0
    billed: int = 0
    open: int = 0
    whole: bool = True


def read_stream(log: Log, stream: str) -> Iterator[LogRecord | LogUnavailable]:
    """Yield the records in the log, up to the end that the first read reports.

    An unavailable log ends the iteration: the last item is its ``LogUnavailable``.
    """
    offset, end = 0, None
    while end is None or offset < end:
        page = log.read(stream, offset)
        if isinstance(page, LogUnavailable):
            yield page
            return
        end = page.next if end is None else end
        yield from page.records
        offset = page.records[-1].offset + 1 if page.records else end


def newest_snapshot(log: Log, partition: int) -> LedgerFold | LogUnavailable | None:
    """Return the state of the newest complete snapshot; None if there is none."""
    collector = snapshot.SnapshotAssembler()
    for record in read_stream(log, snapshot_stream_of(partition)):
        if isinstance(record, LogUnavailable):
            return record
        collector.add(record.data, record.time)
    return collector.newest()


def _snapshot_differs(saved: LedgerFold, fold: LedgerFold) -> bool:
    """Return whether a snapshot at the fold's offset has another state."""
    if saved.next_offset != fold.next_offset:
        return False
    return snapshot.encode(saved) != snapshot.encode(fold)


def broken_invariants(budget: Budget) -> Iterator[str]:
    """Yield the invariants that a budget violates."""
    held = sum(h.remaining for h in budget.holdings_by_incarnation.values())
    if budget.billed + budget.open > budget.paid:
        yield "spent and granted within paid"
    if held != budget.open:
        yield "grants add up to what is open"
    if min(budget.billed, budget.open, budget.topped_up) < 0:
        yield "no amount below zero"


def check_effects(fold: LedgerFold, effects: list[Effect]) -> Iterator[tuple[str, str]]:
    """Yield budget and invariant for each violation after a record."""
    for effect in effects:
        entry = effect.entry
        name = str(getattr(entry, "budget", ""))
        if effect.violation:
            yield name, "tokens served that nobody is charged for"
        budget = fold.budgets_by_id.get(name)
        if budget is not None:
            yield from ((name, text) for text in broken_invariants(budget))
        if isinstance(entry, records.Closing):
            for other, state in fold.budgets_by_id.items():
                yield from ((other, text) for text in broken_invariants(state))


class LedgerVerify(BaseCommand):
    """Replay the whole ledger and check every invariant."""

    name = "ledger verify"
    description = "Replay the ledger from the log and check every invariant."

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Check all partitions; ``FAILED`` if an invariant is violated."""
        if settings.log is None:
            self.print_error("log: expected the address of the log in the settings")
            return ExitCode.USAGE
        summaries: list[PartitionSummary] = []
        violations: list[Violation] = []
        log = StoreLog(settings.log)
        bar = self.progress_bar(settings.ledger_partitions)
        for partition in range(settings.ledger_partitions):
            summary = PartitionSummary(partition)
            for found in self._verify(log, summary):
                if isinstance(found, LogUnavailable):
                    self.print_error(f"the log is unavailable: {found.reason}")
                    return ExitCode.UNREACHABLE
                violations.append(found)
            summaries.append(summary)
            if not self.json_output:
                bar.advance()
        self._print_report(summaries, violations)
        return ExitCode.FAILED if violations else ExitCode.DONE

    def _verify(
        self, log: Log, summary: PartitionSummary
    ) -> Iterator[Violation | LogUnavailable]:
        saved = newest_snapshot(log, summary.partition)
        if isinstance(saved, LogUnavailable):
            yield saved
            return
        fold = LedgerFold()
        offset_by_request: dict[str, int] = {}
        for record in read_stream(log, stream_of(summary.partition)):
            if isinstance(record, LogUnavailable):
                yield record
                return
            if not summary.records and record.offset:
                # The log has expired older records, so the fold needs a snapshot.
                summary.whole = saved is not None and saved.next_offset >= record.offset
                fold = saved or fold
            summary.first = record.offset if not summary.records else summary.first
            summary.records += 1
            if not summary.whole:
                continue
            effects = fold.apply(record.offset, record.time, record.data)
            for name, text in check_effects(fold, effects):
                yield Violation(summary.partition, record.offset, name, text)
            for name in _rebilled_budgets(effects, offset_by_request, record.offset):
                text = "each request billed once"
                yield Violation(summary.partition, record.offset, name, text)
            if (
                saved is not None
                and saved is not fold
                and _snapshot_differs(saved, fold)
            ):
                text = "a snapshot equals the fold"
                yield Violation(summary.partition, record.offset, "", text)
        budgets = fold.budgets_by_id.values()
        summary.budgets = len(budgets)
        summary.paid = sum(budget.paid for budget in budgets)
        summary.billed = sum(budget.billed for budget in budgets)
        summary.open = sum(budget.open for budget in budgets)

    def _print_report(
        self, summaries: list[PartitionSummary], violations: list[Violation]
    ) -> None:
        if self.json_output:
            self.print_json({"partitions": summaries, "violations": violations})
            return
        self.line("")
        headers = ["partition", "from", "records", "budgets", "paid", "billed", "open"]
        rows = [
            [t.partition, t.first, t.records, t.budgets, t.paid, t.billed, t.open]
            for t in summaries
        ]
        self.print_table(headers, rows)
        for summary in summaries:
            if not summary.whole:
                text = f"partition {summary.partition}: older records have expired"
                self.print_error(
                    f"{text} and no snapshot covers them; invariants not checked"
                )
        for found in violations[:MAX_SHOWN]:
            position = f"partition {found.partition} offset {found.offset}"
            self.print_error(f"{position}: {found.budget}: broken: {found.invariant}")
        if not violations:
            self.line("no invariant is broken")


def _rebilled_budgets(
    effects: list[Effect], offset_by_request: dict[str, int], offset: int
) -> Iterator[str]:
    """Yield the budget of each applied bill whose request was billed before."""
    for effect in effects:
        if isinstance(effect, Applied) and isinstance(effect.entry, records.Bill):
            request = effect.entry.request
            if request in offset_by_request:
                yield effect.entry.budget
            offset_by_request[request] = offset


class BudgetHistory(BaseCommand):
    """Print the base records and top-ups of a budget that the log still has."""

    name = "budget history"
    description = "Print the payments into a budget that the log still has."
    arguments: ClassVar[list[Argument]] = [argument("budget", "Identifier.")]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print one row per base record or top-up, voided ones included."""
        if settings.log is None:
            self.print_error("log: expected the address of the log in the settings")
            return ExitCode.USAGE
        rows: list[list[Any]] = []
        fold = LedgerFold()
        name = self.argument("budget")
        stream = stream_of(partition_of(name, settings.ledger_partitions))
        for record in read_stream(StoreLog(settings.log), stream):
            if isinstance(record, LogUnavailable):
                self.print_error(f"the log is unavailable: {record.reason}")
                return ExitCode.UNREACHABLE
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(record.time))
            for effect in fold.apply(record.offset, record.time, record.data):
                row = _payment_row(effect, name)
                if row:
                    rows.append([record.offset, when, *row])
        headers = ["offset", "UTC", "what", "tokens", "reason"]
        if self.json_output:
            self.print_json([dict(zip(headers, row, strict=True)) for row in rows])
        else:
            self.print_table(headers, rows)
        return ExitCode.DONE


def _payment_row(effect: Effect, budget: str) -> list[Any]:
    """Return kind, tokens and reason of a base record or top-up of the budget.

    Empty for any other record.
    """
    entry = effect.entry
    void = f" void: {effect.reason}" if isinstance(effect, Voided) else ""
    if isinstance(entry, records.Base) and entry.budget == budget:
        reason = f"document version {entry.config_offset}"
        return [f"document{void}", entry.tokens, reason]
    if isinstance(entry, records.TopUp) and entry.budget == budget:
        return [f"top-up{void}", entry.tokens, entry.reason]
    return []


COMMANDS: Final = (LedgerVerify, BudgetHistory)
