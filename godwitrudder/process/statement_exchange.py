"""Publishes this host's statements to the store and reads those of all hosts.

One statement is in flight at a time.  It is retried with the same bytes and the same
sequence number until the store reports that it is stored, that a later incarnation of
this host has fenced this one, or that the store came back from an older copy.  In the
last case this process fences its own appends of the former era, reads anew and states
again.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Final

import gevent

from godwitrudder.platform import names
from godwitrudder.platform.store import (
    Appended,
    Forgotten,
    KeyedRecord,
    Page,
    Producer,
    Rejected,
    Store,
    Unavailable,
)
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.lending import LendingTask
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.passed_bounds import PASS_ON_SECONDS
from godwitrudder.request.statement_size import fitted
from godwitrudder.version.cursor import Cursor
from godwitrudder.version.statements import CeilingRecord, Statement, first_epoch

RETRY_INTERVAL_SECONDS: Final = 0.4
"""Delay between calls to a store that does not answer; calls are priced."""
BOUND_BY_COPY_SECONDS: Final = 5.0
"""Further time in which another host may show the age of the older copy."""
BOUNDS_WAIT_INTERVALS: Final = 4
"""Statement intervals that a process whose former statements the store has lost waits
for other hosts to pass on a bound: one in which they notice, and two to state it."""


def boot_seconds() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StatementExchange:
    """Publishes and reads statements for one process.

    Parameters
    ----------
    configure : callable
        Applies the configuration in force, if it has changed; returns whether there is
        one.

    Attributes
    ----------
    answered_at : float
        Time at which the store last answered, in seconds since boot.
    statement_handlers : list of callable
        Called with each statement that was read, and the host that made it.
    """

    def __init__(
        self,
        store: Store,
        host_holdings: HostHoldings,
        lending: LendingTask | None,
        log: DecisionLog,
        configure: Callable[[], bool],
    ) -> None:
        self._store = store
        self._host_holdings = host_holdings
        self._lending = lending
        self._log = log
        self._configure = configure
        self._epoch = 0
        self._sequence = 0
        self._cursor = Cursor()
        self._newest_read_at = 0.0
        self._raises: dict[str, int] = {}
        self.answered_at = 0.0
        self.statement_handlers: list[Callable[[str, Statement], None]] = []

    def now(self) -> float:
        """Return the time of the clock that statements carry, in seconds."""
        return boot_seconds()

    def boot_time(self) -> float:
        """Return the wall clock time of the machine's boot, in seconds."""
        return time.time() - self.now()

    def open(self) -> None:
        """Fence former incarnations, then take over what they can't have spent."""
        started = math.inf
        if self._lending is not None:
            self._lending.bound.wait()
            started = self.now()
        self._read_newest()
        table = self._host_holdings.statements
        own = table.statements_by_host.get(self._host_holdings.host)
        self._epoch = first_epoch(table.era, own)
        self._fence()
        self._read_newest()
        if self._lending is not None:
            self._lending.epoch = self._epoch
        self._wait_for_bounds()
        self._take_over(started)

    def publish(self) -> None:
        """Append a statement to the store, if one is due."""
        statement = self._host_holdings.statement(
            self.now(), self.boot_time(), self._epoch
        )
        if statement is None:
            return
        self._note_raises(statement)
        made = fitted(statement, self._host_holdings.record_bytes)
        if made.left_out:
            self._log.note("statement_cut", fields=made.left_out)
        statement = made.statement
        self._host_holdings.statement_sent(statement)
        self._sequence += 1
        if self._lending is not None:
            self._lending.notice_limits(statement)
        end = self._append_until_stored(made.data)
        if end is not None:
            self.answered_at = self.now()
            self._host_holdings.statement_stored(statement, end)

    def read(self) -> bool:
        """Read new statements; if some were forgotten, read the newest per host.

        Returns False if this host must state before its grants can be updated.
        """
        self._host_holdings.begin_read(self.now())
        assert self._cursor.offset is not None
        page = self._store.read_keyed(names.LEDGER_TOPIC, self._cursor.offset)
        if isinstance(page, Unavailable | Rejected):
            self._log.note("ledger_read", answer=str(page))
            return True
        if self._cursor.enter_era(page.era):
            self._enter_era(page.era)
        elif isinstance(page, Forgotten):
            self._log.note("ledger_forgotten", offset=self._cursor.offset)
            self._read_newest()
        else:
            self._apply_page(page)
        assert self._cursor.offset is not None
        return self._host_holdings.apply_read(self._cursor.offset, self.now())

    def _apply_page(self, page: Page) -> None:
        for record in page.records:
            self._apply_record(record)
        if page.whole:
            self._host_holdings.statements.end_read()
        self._cursor.offset = page.next
        self.answered_at = self.now()

    def _enter_era(self, era: int) -> None:
        """Begin anew in the store's new era; see ``version.statements``."""
        self._host_holdings.begin_era(era, self.now())
        self._log.note("store_restored", topic="ledger", era=era)
        self._fence()
        self._read_newest()

    def _fence(self) -> None:
        """Make the store reject appends of lower epochs under this host's name."""
        table = self._host_holdings.statements
        fence = max(self._epoch, self._host_holdings.fence + 1)
        while True:
            fence = max(fence, first_epoch(table.era, None))
            producer = Producer(self._host_holdings.host, fence, self._sequence)
            answer = self._store.append_keyed(names.LEDGER_TOPIC, None, producer)
            if isinstance(answer, Appended):
                break
            if isinstance(answer, Rejected) and answer.status == 409:
                fence += 1
            self._log.note("ledger_open", epoch=fence, answer=str(answer))
            gevent.sleep(RETRY_INTERVAL_SECONDS)
        self._host_holdings.fence = fence

    def _read_newest(self) -> None:
        """Read the newest statement of every host, retrying until the store answers."""
        while True:
            self._host_holdings.begin_read(self.now(), newest_only=True)
            page = self._store.newest(names.LEDGER_TOPIC)
            if isinstance(page, Unavailable | Rejected):
                self._log.note("ledger_read", answer=str(page))
                gevent.sleep(RETRY_INTERVAL_SECONDS)
                continue
            self._cursor.enter_era(page.era)
            if not self._epoch:
                self._host_holdings.statements.era = page.era
            if page.era <= self._host_holdings.statements.era:
                break
            self._host_holdings.begin_era(page.era, self.now())
            self._fence()
        self._newest_read_at = self.now()
        self._host_holdings.stored_statements.note_read(
            self._host_holdings.statements.era, page.next
        )
        self._apply_page(page)

    def _apply_record(self, record: KeyedRecord) -> None:
        problem = self._host_holdings.apply_statement(
            record.key, record.value, self.now()
        )
        if problem is not None:
            self._log.note("statement_unread", host_of=record.key, why=problem.reason)
            return
        statement = self._host_holdings.statements.statements_by_host[record.key]
        for handle in self.statement_handlers:
            handle(record.key, statement)

    def _note_raises(self, statement: Statement) -> None:
        """Log the ceilings that a statement raises, if they have changed."""
        raises = (statement.ceilings or CeilingRecord()).raises_by_workspace
        if raises != self._raises:
            self._raises = raises
            self._log.note("ceilings_raised", tokens_by_workspace=raises)

    def _append_until_stored(self, data: bytes) -> int | None:
        """Retry a statement until it is stored; return the offset after it.

        Returns None if the store came back from an older copy meanwhile.
        """
        holdings = self._host_holdings
        record = KeyedRecord(holdings.host, data)
        while True:
            producer = Producer(holdings.host, holdings.fence, self._sequence)
            answer = self._store.append_keyed(names.LEDGER_TOPIC, record, producer)
            if not isinstance(answer, Unavailable):
                if self._cursor.enter_era(answer.era):
                    self._enter_era(answer.era)
                    return None
            if isinstance(answer, Appended):
                return answer.end
            self._handle_rejection(answer)
            gevent.sleep(RETRY_INTERVAL_SECONDS)

    def _handle_rejection(self, answer: Rejected | Unavailable) -> None:
        self._log.note("statement_open", sequence=self._sequence, answer=str(answer))
        if not isinstance(answer, Rejected) or answer.status != 409:
            return
        if answer.expected_sequence is not None:
            self._sequence = answer.expected_sequence
            return
        raise RuntimeError("a later incarnation of this host has fenced this one")

    def _wait_for_bounds(self) -> None:
        """Wait until a host passes on a bound, if the store has lost statements.

        A host that finds only statements of former eras can't know that it never
        stated anything.  If nobody passes a bound on, all hosts may have restarted;
        then the first one that can show the age of the older copy bounds them all.
        """
        intervals = BOUNDS_WAIT_INTERVALS * self._host_holdings.interval_seconds
        deadline = self.now() + PASS_ON_SECONDS + intervals
        last_deadline = deadline + BOUND_BY_COPY_SECONDS
        while self._host_holdings.needs_bound and self.now() < last_deadline:
            gevent.sleep(RETRY_INTERVAL_SECONDS)
            self.read()
            if self.now() >= deadline or self._host_holdings.statements.loss_known:
                self._bound_by_copy()
        while self._host_holdings.needs_bound and not self._configure():
            gevent.sleep(RETRY_INTERVAL_SECONDS)

    def _bound_by_copy(self) -> None:
        """Bound what the whole fleet had spent, if all hosts were restarted."""
        holdings = self._host_holdings
        if not holdings.needs_bound or not self._configure():
            return
        bounded = holdings.bound_by_ceilings(self._newest_read_at, self.boot_time())
        lost = holdings.statements.lost
        self._log.note(
            "bound_by_copy",
            bounded=bounded,
            lost=None if lost is None else lost.tokens_by_workspace,
        )

    def _take_over(self, started: float) -> None:
        """Take over from the former process, which had ended at ``started``."""
        now, booted = self.now(), self.boot_time()
        age = None
        undated = self._host_holdings.former_statement_at_risk(now, booted)
        if undated is not None and self._lending is not None:
            age = self._lending.former_statement_age(undated)
        takeover = self._host_holdings.recover(now, booted, age, started)
        former = takeover.former
        table = self._host_holdings.statements
        self._log.note(
            "ledger_opened",
            epoch=self._epoch,
            era=table.era,
            hosts=table.hosts,
            clock=round(now, 3),
            booted=round(booted, 3),
            former_sent=None if former is None else round(former.sent, 3),
            former_booted=None if former is None else round(former.booted, 3),
            held=takeover.held,
            stranded=takeover.stranded,
            age=age,
            lost=takeover.lost,
        )
