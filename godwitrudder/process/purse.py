"""The purse: this host's holdings, and the task that states them in the store.

One statement at a time is under way.  It is repeated, word for word and under
the same sequence number, until the store says that it stands or that a later
incarnation fenced this one.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import gevent
from gevent.event import AsyncResult, Event

from godwitrudder import codec
from godwitrudder.platform import names
from godwitrudder.platform.store import (
    Forgotten,
    KeyedRecord,
    Producer,
    Rejected,
    Store,
    Unavailable,
)
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.request.holding import Holding, Policy
from godwitrudder.version.catalogue import Catalogue
from godwitrudder.version.statements import Book, Row, Statement, spent_at_most

INTERVAL_SECONDS: Final = 0.5
"""Between statements without a waiting request: two calls a second and host."""
RETRY_SECONDS: Final = 0.4
"""Between calls of a store that does not answer; calls are priced."""
SILENT_SECONDS: Final = 1.2
"""Without an answer for so long the store counts as out of reach."""
STEP_SECONDS: Final = 0.03
"""Between statements for waiting requests, so that they share one."""
REFRESH_SECONDS: Final = 0.7
"""A statement that holds something is stated anew while it is young."""
CHANGE_LEAST: Final = 0.02
"""Rows that changed by less, relative, are not stated anew."""


@dataclass(frozen=True, slots=True)
class NoTokens:
    """A reservation that was not made.

    Attributes
    ----------
    exhausted : bool
        The prepaid amount does not cover the request, as far as is known.
    """

    exhausted: bool
    free: int
    silent_seconds: float


@dataclass(slots=True)
class Reservation:
    """Tokens of one request at its most."""

    workspace: str
    tokens: int


class Purse:
    """The holdings of one host by workspace."""

    def __init__(
        self,
        store: Store,
        host: str,
        catalogue: Callable[[], Catalogue | None],
        log: DecisionLog,
        policy: Policy,
    ) -> None:
        self._store = store
        self._host = host
        self._catalogue = catalogue
        self._log = log
        self._policy = policy
        self._book = Book()
        self._holdings: dict[str, Holding] = {}
        self._bases: dict[str, int] = {}
        self._wanted = Event()
        self._waiters: list[tuple[str, int, AsyncResult]] = []
        self._sequence = 0
        self._epoch = 0
        self._offset: int | None = None
        self._stated_end = 0
        self.answered_at = 0.0
        self.leaving = False
        self.opened = Event()

    def now(self) -> float:
        """Return the machine's seconds, suspension counted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def booted(self) -> float:
        """Return the wall seconds at which the machine's clock was zero."""
        return time.time() - self.now()

    @property
    def silent_seconds(self) -> float:
        """Return the time since the store last answered."""
        return self.now() - self.answered_at

    def hosts(self) -> int:
        """Return the hosts that ever made a statement, at least one."""
        return max(1, self._book.hosts)

    def reserve(
        self, request: str, workspace: str, tokens: int, patience: float
    ) -> Reservation | NoTokens:
        """Take tokens, waiting a while for a further statement."""
        holding = self._holding(workspace)
        now = self.now()
        holding.demand.asked(tokens, now)
        if not self._waits_for(workspace) and holding.reserve(tokens, now):
            return Reservation(workspace, tokens)
        refused = self._hopeless(workspace, tokens)
        if refused is None:
            refused = self._wait(workspace, holding, tokens, patience)
        if refused is None:
            return Reservation(workspace, tokens)
        self._log.note(
            "no_tokens",
            request,
            workspace=workspace,
            tokens=tokens,
            spent=holding.spent,
            granted=holding.granted,
            spendable=holding.spendable(self.now()),
            exhausted=refused.exhausted,
            free=refused.free,
            silent=round(refused.silent_seconds, 3),
        )
        return refused

    def settle(self, reservation: Reservation, used: int) -> None:
        """Give back what a request did not use."""
        self._holding(reservation.workspace).settle(reservation.tokens, used)

    def run(self) -> None:
        """State and read for as long as the process lives."""
        self._open()
        while True:
            self._wanted.wait(INTERVAL_SECONDS)
            self._wanted.clear()
            self._state()
            self._read()
            self._serve()
            gevent.sleep(STEP_SECONDS)

    def leave(self) -> None:
        """Hold nothing ahead from now on; requests draw what they need."""
        self.leaving = True
        self._wanted.set()

    def settled(self) -> bool:
        """Whether the store knows that nothing is held beyond what was spent."""
        return not self.opened.is_set() or all(
            holding.pending is None
            and holding.stated is not None
            and holding.stated.limit <= holding.spent
            for holding in self._holdings.values()
        )

    def _waits_for(self, workspace: str) -> bool:
        return any(name == workspace for name, _, _ in self._waiters)

    def _wait(
        self, workspace: str, holding: Holding, tokens: int, patience: float
    ) -> NoTokens | None:
        if self.silent_seconds > SILENT_SECONDS:
            return self._none(workspace, tokens)
        result: AsyncResult = AsyncResult()
        waiter = (workspace, tokens, result)
        self._waiters.append(waiter)
        holding.waiting += tokens
        self._wanted.set()
        try:
            result.wait(patience)
        except BaseException:
            if result.ready():
                holding.settle(tokens, 0)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                holding.waiting -= tokens
        if result.ready() or holding.reserve(tokens, self.now()):
            return None
        return self._none(workspace, tokens)

    def _serve(self) -> None:
        """Give reservations to those that wait, in their order."""
        now = self.now()
        passed: set[str] = set()
        for waiter in list(self._waiters):
            workspace, tokens, result = waiter
            holding = self._holding(workspace)
            if workspace in passed or not holding.reserve(tokens, now):
                passed.add(workspace)
                continue
            self._waiters.remove(waiter)
            holding.waiting -= tokens
            result.set(True)

    def _hopeless(self, workspace: str, tokens: int) -> NoTokens | None:
        """Refuse at once what no statement could cover."""
        refused = self._none(workspace, tokens)
        return refused if refused.exhausted else None

    def _none(self, workspace: str, tokens: int) -> NoTokens:
        prepaid = self._prepaid(workspace)
        others = self._book.others(self._host, workspace)
        free = prepaid - others.cap - self._holding(workspace).spent
        silent = self.silent_seconds
        known = silent < SILENT_SECONDS and self.opened.is_set()
        return NoTokens(known and free < tokens, free, silent)

    def _prepaid(self, workspace: str) -> int:
        catalogue = self._catalogue()
        if catalogue is None or workspace not in catalogue.workspaces_by_name:
            return 0
        prepaid = catalogue.workspaces_by_name[workspace].prepaid
        return 2**53 if prepaid is None else prepaid

    def _holding(self, workspace: str) -> Holding:
        holding = self._holdings.get(workspace)
        if holding is None:
            base = self._bases.get(workspace, 0)
            holding = Holding(
                spent=base,
                granted=base,
                young_seconds=self._policy.young_seconds,
            )
            self._holdings[workspace] = holding
        return holding

    def _open(self) -> None:
        """Fence former incarnations, then take over what they can't have spent."""
        page = self._newest()
        own = self._book.statements_by_host.get(self._host)
        self._epoch = 1 if own is None else own.epoch + 1
        while True:
            answer = self._store.append(names.LEDGER_TOPIC, None, self._producer())
            if isinstance(answer, int):
                break
            if isinstance(answer, Rejected) and answer.status == 409:
                self._epoch += 1
            self._log.note("ledger_open", epoch=self._epoch, answer=str(answer))
            gevent.sleep(RETRY_SECONDS)
        page = self._newest()
        self._offset = page
        own = self._book.statements_by_host.get(self._host)
        if self._host in self._book.unread:
            raise RuntimeError("the former statement of this host can't be read")
        now, booted = self.now(), self.booted()
        rows = {} if own is None else own.rows_by_workspace
        for workspace, row in rows.items():
            assert own is not None
            base = spent_at_most(row, own, now, booted)
            self._bases[workspace] = base
            holding = self._holding(workspace)
            holding.spent = base
            holding.granted = base
        self._log.note(
            "ledger_opened",
            epoch=self._epoch,
            hosts=self._book.hosts,
            clock=round(now, 3),
            booted=round(booted, 3),
            former_sent=None if own is None else round(own.sent, 3),
            former_booted=None if own is None else round(own.booted, 3),
            held=sum(row.limit - row.cap for row in rows.values()),
            stranded=sum(self._bases[name] - row.cap for name, row in rows.items()),
        )
        self.opened.set()
        self._wanted.set()

    def _newest(self) -> int:
        """Read the newest statement of every host until the store answers."""
        while True:
            page = self._store.newest(names.LEDGER_TOPIC)
            if not isinstance(page, Unavailable | Rejected):
                for record in page.records:
                    self._put(record)
                self.answered_at = self.now()
                return page.next
            self._log.note("ledger_read", answer=str(page))
            gevent.sleep(RETRY_SECONDS)

    def _put(self, record: KeyedRecord) -> None:
        problem = self._book.put(record.key, record.value)
        if problem is not None:
            self._log.note("statement_unread", host_of=record.key, why=problem.reason)

    def _producer(self) -> Producer:
        return Producer(self._host, self._epoch, self._sequence)

    def _state(self) -> None:
        """Put a statement into the store, if one is due."""
        rows = self._rows()
        if rows is None:
            return
        now = self.now()
        young = self._policy.young_seconds
        statement = Statement(self._epoch, now, self.booted(), young, rows)
        for workspace, row in rows.items():
            self._holding(workspace).send(row, now)
        record = KeyedRecord(self._host, codec.encode(statement))
        self._sequence += 1
        while True:
            answer = self._store.append(names.LEDGER_TOPIC, record, self._producer())
            if isinstance(answer, int):
                break
            self._rejected(answer)
            gevent.sleep(RETRY_SECONDS)
        self._stated_end = answer
        self.answered_at = self.now()
        for workspace in rows:
            self._holding(workspace).stands()

    def _rejected(self, answer: Rejected | Unavailable) -> None:
        self._log.note("statement_open", sequence=self._sequence, answer=str(answer))
        if not isinstance(answer, Rejected) or answer.status != 409:
            return
        if answer.expected_sequence is not None:
            self._sequence = answer.expected_sequence
            return
        self._log.note("fenced", epoch=self._epoch)
        raise RuntimeError("a later incarnation of this host has begun")

    def _rows(self) -> dict[str, Row] | None:
        """Return all rows, None where none has changed enough."""
        catalogue = self._catalogue()
        if catalogue is None:
            return None
        now = self.now()
        rows: dict[str, Row] = {}
        due = False
        names_known = dict.fromkeys([*catalogue.workspaces_by_name, *self._holdings])
        for workspace in names_known:
            known = catalogue.workspaces_by_name.get(workspace)
            if known is not None and known.prepaid is None:
                continue
            holding = self._holding(workspace)
            row = self._row(workspace, holding, now)
            rows[workspace] = row
            due = due or _differs(row, holding, now)
        return rows if due else None

    def _row(self, workspace: str, holding: Holding, now: float) -> Row:
        if self.leaving:
            spent = holding.spent + holding.waiting
            return Row(spent, spent, 0.0, holding.waiting)
        others = self._book.others(self._host, workspace)
        hosts = max(self._book.hosts, 1)
        prepaid = self._prepaid(workspace)
        return holding.plan(now, prepaid, others, hosts, self._policy)

    def _read(self) -> None:
        """Read on; where the history was forgotten, read the newest records."""
        assert self._offset is not None
        page = self._store.read(names.LEDGER_TOPIC, self._offset)
        if isinstance(page, Forgotten):
            self._log.note("ledger_forgotten", offset=self._offset)
            self._offset = self._newest()
        elif isinstance(page, Unavailable | Rejected):
            self._log.note("ledger_read", answer=str(page))
            return
        else:
            for record in page.records:
                self._put(record)
            self._offset = page.next
            self.answered_at = self.now()
        if self._offset < self._stated_end:
            self._wanted.set()
            return
        for workspace, holding in self._holdings.items():
            others = self._book.others(self._host, workspace)
            holding.read(self._prepaid(workspace), others)


def _differs(row: Row, holding: Holding, now: float) -> bool:
    """Whether a row says something that the standing one does not."""
    stated = holding.stated
    if stated is None or holding.waiting:
        return True
    if now - holding.stated_at > REFRESH_SECONDS and row.limit > holding.spent:
        return True
    slack = CHANGE_LEAST * max(0, stated.limit - holding.spent)
    return abs(row.limit - stated.limit) > slack or abs(row.cap - stated.cap) > slack
