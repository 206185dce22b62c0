"""Lending: moves tokens from one host to another without the store.

The lender counts a loan as spent before it sends it, and lends only tokens that it may
spend at that moment. The borrower subtracts the loan from its spent tokens once. The
sum over both hosts therefore never grows. If a loan is lost or repeated, or if one of
the hosts crashes, tokens are stranded: they count as spent although no host spent them.
No token is spent twice. The borrower's next statement is lower by the tokens that it
did not use.

Lending serves requests while the store does not answer. Without it each host could
spend only its own part, and one would refuse requests while others hold enough tokens.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from godwitrudder.connection.loans import Ask, Loan
from godwitrudder.request.holding import Holding
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.tokens.lenders import KnownLender, estimate_lendable
from godwitrudder.version.statements import Statement

BORROW_AHEAD_SECONDS: Final = 1.5
"""Seconds of demand that a borrower asks for in advance. An ``Ask`` takes some
milliseconds; with this advance, about one request in a hundred has to send one."""
LENDER_RESERVE_SECONDS: Final = 0.5
"""Seconds of its own demand that a lender keeps when the borrower needs less."""
AVOID_SECONDS: Final = 2.0
"""Time for which a host that did not answer is not asked: two rounds of the
balancer."""
REPORT_VALID_SECONDS: Final = 1.0
"""Time for which a reported amount is used; a host spends its tokens within seconds."""
KNOWN_LOANS: Final = 512
"""Loan numbers kept for each lender; a lender repeats a loan for some seconds."""


@dataclass(slots=True)
class Receipts:
    """Loans received from one incarnation of a lender.

    Attributes
    ----------
    floor : int
        Loans up to this number are refused, since their receipt is no longer known.
    """

    epoch: int = 0
    floor: int = 0
    numbers: set[int] = field(default_factory=set)

    def take(self, epoch: int, number: int) -> bool:
        """Record a loan; return False if it was, or may have been, received before."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.epoch, self.floor, self.numbers = epoch, 0, set()
        if number <= self.floor or number in self.numbers:
            return False
        self.numbers.add(number)
        if len(self.numbers) > KNOWN_LOANS:
            self.floor = sorted(self.numbers)[KNOWN_LOANS // 2]
            self.numbers = {each for each in self.numbers if each > self.floor}
        return True


@dataclass(frozen=True, slots=True)
class LendableReport:
    """The tokens that a host last reported it could lend, and when."""

    tokens: int
    at: float


class Lending:
    """Chooses lenders, sizes loans and counts each loan once; no I/O.

    Parameters
    ----------
    host_holdings : HostHoldings
        The holdings that lend and borrow.
    """

    def __init__(self, host_holdings: HostHoldings, random: Random) -> None:
        self._host_holdings = host_holdings
        self._random = random
        self._receipts_by_host: dict[str, Receipts] = {}
        self._reports: dict[tuple[str, str], LendableReport] = {}
        self._avoid_until: dict[str, float] = {}

    def lend(self, ask: Ask, now: float) -> tuple[int, int]:
        """Take a loan from a holding; return its tokens and those still lendable.

        The loan has 0 tokens if the holding can't cover what the borrower needs.
        """
        holding = self._host_holdings.holdings.get(ask.workspace)
        if holding is None:
            return 0, 0
        free = lendable(holding, now)
        own = holding.demand.per_second(now)
        part = ask.demand / (ask.demand + own) if ask.demand + own > 0 else 0.5
        fair = min(int(free * part), int(free - own * LENDER_RESERVE_SECONDS))
        tokens = min(max(ask.wanted, ask.needed), max(ask.needed, fair))
        if tokens <= 0 or tokens > free:
            return 0, max(0, free)
        holding.lend(tokens)
        return tokens, free - tokens

    def accept(self, loan: Loan, now: float) -> bool:
        """Credit a loan once; return whether it was credited."""
        self._reports[loan.host, loan.workspace] = LendableReport(loan.left, now)
        self._avoid_until.pop(loan.host, None)
        if loan.tokens <= 0:
            return False
        receipts = self._receipts_by_host.setdefault(loan.host, Receipts())
        if not receipts.take(loan.epoch, loan.number):
            return False
        self._host_holdings.holding(loan.workspace).borrow(loan.tokens)
        return True

    def record_timeout(self, host: str, now: float) -> None:
        """Record that a host did not answer in time."""
        self._avoid_until[host] = now + AVOID_SECONDS

    def choose_lender(
        self, workspace: str, needed: int, asked: Iterable[str], now: float
    ) -> tuple[str, int] | None:
        """Return the host to ask next and the tokens it can lend, or None.

        The random choice is weighted by these tokens, so that hosts that run short at
        the same time ask different lenders.
        """
        names, weights = [], []
        skipped = set(asked)
        for (
            name,
            statement,
        ) in self._host_holdings.statements.statements_by_host.items():
            if (
                name in skipped
                or name == self._host_holdings.host
                or not statement.peer
            ):
                continue
            if self._avoid_until.get(name, 0.0) > now:
                continue
            tokens = self._lendable_by(name, workspace, statement, now)
            if tokens >= needed:
                names.append(name)
                weights.append(tokens)
        if not names:
            return None
        index = self._random.choices(range(len(names)), weights)[0]
        return names[index], weights[index]

    def known_lenders(self, workspace: str, now: float) -> list[KnownLender]:
        """Return the hosts that may lend, with what each can lend as far as known.

        Hosts that did not answer lately are left out.
        """
        known = []
        table = self._host_holdings.statements
        for name, statement in table.statements_by_host.items():
            if name == self._host_holdings.host or not statement.peer:
                continue
            if self._avoid_until.get(name, 0.0) > now:
                continue
            read_at = table.read_at_by_host[name]
            tokens = self._reported_by(name, workspace, read_at, now)
            if tokens is not None:
                known.append(KnownLender(name, tokens, True))
                continue
            row = statement.rows_by_workspace.get(workspace)
            if row is not None:
                tokens = estimate_lendable(row, now - read_at)
                known.append(KnownLender(name, tokens, False))
        return known

    def lendable_until(self, workspace: str, now: float, until: float) -> int:
        """Return the tokens that hosts which answer can lend until then, as known.

        What opens counts less what their own callers are expected to use.
        """
        total = 0
        table = self._host_holdings.statements
        for lender in self.known_lenders(workspace, now):
            total += lender.tokens
            row = table.statements_by_host[lender.host].rows_by_workspace.get(workspace)
            if row is not None:
                read_at = table.read_at_by_host[lender.host]
                opens = row.spendable_at(until - read_at)
                opens -= row.spendable_at(now - read_at)
                total += max(0, int(opens - row.demand * (until - now)))
        return total

    def wanted(self, holding: Holding, needed: int, now: float) -> int:
        """Return the tokens that a borrower asks for."""
        return needed + int(holding.demand.per_second(now) * BORROW_AHEAD_SECONDS)

    def _lendable_by(
        self, host: str, workspace: str, statement: Statement, now: float
    ) -> int:
        """Return the tokens that a host can lend, as far as is known here.

        Without a recent report, the estimate is limit minus cap of the statement.
        """
        read_at = self._host_holdings.statements.read_at_by_host[host]
        reported = self._reported_by(host, workspace, read_at, now)
        if reported is not None:
            return reported
        row = statement.rows_by_workspace.get(workspace)
        if row is None:
            return 0
        return max(0, row.limit - row.cap)

    def _reported_by(
        self, host: str, workspace: str, read_at: float, now: float
    ) -> int | None:
        """Return what a host has reported lately, after its statement was read."""
        report = self._reports.get((host, workspace))
        if report is None or (report.at <= read_at and now >= report.at):
            return None
        return report.tokens if now - report.at < REPORT_VALID_SECONDS else None


def lendable(holding: Holding, now: float) -> int:
    """Return the tokens that a holding may lend."""
    return holding.spendable(now) - holding.waiting_tokens
