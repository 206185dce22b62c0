"""The purse's task: carries statements to the store and back.

One statement at a time is under way.  It is repeated, word for word and under
the same sequence number, until the store says that it stands or that a later
incarnation fenced this one.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

import gevent
from gevent import Greenlet
from gevent.event import AsyncResult, Event

from godwitrudder import codec
from godwitrudder.connection.loans import KEY_BYTES
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
from godwitrudder.process.lending import LendingTask
from godwitrudder.request.holding import Holding, Policy, kept_share
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.sections import Address
from godwitrudder.version.catalogue import Catalogue
from godwitrudder.version.statements import Statement

RETRY_SECONDS: Final = 0.4
"""Between calls of a store that does not answer; calls are priced."""
SILENT_SECONDS: Final = 1.2
"""Without an answer for so long the store counts as out of reach."""
STEP_SECONDS: Final = 0.03
"""Between statements for waiting requests, so that they share one."""


@dataclass(frozen=True, slots=True)
class NoTokens:
    """A reservation that was not made.

    Attributes
    ----------
    exhausted : bool
        The prepaid amount does not cover the request, as far as is known.
    free : int
        What is left of the budget, in tokens.
    silent_seconds : float
        Time since the store answered: the age of what is known.
    """

    exhausted: bool
    free: int
    silent_seconds: float


@dataclass(slots=True)
class Reservation:
    """Tokens of one request at its most."""

    workspace: str
    tokens: int


@dataclass(slots=True)
class Waiter:
    """A request that waits for tokens.

    Attributes
    ----------
    kept : float
        Part of what is held that it leaves for more urgent ones.
    until : float
        Seconds of the machine's clock at which it gives up.
    served : AsyncResult of bool
        Set when it has them, or to False where nobody has them now.
    """

    request: str
    workspace: str
    tokens: int
    rank: int
    kept: float
    until: float
    served: AsyncResult


class PurseTask:
    """Reserves tokens for requests, and states what this host holds.

    Parameters
    ----------
    catalogue : callable
        Returns the configuration in force.
    peers : Address or None
        Where other hosts' messages come in; None for no lending.
    """

    def __init__(
        self,
        store: Store,
        host: str,
        catalogue: Callable[[], Catalogue | None],
        log: DecisionLog,
        policy: Policy,
        peers: Address | None,
        random: Random,
    ) -> None:
        self._store = store
        self._catalogue = catalogue
        self._log = log
        key = secrets.token_bytes(KEY_BYTES)
        self.purse = HostHoldings(
            host, policy, "" if peers is None else str(peers), key
        )
        self.lending: LendingTask | None = None
        if peers is not None:
            self.lending = LendingTask(
                self.purse, peers, key, self.now, self._serve, log, random
            )
        self._borrowers: dict[str, Greenlet] = {}
        self._version = -1
        self._wanted = Event()
        self._waiters: list[Waiter] = []
        self._sequence = 0
        self._epoch = 0
        self._offset = 0
        self.answered_at = 0.0
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
        return max(1, self.purse.book.hosts)

    def reserve(
        self, request: str, workspace: str, tokens: int, patience: float, rank: int
    ) -> Reservation | NoTokens:
        """Take tokens, waiting up to some seconds for a further statement."""
        kept = kept_share(rank, self.silent_seconds > SILENT_SECONDS)
        self._configure()
        holding = self.purse.holding(workspace)
        now = self.now()
        self.purse.record_demand(workspace, tokens, now)
        first = all(waiter.workspace != workspace for waiter in self._waiters)
        if first and holding.reserve(tokens, now, kept):
            return Reservation(workspace, tokens)
        refused = self._none(workspace, tokens)
        until = now + patience
        waiter = Waiter(request, workspace, tokens, rank, kept, until, AsyncResult())
        if not refused.exhausted and self._wait(waiter, holding):
            return Reservation(workspace, tokens)
        refused = self._none(workspace, tokens)
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
            prepaid=self.purse.prepaid(workspace),
            silent=round(refused.silent_seconds, 3),
        )
        return refused

    def settle(self, reservation: Reservation, used: int) -> None:
        """Give back what a request did not use."""
        self.purse.holding(reservation.workspace).settle(reservation.tokens, used)

    def run(self) -> None:
        """State and read for as long as the process lives."""
        self._open()
        while True:
            self._wanted.wait(self.purse.interval_seconds)
            self._wanted.clear()
            self._configure()
            self._state()
            self._read()
            self._serve()
            gevent.sleep(STEP_SECONDS)

    def close(self) -> None:
        """Give the peers' port back."""
        if self.lending is not None:
            self.lending.close()

    def leave(self) -> None:
        """Hold nothing ahead from now on; requests draw what they need."""
        self.purse.leaving = True
        self._wanted.set()

    def settled(self) -> bool:
        """Whether the store knows that nothing is held beyond what was spent."""
        return not self.opened.is_set() or self.purse.settled()

    def _configure(self) -> None:
        catalogue = self._catalogue()
        if catalogue is None or catalogue.version == self._version:
            return
        self._version = catalogue.version
        self.purse.configure(
            {name: each.prepaid for name, each in catalogue.workspaces_by_name.items()}
        )

    def _wait(self, waiter: Waiter, holding: Holding) -> bool:
        """Wait in turn for tokens; whether they were had."""
        opens_at = holding.opens_at(waiter.tokens)
        opens = opens_at is not None and opens_at <= waiter.until
        if self._silent and self.lending is None and (waiter.kept or not opens):
            return False
        self._waiters.append(waiter)
        holding.waiting += waiter.tokens
        self._wanted.set()
        self._borrow(waiter.workspace)
        try:
            self._await(waiter, holding)
        except BaseException:
            if waiter.served.ready() and waiter.served.value:
                holding.settle(waiter.tokens, 0)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                holding.waiting -= waiter.tokens
        if waiter.served.ready():
            return bool(waiter.served.value)
        return holding.reserve(waiter.tokens, self.now(), waiter.kept)

    @property
    def _silent(self) -> bool:
        return self.opened.is_set() and self.silent_seconds > SILENT_SECONDS

    def _borrow(self, workspace: str) -> None:
        """Have tokens borrowed for those that wait, one question at a time."""
        if self.lending is None or workspace in self._borrowers:
            return
        self._borrowers[workspace] = gevent.spawn(self._borrowed, workspace)

    def _borrowed(self, workspace: str) -> None:
        assert self.lending is not None
        try:
            while waiter := self._next(workspace):
                holding = self.purse.holding(workspace)
                lacks = holding.lacks(waiter.tokens, self.now(), waiter.kept)
                if lacks <= 0:
                    self._serve()
                    if self._next(workspace) is waiter:
                        break
                    continue
                name, rank = waiter.request, waiter.rank
                if not self.lending.borrow(name, workspace, lacks, rank):
                    break
        finally:
            del self._borrowers[workspace]
        if self._silent:
            self._turn_away(workspace)

    def _next(self, workspace: str) -> Waiter | None:
        """Return the request of a workspace that has waited longest."""
        return next(
            (each for each in self._waiters if each.workspace == workspace), None
        )

    def _turn_away(self, workspace: str) -> None:
        """End the waits of a workspace that only the store could end."""
        holding = self.purse.holding(workspace)
        for waiter in [each for each in self._waiters if each.workspace == workspace]:
            opens_at = holding.opens_at(waiter.tokens)
            if opens_at is not None and opens_at <= waiter.until and not waiter.kept:
                continue
            self._waiters.remove(waiter)
            holding.waiting -= waiter.tokens
            waiter.served.set(False)

    def _await(self, waiter: Waiter, holding: Holding) -> None:
        """Wait until served, or until the holding opens by itself."""
        until = waiter.until
        opens_at = holding.opens_at(waiter.tokens)
        if opens_at is not None:
            waiter.served.wait(max(0.0, min(opens_at, until) - self.now()))
        if waiter.served.ready() or holding.spendable(self.now()) >= waiter.tokens:
            return
        waiter.served.wait(max(0.0, until - self.now()))

    def _serve(self) -> None:
        """Give reservations to those that wait, in their order."""
        now = self.now()
        passed: set[str] = set()
        for waiter in list(self._waiters):
            workspace = waiter.workspace
            holding = self.purse.holding(workspace)
            had = workspace not in passed
            if not had or not holding.reserve(waiter.tokens, now, waiter.kept):
                passed.add(workspace)
                continue
            self._waiters.remove(waiter)
            holding.waiting -= waiter.tokens
            waiter.served.set(True)

    def _none(self, workspace: str, tokens: int) -> NoTokens:
        free = self.purse.free(workspace).tokens
        silent = self.silent_seconds
        known = silent < SILENT_SECONDS and self.opened.is_set()
        return NoTokens(known and free < tokens, free, silent)

    def _open(self) -> None:
        """Fence former incarnations, then take over what they can't have spent."""
        if self.lending is not None:
            self.lending.bound.wait()
        self._offset = self._newest()
        own = self.purse.book.statements_by_host.get(self.purse.host)
        self._epoch = 1 if own is None else own.epoch + 1
        while True:
            answer = self._store.append_keyed(
                names.LEDGER_TOPIC, None, self._producer()
            )
            if isinstance(answer, int):
                break
            if isinstance(answer, Rejected) and answer.status == 409:
                self._epoch += 1
            self._log.note("ledger_open", epoch=self._epoch, answer=str(answer))
            gevent.sleep(RETRY_SECONDS)
        self._offset = self._newest()
        if self.lending is not None:
            self.lending.epoch = self._epoch
        now, booted = self.now(), self.booted()
        age = None
        unknown = self.purse.former_statement_at_risk(now, booted)
        if unknown is not None and self.lending is not None:
            age = self.lending.age(unknown)
        taken = self.purse.recover(now, booted, age)
        former = taken.former
        self._log.note(
            "ledger_opened",
            epoch=self._epoch,
            hosts=self.purse.book.hosts,
            clock=round(now, 3),
            booted=round(booted, 3),
            former_sent=None if former is None else round(former.sent, 3),
            former_booted=None if former is None else round(former.booted, 3),
            held=taken.held,
            stranded=taken.stranded,
            age=age,
        )
        self.opened.set()
        self._wanted.set()

    def _newest(self) -> int:
        """Read the newest statement of every host until the store answers."""
        while True:
            self.purse.book.begin_read(self.now(), newest_only=True)
            page = self._store.newest(names.LEDGER_TOPIC)
            if not isinstance(page, Unavailable | Rejected):
                for record in page.records:
                    self._put(record)
                self.purse.book.end_read()
                self.answered_at = self.now()
                return page.next
            self._log.note("ledger_read", answer=str(page))
            gevent.sleep(RETRY_SECONDS)

    def _put(self, record: KeyedRecord) -> None:
        problem = self.purse.apply_statement(record.key, record.value, self.now())
        if problem is not None:
            self._log.note("statement_unread", host_of=record.key, why=problem.reason)

    def _producer(self) -> Producer:
        return Producer(self.purse.host, self._epoch, self._sequence)

    def _state(self) -> None:
        """Put a statement into the store, if one is due."""
        statement = self.purse.statement(self.now(), self.booted(), self._epoch)
        if statement is None:
            return
        self.purse.statement_sent(statement)
        self._sequence += 1
        end = self._append(statement)
        self.answered_at = self.now()
        self.purse.statement_stored(statement, end)

    def _append(self, statement: Statement) -> int:
        """Repeat a statement until it stands; return the offset after it."""
        record = KeyedRecord(self.purse.host, codec.encode(statement))
        while True:
            answer = self._store.append_keyed(
                names.LEDGER_TOPIC, record, self._producer()
            )
            if isinstance(answer, int):
                return answer
            self._rejected(answer)
            gevent.sleep(RETRY_SECONDS)

    def _rejected(self, answer: Rejected | Unavailable) -> None:
        self._log.note("statement_open", sequence=self._sequence, answer=str(answer))
        if not isinstance(answer, Rejected) or answer.status != 409:
            return
        if answer.expected_sequence is not None:
            self._sequence = answer.expected_sequence
            return
        raise RuntimeError("a later incarnation of this host has begun")

    def _read(self) -> None:
        """Read on; where the history was forgotten, read the newest records."""
        self.purse.book.begin_read(self.now())
        page = self._store.read_keyed(names.LEDGER_TOPIC, self._offset)
        if isinstance(page, Unavailable | Rejected):
            self._log.note("ledger_read", answer=str(page))
            return
        if isinstance(page, Forgotten):
            self._log.note("ledger_forgotten", offset=self._offset)
            self._offset = self._newest()
        else:
            for record in page.records:
                self._put(record)
            if page.whole:
                self.purse.book.end_read()
            self._offset = page.next
            self.answered_at = self.now()
        if not self.purse.apply_read(self._offset):
            self._wanted.set()
