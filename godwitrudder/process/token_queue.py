"""Requests that wait for tokens: serves them in order and borrows for them.

A request with a long wait has lenders asked again until it is served, its deadline
leaves no time, or tokens can't come any more.  The other requests wait as they did
before there were long waits: lenders are asked once, and while the store is silent the
requests are refused unless what they need opens here in time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import Greenlet
from gevent.event import AsyncResult

from godwitrudder.process.borrowing import PartBorrower
from godwitrudder.process.lending import MAX_LENDERS_ASKED, LendingTask
from godwitrudder.request.holding import Holding
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.tokens.line import WaitingLine
from godwitrudder.request.tokens.shortage import AskTally
from godwitrudder.request.tokens.waiting import (
    ASK_AGAIN_SECONDS,
    Outlook,
    Prospects,
    worth_waiting,
)


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue for tokens.

    Attributes
    ----------
    arrived_at, deadline : float
        Times at which it began to wait and at which it stops, in seconds since boot.
    rank : int
        Its place in the order of its workspace; 0 is first.
    long_wait : bool
        Whether it waits for as long as tokens may come.
    result : AsyncResult of bool
        True once the tokens are reserved; False if it need not wait any longer.
    """

    request: str
    workspace: str
    tokens: int
    arrived_at: float
    deadline: float
    rank: int = 0
    long_wait: bool = False
    result: AsyncResult = field(default_factory=AsyncResult)


@dataclass(frozen=True, slots=True)
class AskRound:
    """The last round of questions for a workspace, and when it ended, in seconds."""

    tally: AskTally
    at: float


class TokenQueue:
    """The requests of one process that wait for tokens.

    Parameters
    ----------
    clock : callable
        Returns the seconds since boot.
    store_silent : callable
        Whether the store is unreachable.
    known_remainder : callable
        Returns what is left of a workspace's budget, None if that is not known freshly.
    want_statement : callable
        Asks for a statement soon.
    """

    def __init__(
        self,
        holdings: HostHoldings,
        lending: LendingTask | None,
        parts: PartBorrower | None,
        clock: Callable[[], float],
        store_silent: Callable[[], bool],
        known_remainder: Callable[[str], int | None],
        want_statement: Callable[[], None],
    ) -> None:
        self._holdings = holdings
        self._lending = lending
        self._parts = parts
        self._clock = clock
        self._store_silent = store_silent
        self._known_remainder = known_remainder
        self._want_statement = want_statement
        self._line: WaitingLine[Waiter] = WaitingLine()
        self._borrower_by_workspace: dict[str, Greenlet] = {}
        self._round_by_workspace: dict[str, AskRound] = {}

    def must_wait(self, workspace: str, rank: int) -> bool:
        """Whether a request that arrives now has others of its workspace before it."""
        return self._line.must_wait(workspace, rank)

    def has_waiting(self, workspace: str) -> bool:
        """Whether requests of a workspace wait."""
        return self._line.first(workspace) is not None

    def last_tally(self, workspace: str, since: float) -> AskTally | None:
        """Return the last round of questions that ended since then, if any."""
        known = self._round_by_workspace.get(workspace)
        return None if known is None or known.at < since else known.tally

    def wait(self, waiter: Waiter) -> bool:
        """Wait for tokens; return whether they were reserved."""
        holding = self._holdings.holding(waiter.workspace)
        if waiter.long_wait:
            if waiter.deadline <= self._clock() or not self._worth_waiting(
                waiter, self._prospects(waiter.workspace, waiter.deadline)
            ):
                return False
        elif self._lending is None and not self._may_be_served(waiter):
            return False
        self._line.add(waiter)
        holding.waiting_tokens += waiter.tokens
        self._want_statement()
        self._start_borrowing(waiter.workspace)
        try:
            if waiter.long_wait:
                self._wait_long(waiter, holding)
            else:
                self._wait_until_served(waiter, holding)
        except BaseException:
            if waiter.result.ready() and waiter.result.value:
                holding.settle(waiter.tokens, 0)
            raise
        finally:
            if waiter in self._line:
                self._leave(waiter)
        if waiter.result.ready():
            return bool(waiter.result.value)
        return not waiter.long_wait and holding.reserve(waiter.tokens, self._clock())

    def serve(self) -> None:
        """Reserve tokens for waiting requests; each workspace is served in order."""
        for workspace in self._line.workspaces():
            self._serve_workspace(workspace)

    def serve_returned(self, workspace: str) -> None:
        """Serve long waits with tokens that another request has returned."""
        if any(each.long_wait for each in self._line.of(workspace)):
            self._serve_workspace(workspace)

    def _serve_workspace(self, workspace: str) -> None:
        now = self._clock()
        holding = self._holdings.holding(workspace)
        while waiter := self._line.first(workspace):
            if not holding.reserve(waiter.tokens, now):
                return
            self._end(waiter, True)

    def end_hopeless(self) -> None:
        """End long waits for which tokens can't come any more."""
        for workspace in self._line.workspaces():
            waiters = [each for each in self._line.of(workspace) if each.long_wait]
            if not waiters:
                continue
            until = max(waiter.deadline for waiter in waiters)
            prospects = self._prospects(workspace, until)
            for waiter in waiters:
                if not self._worth_waiting(waiter, prospects):
                    self._end(waiter, False)

    def _leave(self, waiter: Waiter) -> None:
        self._line.remove(waiter)
        self._holdings.holding(waiter.workspace).waiting_tokens -= waiter.tokens

    def _end(self, waiter: Waiter, served: bool) -> None:
        self._leave(waiter)
        waiter.result.set(served)

    def _opens_in_time(self, waiter: Waiter) -> bool:
        opens_at = self._holdings.holding(waiter.workspace).opens_at(waiter.tokens)
        return opens_at is not None and opens_at <= waiter.deadline

    def _may_be_served(self, waiter: Waiter) -> bool:
        """Whether a request may be served without another host."""
        return not self._store_silent() or self._opens_in_time(waiter)

    def _prospects(self, workspace: str, until: float) -> Prospects:
        """Return what all waiting requests of a workspace may get tokens from."""
        store_answers = not self._store_silent()
        lendable = 0
        if not store_answers and self._lending is not None:
            lending = self._lending.lending
            lendable = lending.lendable_until(workspace, self._clock(), until)
        return Prospects(
            self._known_remainder(workspace),
            self._holdings.stopping,
            store_answers,
            lendable,
        )

    def _worth_waiting(self, waiter: Waiter, prospects: Prospects) -> bool:
        asked = self._lending is None or self._asked_for(waiter)
        holding = self._holdings.holding(waiter.workspace)
        outlook = Outlook(
            waiter.tokens,
            holding.lacks(waiter.tokens, self._clock()),
            self._opens_in_time(waiter),
            asked,
        )
        return worth_waiting(outlook, prospects)

    def _asked_for(self, waiter: Waiter) -> bool:
        """Whether a round of questions has ended since a request came."""
        return self.last_tally(waiter.workspace, waiter.arrived_at) is not None

    def _wait_long(self, waiter: Waiter, holding: Holding) -> None:
        """Wait until the result is set; look whenever tokens may have opened here."""
        while not waiter.result.ready():
            now = self._clock()
            if now >= waiter.deadline:
                return
            until = min(waiter.deadline, now + ASK_AGAIN_SECONDS)
            opens_at = holding.opens_at(waiter.tokens)
            if opens_at is not None and now < opens_at < until:
                until = opens_at
            waiter.result.wait(until - now)
            if self._line.first(waiter.workspace) is waiter:
                self._serve_workspace(waiter.workspace)

    def _wait_until_served(self, waiter: Waiter, holding: Holding) -> None:
        """Wait for tokens, or until enough are spendable without a new statement."""
        deadline = waiter.deadline
        opens_at = holding.opens_at(waiter.tokens)
        if opens_at is not None:
            waiter.result.wait(max(0.0, min(opens_at, deadline) - self._clock()))
        if waiter.result.ready() or holding.spendable(self._clock()) >= waiter.tokens:
            return
        waiter.result.wait(max(0.0, deadline - self._clock()))

    def _start_borrowing(self, workspace: str) -> None:
        """Start borrowing for a workspace's waiting requests, if not yet started."""
        if self._lending is None or workspace in self._borrower_by_workspace:
            return
        self._borrower_by_workspace[workspace] = gevent.spawn(
            self._borrow_for_waiters, workspace
        )

    def _borrow_for_waiters(self, workspace: str) -> None:
        holding = self._holdings.holding(workspace)
        try:
            while waiter := self._line.first(workspace):
                if holding.lacks(waiter.tokens, self._clock()) <= 0:
                    self.serve()
                    if self._line.first(workspace) is waiter:
                        break
                    continue
                tally = self._ask_lenders(waiter, holding)
                self._round_by_workspace[workspace] = AskRound(tally, self._clock())
                if not tally.lent and not self._ask_again(workspace):
                    break
        finally:
            del self._borrower_by_workspace[workspace]
        self._refuse_short_waits(workspace)

    def _ask_lenders(self, waiter: Waiter, holding: Holding) -> AskTally:
        """Ask lenders for what the first request lacks."""
        assert self._lending is not None
        if waiter.long_wait and self._parts is not None:
            return self._parts.borrow(
                waiter.request,
                waiter.workspace,
                lambda: self._missing(waiter, holding),
                waiter.deadline - self._clock(),
                self._asked_for(waiter),
            )
        tally = AskTally(MAX_LENDERS_ASKED)
        missing = holding.lacks(waiter.tokens, self._clock())
        self._lending.borrow(waiter.request, waiter.workspace, missing, tally)
        return tally

    def _missing(self, waiter: Waiter, holding: Holding) -> int:
        """Return the tokens that a request lacks; 0 if it does not wait any more."""
        if waiter not in self._line:
            return 0
        return holding.lacks(waiter.tokens, self._clock())

    def _ask_again(self, workspace: str) -> bool:
        """Wait for the next round; return False if no long wait is left."""
        self._refuse_short_waits(workspace)
        self.end_hopeless()
        if not any(each.long_wait for each in self._line.of(workspace)):
            return False
        gevent.sleep(ASK_AGAIN_SECONDS)
        return True

    def _refuse_short_waits(self, workspace: str) -> None:
        """Refuse short waits that only an answer of the store could end."""
        for waiter in self._line.of(workspace):
            if not waiter.long_wait and not self._may_be_served(waiter):
                self._end(waiter, False)
