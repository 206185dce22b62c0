"""Reserves tokens for requests and publishes this host's statements to the store.

One statement is in flight at a time.  It is retried with the same bytes and the
same sequence number until the store reports that it is stored, or that a later
incarnation of this host has fenced this one.
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
    Appended,
    Forgotten,
    KeyedRecord,
    Producer,
    Rejected,
    Store,
    Unavailable,
)
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.lending import LendingTask
from godwitrudder.request.holding import Holding, Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import Catalogue
from godwitrudder.version.statements import NamedLimit, RunnerCrash, Statement

RETRY_INTERVAL_SECONDS: Final = 0.4
"""Delay between calls to a store that does not answer; calls are priced."""
STORE_SILENT_AFTER_SECONDS: Final = 1.2
"""Time without an answer after which the store is treated as unreachable."""
STATEMENT_BATCH_SECONDS: Final = 0.03
"""Delay between statements, so that requests that wait share one."""


@dataclass(frozen=True, slots=True)
class ReservationRefused:
    """The reason why tokens could not be reserved.

    Attributes
    ----------
    exhausted : bool
        Whether the prepaid amount does not cover the request; True only if the
        store answered recently.
    remaining : int
        Tokens left of the budget, as far as this host knows.
    silent_seconds : float
        Time since the store last answered, the age of this host's knowledge.
    """

    exhausted: bool
    remaining: int
    silent_seconds: float


@dataclass(slots=True)
class Reservation:
    """Tokens reserved for one request: the most that it can use."""

    workspace: str
    tokens: int


@dataclass(slots=True)
class Waiter:
    """A request in the queue for tokens.

    Attributes
    ----------
    deadline : float
        Time at which it stops waiting, in seconds since boot.
    result : AsyncResult of bool
        True once the tokens are reserved; False if no host lent them while the store
        was silent.
    """

    request: str
    workspace: str
    tokens: int
    deadline: float
    result: AsyncResult


class ReservationTask:
    """Reserves tokens for requests and states what this host holds.

    Parameters
    ----------
    catalogue : callable
        Returns the configuration in force.
    peers : Address or None
        Address that receives messages of other hosts; None disables lending.

    Attributes
    ----------
    answered_at : float
        Time at which the store last answered, in seconds since boot.
    opened : Event
        Set once former incarnations are fenced and the ledger was read.
    statement_handlers : list of callable
        Called with each statement that was read, and the host that made it.
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
        self._current_catalogue = catalogue
        self._log = log
        key = secrets.token_bytes(KEY_BYTES)
        self.host_holdings = HostHoldings(
            host, policy, "" if peers is None else str(peers), key
        )
        self.lending: LendingTask | None = None
        if peers is not None:
            self.lending = LendingTask(
                self.host_holdings,
                peers,
                key,
                self.now,
                self._serve_waiters,
                log,
                random,
            )
        self._borrower_by_workspace: dict[str, Greenlet] = {}
        self._configured_version = -1
        self._statement_wanted = Event()
        self._waiters: list[Waiter] = []
        self._sequence = 0
        self._epoch = 0
        self._offset = 0
        self.answered_at = 0.0
        self.opened = Event()
        self.statement_handlers: list[Callable[[str, Statement], None]] = []

    def now(self) -> float:
        """Return the seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def boot_time(self) -> float:
        """Return the wall clock time of the machine's boot, in seconds."""
        return time.time() - self.now()

    @property
    def silent_seconds(self) -> float:
        """Return the time since the store last answered, in seconds."""
        return self.now() - self.answered_at

    def host_count(self) -> int:
        """Return the number of hosts that ever made a statement, at least 1."""
        return max(1, self.host_holdings.statements.hosts)

    def reserve(
        self,
        request: str,
        workspace: str,
        tokens: int,
        max_wait_seconds: float,
    ) -> Reservation | ReservationRefused:
        """Reserve tokens, waiting up to ``max_wait_seconds`` for more of them.

        Parameters
        ----------
        tokens : int
            The most that the request can use.
        """
        self._configure()
        holding = self.host_holdings.holding(workspace)
        now = self.now()
        self.host_holdings.record_demand(workspace, tokens, now)
        queue_empty = all(waiter.workspace != workspace for waiter in self._waiters)
        if queue_empty and holding.reserve(tokens, now):
            return Reservation(workspace, tokens)
        refused = self._refusal(workspace, tokens)
        deadline = now + max_wait_seconds
        waiter = Waiter(request, workspace, tokens, deadline, AsyncResult())
        if not refused.exhausted and self._wait_in_queue(waiter, holding):
            return Reservation(workspace, tokens)
        refused = self._refusal(workspace, tokens)
        self._log.note(
            "no_tokens",
            request,
            workspace=workspace,
            tokens=tokens,
            spent=holding.spent,
            granted=holding.granted,
            spendable=holding.spendable(self.now()),
            exhausted=refused.exhausted,
            free=refused.remaining,
            prepaid=self.host_holdings.prepaid(workspace),
            silent=round(refused.silent_seconds, 3),
        )
        return refused

    def settle(self, reservation: Reservation, used: int) -> None:
        """Return the tokens that a request did not use."""
        self.host_holdings.holding(reservation.workspace).settle(
            reservation.tokens, used
        )

    def run(self) -> None:
        """Publish and read statements until the process ends."""
        self._open_ledger()
        while True:
            self._statement_wanted.wait(self.host_holdings.interval_seconds)
            self._statement_wanted.clear()
            self._configure()
            self._publish_statement()
            self._read_statements()
            self._serve_waiters()
            gevent.sleep(STATEMENT_BATCH_SECONDS)

    def state_crashes(self, crashes: tuple[RunnerCrash, ...]) -> None:
        """State these crashes instead of the former ones; new ones soon."""
        former, self.host_holdings.crashes = self.host_holdings.crashes, crashes
        if any(crash not in former for crash in crashes):
            self._statement_wanted.set()

    def state_limits(self, limits: tuple[NamedLimit, ...]) -> None:
        """State these rate limits instead of the former ones; new ones soon."""
        former, self.host_holdings.limits = self.host_holdings.limits, limits
        if {each.runner for each in limits} - {each.runner for each in former}:
            self._statement_wanted.set()

    def close(self) -> None:
        """Close the port for messages of other hosts."""
        if self.lending is not None:
            self.lending.close()

    def stop_holding_ahead(self) -> None:
        """Stop holding tokens ahead of demand; requests get only what they need."""
        self.host_holdings.stopping = True
        self._statement_wanted.set()

    def all_released(self) -> bool:
        """Whether the stored statement holds no tokens beyond those spent."""
        return not self.opened.is_set() or self.host_holdings.all_tokens_returned()

    def _configure(self) -> None:
        catalogue = self._current_catalogue()
        if catalogue is None or catalogue.version == self._configured_version:
            return
        self._configured_version = catalogue.version
        self.host_holdings.configure(
            {name: each.prepaid for name, each in catalogue.workspaces_by_name.items()}
        )

    def _wait_in_queue(self, waiter: Waiter, holding: Holding) -> bool:
        """Wait in the queue for tokens; return whether they were reserved."""
        opens_at = holding.opens_at(waiter.tokens)
        opens = opens_at is not None and opens_at <= waiter.deadline
        if self._store_silent and self.lending is None and not opens:
            return False
        self._waiters.append(waiter)
        holding.waiting_tokens += waiter.tokens
        self._statement_wanted.set()
        self._start_borrowing(waiter.workspace)
        try:
            self._wait_until_served(waiter, holding)
        except BaseException:
            if waiter.result.ready() and waiter.result.value:
                holding.settle(waiter.tokens, 0)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                holding.waiting_tokens -= waiter.tokens
        if waiter.result.ready():
            return bool(waiter.result.value)
        return holding.reserve(waiter.tokens, self.now())

    @property
    def _store_silent(self) -> bool:
        return self.opened.is_set() and self.silent_seconds > STORE_SILENT_AFTER_SECONDS

    def _start_borrowing(self, workspace: str) -> None:
        """Start borrowing for a workspace's waiting requests, if not yet started."""
        if self.lending is None or workspace in self._borrower_by_workspace:
            return
        self._borrower_by_workspace[workspace] = gevent.spawn(
            self._borrow_for_waiters, workspace
        )

    def _borrow_for_waiters(self, workspace: str) -> None:
        assert self.lending is not None
        try:
            while waiter := self._first_waiter(workspace):
                holding = self.host_holdings.holding(workspace)
                missing = holding.lacks(waiter.tokens, self.now())
                if missing <= 0:
                    self._serve_waiters()
                    if self._first_waiter(workspace) is waiter:
                        break
                    continue
                if not self.lending.borrow(waiter.request, workspace, missing):
                    break
        finally:
            del self._borrower_by_workspace[workspace]
        if self._store_silent:
            self._refuse_waiters(workspace)

    def _first_waiter(self, workspace: str) -> Waiter | None:
        """Return the request of a workspace that has waited longest, if any."""
        return next(
            (each for each in self._waiters if each.workspace == workspace), None
        )

    def _refuse_waiters(self, workspace: str) -> None:
        """Refuse waiting requests that only an answer of the store could serve."""
        holding = self.host_holdings.holding(workspace)
        for waiter in [each for each in self._waiters if each.workspace == workspace]:
            opens_at = holding.opens_at(waiter.tokens)
            if opens_at is not None and opens_at <= waiter.deadline:
                continue
            self._waiters.remove(waiter)
            holding.waiting_tokens -= waiter.tokens
            waiter.result.set(False)

    def _wait_until_served(self, waiter: Waiter, holding: Holding) -> None:
        """Wait for tokens, or until enough are spendable without a new statement."""
        deadline = waiter.deadline
        opens_at = holding.opens_at(waiter.tokens)
        if opens_at is not None:
            waiter.result.wait(max(0.0, min(opens_at, deadline) - self.now()))
        if waiter.result.ready() or holding.spendable(self.now()) >= waiter.tokens:
            return
        waiter.result.wait(max(0.0, deadline - self.now()))

    def _serve_waiters(self) -> None:
        """Reserve tokens for waiting requests; each workspace is served in order."""
        now = self.now()
        blocked: set[str] = set()
        for waiter in list(self._waiters):
            workspace = waiter.workspace
            holding = self.host_holdings.holding(workspace)
            next_in_line = workspace not in blocked
            if not next_in_line or not holding.reserve(waiter.tokens, now):
                blocked.add(workspace)
                continue
            self._waiters.remove(waiter)
            holding.waiting_tokens -= waiter.tokens
            waiter.result.set(True)

    def _refusal(self, workspace: str, tokens: int) -> ReservationRefused:
        free = self.host_holdings.remainder(workspace).tokens
        silent = self.silent_seconds
        known = silent < STORE_SILENT_AFTER_SECONDS and self.opened.is_set()
        return ReservationRefused(known and free < tokens, free, silent)

    def _open_ledger(self) -> None:
        """Fence former incarnations, then take over what they can't have spent."""
        if self.lending is not None:
            self.lending.bound.wait()
        self._offset = self._read_newest()
        own = self.host_holdings.statements.statements_by_host.get(
            self.host_holdings.host
        )
        self._epoch = 1 if own is None else own.epoch + 1
        while True:
            answer = self._store.append_keyed(
                names.LEDGER_TOPIC, None, self._producer()
            )
            if isinstance(answer, Appended):
                break
            if isinstance(answer, Rejected) and answer.status == 409:
                self._epoch += 1
            self._log.note("ledger_open", epoch=self._epoch, answer=str(answer))
            gevent.sleep(RETRY_INTERVAL_SECONDS)
        self._offset = self._read_newest()
        if self.lending is not None:
            self.lending.epoch = self._epoch
        now, booted = self.now(), self.boot_time()
        age = None
        undated = self.host_holdings.former_statement_at_risk(now, booted)
        if undated is not None and self.lending is not None:
            age = self.lending.former_statement_age(undated)
        takeover = self.host_holdings.recover(now, booted, age)
        former = takeover.former
        self._log.note(
            "ledger_opened",
            epoch=self._epoch,
            hosts=self.host_holdings.statements.hosts,
            clock=round(now, 3),
            booted=round(booted, 3),
            former_sent=None if former is None else round(former.sent, 3),
            former_booted=None if former is None else round(former.booted, 3),
            held=takeover.held,
            stranded=takeover.stranded,
            age=age,
        )
        self.opened.set()
        self._statement_wanted.set()

    def _read_newest(self) -> int:
        """Read the newest statement of every host, retrying until the store answers."""
        while True:
            self.host_holdings.statements.begin_read(self.now(), newest_only=True)
            page = self._store.newest(names.LEDGER_TOPIC)
            if not isinstance(page, Unavailable | Rejected):
                for record in page.records:
                    self._apply_record(record)
                self.host_holdings.statements.end_read()
                self.answered_at = self.now()
                return page.next
            self._log.note("ledger_read", answer=str(page))
            gevent.sleep(RETRY_INTERVAL_SECONDS)

    def _apply_record(self, record: KeyedRecord) -> None:
        problem = self.host_holdings.apply_statement(
            record.key, record.value, self.now()
        )
        if problem is not None:
            self._log.note("statement_unread", host_of=record.key, why=problem.reason)
            return
        statement = self.host_holdings.statements.statements_by_host[record.key]
        for handle in self.statement_handlers:
            handle(record.key, statement)

    def _producer(self) -> Producer:
        return Producer(self.host_holdings.host, self._epoch, self._sequence)

    def _publish_statement(self) -> None:
        """Append a statement to the store, if one is due."""
        statement = self.host_holdings.statement(
            self.now(), self.boot_time(), self._epoch
        )
        if statement is None:
            return
        self.host_holdings.statement_sent(statement)
        self._sequence += 1
        end = self._append_until_stored(statement)
        self.answered_at = self.now()
        self.host_holdings.statement_stored(statement, end)

    def _append_until_stored(self, statement: Statement) -> int:
        """Retry a statement until it is stored; return the offset after it."""
        record = KeyedRecord(self.host_holdings.host, codec.encode(statement))
        while True:
            answer = self._store.append_keyed(
                names.LEDGER_TOPIC, record, self._producer()
            )
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

    def _read_statements(self) -> None:
        """Read new statements; if some were forgotten, read the newest per host."""
        self.host_holdings.statements.begin_read(self.now())
        page = self._store.read_keyed(names.LEDGER_TOPIC, self._offset)
        if isinstance(page, Unavailable | Rejected):
            self._log.note("ledger_read", answer=str(page))
            return
        if isinstance(page, Forgotten):
            self._log.note("ledger_forgotten", offset=self._offset)
            self._offset = self._read_newest()
        else:
            for record in page.records:
                self._apply_record(record)
            if page.whole:
                self.host_holdings.statements.end_read()
            self._offset = page.next
            self.answered_at = self.now()
        if not self.host_holdings.apply_read(self._offset):
            self._statement_wanted.set()
