"""``ledger verify`` and ``budget history``: the log folded anew, apart from daemons.

Every partition is read from the log service and folded; after each record the
invariants of the ledger are checked.  A violation names partition, offset and
budget.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from godwitrudder.ctl.client import OperatorClient
from godwitrudder.ctl.command import Exit, FleetCommand
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.platform.log import Log, LogRecord, LogUnavailable, StoreLog
from godwitrudder.process.ledger import partition_of
from godwitrudder.process.partition import stream_of
from godwitrudder.process.snapshots import snapshot_stream_of
from godwitrudder.version import records, snapshot
from godwitrudder.version.fold import Applied, Budget, Effect, LedgerFold, Voided

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
class Tally:
    """What one partition holds.

    Attributes
    ----------
    first : int
        Lowest offset that the log still has.
    whole : bool
        Whether the fold began at the start of the stream or at a snapshot.
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
    """Yield the records that the log keeps, up to its end as first seen."""
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
    """Return the state of the newest whole snapshot, None where there is none."""
    collector = snapshot.Collector()
    for record in read_stream(log, snapshot_stream_of(partition)):
        if isinstance(record, LogUnavailable):
            return record
        collector.add(record.data, record.time)
    return collector.newest()


def _differs(saved: LedgerFold, fold: LedgerFold) -> bool:
    """Whether a snapshot of this very offset holds another state."""
    if saved.next_offset != fold.next_offset:
        return False
    return snapshot.encode(saved) != snapshot.encode(fold)


def broken(budget: Budget) -> Iterator[str]:
    """Yield the invariants that a budget breaks."""
    held = sum(h.remaining for h in budget.holdings_by_incarnation.values())
    if budget.billed + budget.open > budget.paid:
        yield "spent and granted within paid"
    if held != budget.open:
        yield "grants add up to what is open"
    if min(budget.billed, budget.open, budget.topped_up) < 0:
        yield "no amount below zero"


def check(fold: LedgerFold, effects: list[Effect]) -> Iterator[tuple[str, str]]:
    """Yield budget and invariant for what a record broke."""
    for effect in effects:
        entry = effect.entry
        name = str(getattr(entry, "budget", ""))
        if effect.violation:
            yield name, "tokens served that nobody is charged for"
        budget = fold.budgets_by_id.get(name)
        if budget is not None:
            yield from ((name, text) for text in broken(budget))
        if isinstance(entry, records.Closing):
            for other, state in fold.budgets_by_id.items():
                yield from ((other, text) for text in broken(state))


class LedgerVerify(FleetCommand):
    """Fold the whole ledger anew and check every invariant."""

    name = "ledger verify"
    description = "Fold the ledger from the log anew and check every invariant."

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Check it; rejected if an invariant does not hold."""
        if settings.log is None:
            self.fail("log: expected the address of the log in the settings")
            return Exit.USAGE
        tallies: list[Tally] = []
        violations: list[Violation] = []
        log = StoreLog(settings.log)
        bar = self.progress_bar(settings.ledger_partitions)
        for partition in range(settings.ledger_partitions):
            tally = Tally(partition)
            for found in self._verify(log, tally):
                if isinstance(found, LogUnavailable):
                    self.fail(f"the log gave no answer: {found.reason}")
                    return Exit.UNREACHABLE
                violations.append(found)
            tallies.append(tally)
            if not self.for_scripts:
                bar.advance()
        self._report(tallies, violations)
        return Exit.REJECTED if violations else Exit.DONE

    def _verify(self, log: Log, tally: Tally) -> Iterator[Violation | LogUnavailable]:
        saved = newest_snapshot(log, tally.partition)
        if isinstance(saved, LogUnavailable):
            yield saved
            return
        fold = LedgerFold()
        bill_by_request: dict[str, int] = {}
        for record in read_stream(log, stream_of(tally.partition)):
            if isinstance(record, LogUnavailable):
                yield record
                return
            if not tally.records and record.offset:
                # Older records have aged out.
                tally.whole = saved is not None and saved.next_offset >= record.offset
                fold = saved or fold
            tally.first = record.offset if not tally.records else tally.first
            tally.records += 1
            if not tally.whole:
                continue
            effects = fold.apply(record.offset, record.time, record.data)
            for name, text in check(fold, effects):
                yield Violation(tally.partition, record.offset, name, text)
            for name in _billed_again(effects, bill_by_request, record.offset):
                text = "each request billed once"
                yield Violation(tally.partition, record.offset, name, text)
            if saved is not None and saved is not fold and _differs(saved, fold):
                text = "a snapshot equals the fold"
                yield Violation(tally.partition, record.offset, "", text)
        budgets = fold.budgets_by_id.values()
        tally.budgets = len(budgets)
        tally.paid = sum(budget.paid for budget in budgets)
        tally.billed = sum(budget.billed for budget in budgets)
        tally.open = sum(budget.open for budget in budgets)

    def _report(self, tallies: list[Tally], violations: list[Violation]) -> None:
        if self.for_scripts:
            self.print_json({"partitions": tallies, "violations": violations})
            return
        self.line("")
        heads = ["partition", "from", "records", "budgets", "paid", "billed", "open"]
        rows = [
            [t.partition, t.first, t.records, t.budgets, t.paid, t.billed, t.open]
            for t in tallies
        ]
        self.print_table(heads, rows)
        for tally in tallies:
            if not tally.whole:
                text = f"partition {tally.partition}: older records have aged out"
                self.fail(f"{text}; invariants were not checked there")
        for found in violations[:MAX_SHOWN]:
            place = f"partition {found.partition} offset {found.offset}"
            self.fail(f"{place}: {found.budget}: broken: {found.invariant}")
        if not violations:
            self.line("no invariant is broken")


def _billed_again(
    effects: list[Effect], offset_by_request: dict[str, int], offset: int
) -> Iterator[str]:
    """Yield the budgets of bills that counted though an earlier one did."""
    for effect in effects:
        if isinstance(effect, Applied) and isinstance(effect.entry, records.Bill):
            request = effect.entry.request
            if request in offset_by_request:
                yield effect.entry.budget
            offset_by_request[request] = offset


class BudgetHistory(FleetCommand):
    """Print what was paid into a budget, as far as the log keeps it."""

    name = "budget history"
    description = "Print what was paid into a budget, as far as the log keeps it."
    arguments: ClassVar[list[Argument]] = [argument("budget", "Identifier.")]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it."""
        if settings.log is None:
            self.fail("log: expected the address of the log in the settings")
            return Exit.USAGE
        rows: list[list[Any]] = []
        fold = LedgerFold()
        name = self.argument("budget")
        stream = stream_of(partition_of(name, settings.ledger_partitions))
        for record in read_stream(StoreLog(settings.log), stream):
            if isinstance(record, LogUnavailable):
                self.fail(f"the log gave no answer: {record.reason}")
                return Exit.UNREACHABLE
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(record.time))
            for effect in fold.apply(record.offset, record.time, record.data):
                row = _payment(effect, name)
                if row:
                    rows.append([record.offset, when, *row])
        heads = ["offset", "UTC", "what", "tokens", "reason"]
        if self.for_scripts:
            self.print_json([dict(zip(heads, row, strict=True)) for row in rows])
        else:
            self.print_table(heads, rows)
        return Exit.DONE


def _payment(effect: Effect, budget: str) -> list[Any]:
    """Return what was paid in by a record; empty for other records."""
    entry = effect.entry
    void = f" void: {effect.reason}" if isinstance(effect, Voided) else ""
    if isinstance(entry, records.Base) and entry.budget == budget:
        words = f"document version {entry.config_offset}"
        return [f"document{void}", entry.tokens, words]
    if isinstance(entry, records.TopUp) and entry.budget == budget:
        return [f"top-up{void}", entry.tokens, entry.reason]
    return []


COMMANDS: Final = (LedgerVerify, BudgetHistory)
