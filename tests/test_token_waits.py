"""Decisions about waiting for tokens, without a network, on a virtual clock."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random

import pytest

from godwitrudder import codec
from godwitrudder.connection.loans import Ask, Loan
from godwitrudder.request.holding import Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.lending import Lending
from godwitrudder.request.tokens.lenders import (
    KnownLender,
    choose_questions,
    estimate_lendable,
)
from godwitrudder.request.tokens.line import WaitingLine
from godwitrudder.request.tokens.shortage import (
    AskTally,
    LenderOutcome,
    Shortage,
    find_shortage,
)
from godwitrudder.request.tokens.waiting import (
    ASK_AGAIN_SECONDS,
    Outlook,
    Prospects,
    ServiceTimes,
    longest_wait_seconds,
    retry_seconds,
    worth_waiting,
)
from godwitrudder.version.statements import Row, Statement

W = "w"


@pytest.mark.parametrize(
    ("deadline", "now", "service", "seconds"),
    [
        (10.7, 0.0, 0.3, 2.5),  # chat: the longest wait binds
        (2.7, 0.0, 0.3, 0.675),  # tagging: a quarter of the time
        (2.7, 0.5, 0.3, 0.175),  # what has passed since arrival counts
        (2.7, 0.0, 2.5, 0.2),  # the time of service binds
        (2.7, 0.0, 3.0, 0.0),  # no time for service
    ],
)
def test_a_wait_leaves_time_for_service(
    deadline: float, now: float, service: float, seconds: float
) -> None:
    assert longest_wait_seconds(0.0, deadline, now, service) == pytest.approx(seconds)


def test_the_time_of_service_is_what_was_seen() -> None:
    times = ServiceTimes()
    assert times.expected("r", 0.3) == 0.3
    times.record("r", 1.0)
    times.record("r", 2.0)
    assert times.expected("r", 0.3) == pytest.approx(1.1)


@pytest.mark.parametrize(
    ("outlook", "prospects", "worth"),
    [
        (Outlook(9, 5, True, True), Prospects(8, False, True, 9), False),  # exhausted
        (Outlook(9, 5, True, True), Prospects(9, True, True, 9), False),  # draining
        (Outlook(9, 5, False, True), Prospects(9, False, True, 0), True),  # the store
        (Outlook(9, 5, True, True), Prospects(None, False, False, 0), True),  # opens
        (
            Outlook(9, 5, False, False),
            Prospects(None, False, False, 0),
            True,
        ),  # unasked
        (Outlook(9, 5, False, True), Prospects(None, False, False, 5), True),  # lenders
        (Outlook(9, 5, False, True), Prospects(None, False, False, 4), False),  # nobody
    ],
)
def test_a_request_waits_only_while_tokens_may_come(
    outlook: Outlook, prospects: Prospects, worth: bool
) -> None:
    assert worth_waiting(outlook, prospects) == worth


def test_a_request_that_waited_comes_back_sooner() -> None:
    first = [retry_seconds(0.1, 8.0, 0.0, Random(seed)) for seed in range(50)]
    waited = [retry_seconds(0.1, 8.0, 2.5, Random(seed)) for seed in range(50)]
    assert max(waited) < min(first)
    assert retry_seconds(0.1, 0.1, 0.0, Random(1)) <= 0.1 / 3
    assert 1.5 < retry_seconds(7.0, 8.0, 2.5, Random(1)) <= 8.0 / 3  # outage's end


@dataclass(eq=False)
class Place:
    """A waiting request."""

    name: str
    workspace: str
    rank: int


def test_the_order_is_by_rank_then_arrival_within_a_workspace() -> None:
    line: WaitingLine[Place] = WaitingLine()
    for name, rank in (("late", 2), ("a", 1), ("b", 1), ("urgent", 0)):
        line.add(Place(name, W, rank))
    line.add(Place("other", "v", 3))
    assert [each.name for each in line.of(W)] == ["urgent", "a", "b", "late"]
    assert line.must_wait(W, 0) and line.must_wait("v", 3)
    assert not line.must_wait("v", 2) and not line.must_wait("u", 9)
    for each in line:
        line.remove(each)
    assert not line.workspaces()


def lenders(*tokens: int, reported: bool = True) -> list[KnownLender]:
    return [
        KnownLender(f"h{number}", each, reported) for number, each in enumerate(tokens)
    ]


def test_several_lenders_give_a_part_each_where_none_has_enough() -> None:
    """Of the requests without tokens that had asked, half would have got them so."""
    chosen = choose_questions(lenders(100, 600, 500), 1000, 6, Random(1))
    assert [(each.host, each.tokens) for each in chosen] == [("h1", 600), ("h2", 400)]
    chosen = choose_questions(lenders(100, 1600, 500), 1000, 6, Random(1))
    assert [(each.host, each.tokens) for each in chosen] == [("h1", 1000)]


def test_parts_that_do_not_suffice_are_not_taken() -> None:
    """Each of several borrowers would hold a part, and none could serve a request."""
    assert not choose_questions(lenders(100, 600, 200), 1000, 6, Random(1))
    assert not choose_questions(lenders(600, 500), 1000, 1, Random(1))
    probes = choose_questions(lenders(1, 9, 5, reported=False), 1000, 6, Random(1))
    assert [(each.host, each.tokens) for each in probes] == [("h1", 1000), ("h2", 1000)]


def test_a_fresh_statement_says_that_little_is_open() -> None:
    """Limit minus cap made hosts ask lenders that had under 6% of it."""
    row = Row(10_000, 1000, demand=100.0, rate=900.0)
    assert estimate_lendable(row, 0.0) == 50
    assert estimate_lendable(row, 5.0) == 4500 - 450
    assert estimate_lendable(Row(1000, 1000, demand=100.0), 5.0) == 0


@pytest.mark.parametrize(
    ("held", "free", "elsewhere", "silent", "shortage"),
    [
        ((500, 500, 500), 900, 0, False, Shortage.SPENT),
        ((2000, 2000, 100), 5000, 0, True, Shortage.NOT_OPEN),
        ((500, 2000, 100), 5000, 0, False, Shortage.NOT_GRANTED),
        ((500, 500, 500), 5000, 4500, False, Shortage.ELSEWHERE),
        ((500, 500, 500), 5000, 600, False, Shortage.UNHELD),
        ((500, 500, 500), 5000, 600, True, Shortage.ELSEWHERE),
        ((500, 500, 500), 5000, 400, True, Shortage.UNHELD),
    ],
)
def test_a_shortage_has_one_reason(
    held: tuple[int, int, int],
    free: int,
    elsewhere: int,
    silent: bool,
    shortage: Shortage,
) -> None:
    holding = HostHoldings("h", Policy()).holding(W)
    granted, limit, cap = held
    holding.granted, holding.stated = granted, Row(limit, cap)
    assert find_shortage(holding, 1000, free, elsewhere, silent) is shortage


@pytest.mark.parametrize(
    ("tally", "outcome"),
    [
        (AskTally(6), LenderOutcome.NONE_KNOWN),
        (AskTally(6, 3, 2, 1), LenderOutcome.SILENT),
        (AskTally(6, 3, 1, 2), LenderOutcome.HAD_NONE),
        (AskTally(6, 6, 1, 5), LenderOutcome.ASKED_TOO_MANY),
        (AskTally(6, 6, 1, 4, True), LenderOutcome.LENT),
    ],
)
def test_a_round_of_questions_has_one_outcome(
    tally: AskTally, outcome: LenderOutcome
) -> None:
    assert tally.outcome is outcome


@dataclass(frozen=True)
class Load:
    """A load on hosts that share one workspace.

    Attributes
    ----------
    cut : int
        Hosts that don't reach the store for the whole time.
    held : int
        Tokens that each host holds when it begins.
    hot : dict
        Factor of the usual load by number of the host.
    """

    cut: int
    held: int
    hot: dict[int, float] = field(default_factory=dict)


HOSTS = 12
SECONDS = 8.0
USUAL_PER_SECOND = 1.0
DEMAND = 6500.0
"""Tokens a second of a host's usual load."""
PREPAID = 3_000_000
LOADS = {
    "all hosts cut off": Load(HOSTS, 60_000),
    "a third turned away": Load(HOSTS // 3, 45_000),
    "a workspace at 7.5 times its load": Load(
        HOSTS, 200_000, {number: 7.5 for number in range(3)}
    ),
}


@dataclass(eq=False)
class Request:
    """A request that waits until it is served or its deadline passes."""

    host: int
    tokens: int
    rank: int
    until: float
    workspace: str = W


class TokenFleet:
    """Hosts that decide as the processes do, with messages that take no time."""

    def __init__(self, load: Load, long_waits: bool, seed: int) -> None:
        self.load, self.long_waits, self.random = load, long_waits, Random(seed)
        self.hosts = [HostHoldings(f"h{number}", Policy()) for number in range(HOSTS)]
        self.lending = [Lending(host, self.random) for host in self.hosts]
        self.lines: list[WaitingLine[Request]] = [WaitingLine() for _ in self.hosts]
        self.numbers, self.free, self.served, self.asked = count(1), PREPAID, 0, 0
        for number in range(HOSTS):
            self.grant(number, load.held, 0.0)

    def grant(self, number: int, tokens: int, now: float) -> None:
        """Store a statement with more tokens and let all others read it."""
        tokens = min(tokens, self.free)
        self.free -= tokens
        holding = self.hosts[number].holding(W)
        holding.granted += tokens
        cap = min(holding.granted, holding.spent + int(DEMAND / 2))
        rate = max(1.5 * DEMAND, (holding.granted - cap) / 10)
        row = Row(holding.granted, cap, DEMAND, rate=rate)
        holding.stated, holding.stated_at = row, now
        statement = Statement(1, now, 0.0, {W: row}, f"127.0.0.1:{number + 1}", b"k")
        for other in self.hosts:
            other.apply_statement(f"h{number}", codec.encode(statement), now)

    def ask(self, number: int, lender: str, needed: int, now: float) -> None:
        self.asked += 1
        ask = Ask(f"h{number}", 1, 1, W, needed, needed, DEMAND)
        tokens, left = self.lending[int(lender[1:])].lend(ask, now)
        loan = Loan(lender, 1, next(self.numbers), 1, W, tokens, left)
        self.lending[number].accept(loan, now)

    def borrow(self, number: int, request: Request, now: float) -> None:
        """Make one round of questions, as before or in parts."""
        holding, lending = self.hosts[number].holding(W), self.lending[number]
        asked: list[str] = []
        while (missing := holding.lacks(request.tokens, now)) > 0 and len(asked) < 6:
            if self.long_waits:
                known = lending.known_lenders(W, now)
                questions = choose_questions(
                    known, missing, 6 - len(asked), self.random
                )
                chosen = [(each.host, each.tokens) for each in questions]
            else:
                found = lending.choose_lender(W, missing, asked, now)
                chosen = [] if found is None else [(found[0], missing)]
            if not chosen:
                return
            for lender, tokens in chosen:
                asked.append(lender)
                self.ask(number, lender, tokens, now)

    def serve(self, number: int, now: float) -> None:
        line, holding = self.lines[number], self.hosts[number].holding(W)
        while first := line.first(W):
            if not holding.reserve(first.tokens, now):
                return
            line.remove(first)
            self.served += 1

    def look(self, number: int, now: float) -> None:
        """Serve a host's line, borrow for its first request, and end waits."""
        line, holding = self.lines[number], self.hosts[number].holding(W)
        self.serve(number, now)
        if first := line.first(W):
            self.borrow(number, first, now)
            self.serve(number, now)
        for request in line.of(W):
            if now >= request.until or not self.worth_waiting(number, request, now):
                line.remove(request)
        holding.waiting_tokens = sum(each.tokens for each in line.of(W))

    def worth_waiting(self, number: int, request: Request, now: float) -> bool:
        """Whether a request goes on waiting; short waits do while time is left."""
        holding = self.hosts[number].holding(W)
        opens_at = holding.opens_at(request.tokens)
        opens = opens_at is not None and opens_at <= request.until
        missing = holding.lacks(request.tokens, now)
        lendable = self.lending[number].lendable_until(W, now, request.until)
        prospects = Prospects(None, False, number >= self.load.cut, lendable)
        outlook = Outlook(request.tokens, missing, opens, lenders_asked=True)
        return not self.long_waits or worth_waiting(outlook, prospects)

    def run(self) -> float:
        """Play the load; return the share of requests that got tokens."""
        events: list[tuple[float, int, int, bool]] = []
        for number in range(HOSTS):
            rate = USUAL_PER_SECOND * self.load.hot.get(number, 1.0)
            at = self.random.expovariate(rate)
            while at < SECONDS:
                heapq.heappush(events, (at, next(self.numbers), number, True))
                at += self.random.expovariate(rate)
        requests = len(events)
        statements_at = 0.5
        while events:
            now, _, number, arrives = heapq.heappop(events)
            while statements_at <= now:
                for each in range(self.load.cut, HOSTS):
                    self.grant(each, 3000, statements_at)
                statements_at += 0.5
            line = self.lines[number]
            if arrives:
                rank = self.random.choice((0, 1, 2))
                tokens = (1600, 14_000, 4000)[rank]
                deadline = now + (10.7, 12.0, 2.7)[rank]
                wait = longest_wait_seconds(now, deadline, now, 0.4)
                wait = wait if self.long_waits else 0.2
                rank = rank if self.long_waits else 0
                line.add(Request(number, tokens, rank, now + wait))
            self.look(number, now)
            self.check()
            if first := line.first(W):
                step = ASK_AGAIN_SECONDS if self.long_waits else 0.2
                at = max(now + 0.001, min(now + step, first.until))
                heapq.heappush(events, (at, next(self.numbers), number, False))
        return self.served / requests

    def check(self) -> None:
        """Check that no token is spent twice."""
        spent = sum(host.holding(W).spent for host in self.hosts)
        granted = sum(host.holding(W).granted for host in self.hosts)
        assert spent <= granted <= PREPAID


@pytest.mark.parametrize("name", LOADS)
def test_longer_waits_serve_more_of_a_load(name: str) -> None:
    """Guards against refusals while other hosts hold, or will open, enough tokens."""
    shares: dict[bool, list[float]] = {True: [], False: []}
    for seed in range(6):
        for long_waits in shares:
            shares[long_waits].append(TokenFleet(LOADS[name], long_waits, seed).run())
    short, longer = (sum(shares[each]) / 6 for each in (False, True))
    assert 1 - longer < (1 - short) * 0.7
