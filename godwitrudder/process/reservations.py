"""Reserves tokens for requests, from what this host holds or can borrow."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

import gevent
from gevent import Greenlet
from gevent.event import AsyncResult, Event

from godwitrudder.connection.loans import KEY_BYTES
from godwitrudder.platform.store import Store
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.lending import LendingTask
from godwitrudder.process.statement_exchange import StatementExchange, boot_seconds
from godwitrudder.request.holding import Holding, Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import Catalogue
from godwitrudder.version.statements import NamedLimit

STORE_SILENT_AFTER_SECONDS: Final = 1.2
"""Time without an answer after which the store is treated as unreachable."""
JOIN_SECONDS: Final = 3.0
"""Time after its first opening in which a new host can't know all others, as hosts that
start together read each other's first statements only one or two intervals later."""
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
    first_start : bool
        Whether the whole fleet starts for the first time.

    Attributes
    ----------
    exchange : StatementExchange
        Publishes and reads statements.
    opened : Event
        Set once former incarnations are fenced and the ledger was read.
    before_statement : list of callable
        Called before each statement, to set what it says beside the holdings.
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
        first_start: bool = False,
    ) -> None:
        self._store = store
        self._current_catalogue = catalogue
        self._log = log
        key = secrets.token_bytes(KEY_BYTES)
        self.host_holdings = HostHoldings(
            host, policy, "" if peers is None else str(peers), key
        )
        self.host_holdings.first_start = first_start
        self.lending: LendingTask | None = None
        if peers is not None:
            self.lending = LendingTask(
                self.host_holdings,
                peers,
                key,
                boot_seconds,
                self._serve_waiters,
                log,
                random,
            )
        self._borrower_by_workspace: dict[str, Greenlet] = {}
        self._configured_version = -1
        self._statement_wanted = Event()
        self._waiters: list[Waiter] = []
        self.exchange = StatementExchange(
            store, self.host_holdings, self.lending, log, self._configure
        )
        self.opened = Event()
        self._joined_at = 0.0
        self.before_statement: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return the seconds since boot, including time spent suspended."""
        return boot_seconds()

    @property
    def silent_seconds(self) -> float:
        """Return the time since the store last answered, in seconds."""
        return self.now() - self.exchange.answered_at

    def host_count(self) -> int:
        """Return the number of hosts that ever made a statement, at least 1."""
        return max(1, self.host_holdings.statements.hosts)

    def known_hosts(self) -> tuple[str, ...] | None:
        """Return the names of all hosts, None while they are not known."""
        if not self.opened.is_set() or self.now() < self._joined_at:
            return None
        own, table = self.host_holdings.host, self.host_holdings.statements
        return tuple(sorted({own, *table.statements_by_host}))

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

    def reserve_now(self, workspace: str, tokens: int) -> Reservation | None:
        """Reserve tokens if they can be spent at this moment.

        The call neither waits nor borrows; requests that wait for tokens come first.
        """
        holding = self.host_holdings.holding(workspace)
        awaited = any(waiter.workspace == workspace for waiter in self._waiters)
        if awaited or not holding.reserve(tokens, self.now()):
            return None
        return Reservation(workspace, tokens)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Return the tokens that a request did not use."""
        self.host_holdings.holding(reservation.workspace).settle(
            reservation.tokens, used
        )

    def run(self) -> None:
        """Publish and read statements until the process ends."""
        self.exchange.open()
        table = self.host_holdings.statements
        if self.host_holdings.host not in table.statements_by_host:
            self._joined_at = self.now() + JOIN_SECONDS
        self.opened.set()
        self._statement_wanted.set()
        while True:
            self._statement_wanted.wait(self.host_holdings.interval_seconds)
            self._statement_wanted.clear()
            self._configure()
            for prepare in self.before_statement:
                prepare()
            self.exchange.publish()
            if not self.exchange.read():
                self._statement_wanted.set()
            self._serve_waiters()
            gevent.sleep(STATEMENT_BATCH_SECONDS)

    def want_statement(self) -> None:
        """Make a statement soon, if one is due."""
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

    def _configure(self) -> bool:
        """Apply the configuration in force; return whether there is one."""
        catalogue = self._current_catalogue()
        if catalogue is None:
            return False
        if catalogue.version == self._configured_version:
            return True
        self._configured_version = catalogue.version
        self.host_holdings.configure(
            {name: each.prepaid for name, each in catalogue.workspaces_by_name.items()}
        )
        return True

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
