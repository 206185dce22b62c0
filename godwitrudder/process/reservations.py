"""Reserves tokens for requests, from what this host holds or can borrow."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from random import Random
from typing import Final

import gevent
from gevent.event import Event

from godwitrudder.connection.loans import KEY_BYTES
from godwitrudder.platform.store import Store
from godwitrudder.process.borrowing import PartBorrower
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.lending import LendingTask
from godwitrudder.process.statement_exchange import StatementExchange, boot_seconds
from godwitrudder.process.token_queue import TokenQueue, Waiter
from godwitrudder.request.holding import Holding, Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.tokens.reservation import Reservation, ReservationRefused
from godwitrudder.request.tokens.shortage import (
    STORE_SILENT_AFTER_SECONDS,
    LenderOutcome,
    find_shortage,
)
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import Catalogue
from godwitrudder.version.statements import NamedLimit

JOIN_SECONDS: Final = 3.0
"""Time after its first opening in which a new host can't know all others, as hosts that
start together read each other's first statements only one or two intervals later."""
STATEMENT_BATCH_SECONDS: Final = 0.03
"""Delay between statements, so that requests that wait share one."""


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
                lambda: self._queue.serve(),
                log,
                random,
            )
        self._configured_version = -1
        self._statement_wanted = Event()
        parts = None
        if self.lending is not None:
            parts = PartBorrower(self.lending, boot_seconds, random)
        self._queue = TokenQueue(
            self.host_holdings,
            self.lending,
            parts,
            boot_seconds,
            lambda: self._store_silent,
            self._known_remainder,
            self._statement_wanted.set,
        )
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
        long_wait_rank: int | None = None,
    ) -> Reservation | ReservationRefused:
        """Reserve tokens, waiting up to ``max_wait_seconds`` for more of them.

        Parameters
        ----------
        tokens : int
            The most that the request can use.
        long_wait_rank : int or None
            Rank of a request for which lenders are asked again while it waits; None
            for one that waits only for the next statement and one round of lenders.
            The latter goes first, since it waits for less time.
        """
        self._configure()
        holding = self.host_holdings.holding(workspace)
        now = self.now()
        self.host_holdings.record_demand(workspace, tokens, now)
        rank = long_wait_rank or 0
        if not self._queue.must_wait(workspace, rank) and holding.reserve(tokens, now):
            return Reservation(workspace, tokens)
        long_wait = long_wait_rank is not None
        deadline = now + max_wait_seconds
        waiter = Waiter(request, workspace, tokens, now, deadline, rank, long_wait)
        if not self._exhausted(workspace, tokens) and self._queue.wait(waiter):
            return Reservation(workspace, tokens, self.now() - now)
        return self._refuse(waiter, holding)

    def _refuse(self, waiter: Waiter, holding: Holding) -> ReservationRefused:
        """Return why a request got no tokens, and log it."""
        now = self.now()
        workspace, tokens = waiter.workspace, waiter.tokens
        remainder = self.host_holdings.remainder(workspace)
        tally = self._queue.last_tally(workspace, waiter.arrived_at)
        refused = ReservationRefused(
            self._exhausted(workspace, tokens),
            remainder.tokens,
            self.silent_seconds,
            now - waiter.arrived_at,
            find_shortage(
                holding,
                tokens,
                remainder.tokens,
                remainder.held_elsewhere,
                self._store_silent,
            ),
            LenderOutcome.NOT_ASKED if tally is None else tally.outcome,
            waiter.long_wait and self.host_holdings.stopping,
        )
        stated = holding.stated
        self._log.note(
            "no_tokens",
            waiter.request,
            workspace=workspace,
            tokens=tokens,
            spent=holding.spent,
            granted=holding.granted,
            limit=None if stated is None else stated.limit,
            known_limit=holding.known_limit,
            spendable=holding.spendable(now),
            exhausted=refused.exhausted,
            shortage=refused.shortage,
            free=refused.remaining,
            held_elsewhere=remainder.held_elsewhere,
            prepaid=self.host_holdings.prepaid(workspace),
            silent=round(refused.silent_seconds, 3),
            waited=round(refused.waited_seconds, 4),
            long_wait=waiter.long_wait,
            lenders=refused.lenders,
            asked=0 if tally is None else tally.asked,
            lenders_silent=0 if tally is None else tally.silent,
        )
        return refused

    def reserve_now(self, workspace: str, tokens: int) -> Reservation | None:
        """Reserve tokens if they can be spent at this moment.

        The call neither waits nor borrows; requests that wait for tokens come first.
        """
        holding = self.host_holdings.holding(workspace)
        if self._queue.has_waiting(workspace) or not holding.reserve(
            tokens, self.now()
        ):
            return None
        return Reservation(workspace, tokens)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Return the tokens that a request did not use."""
        self.host_holdings.holding(reservation.workspace).settle(
            reservation.tokens, used
        )
        self._queue.serve_returned(reservation.workspace)

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
            self._queue.serve()
            self._queue.end_hopeless()
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
        self._queue.end_hopeless()
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

    @property
    def _store_silent(self) -> bool:
        return self.opened.is_set() and self.silent_seconds > STORE_SILENT_AFTER_SECONDS

    def _exhausted(self, workspace: str, tokens: int) -> bool:
        """Whether the budget is known not to cover these tokens."""
        remainder = self._known_remainder(workspace)
        return remainder is not None and remainder < tokens

    def _known_remainder(self, workspace: str) -> int | None:
        """Return what is left of a budget; None if that is not known freshly."""
        if self._store_silent or not self.opened.is_set():
            return None
        return self.host_holdings.remainder(workspace).tokens
