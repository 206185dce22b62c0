"""Lending: tokens that pass from one host to another without the store.

The lender counts a loan as spent before it is sent, within what it may spend at that
moment; the borrower takes it off what it has spent, once.  So the sum over both
never grows: a loan that is lost or repeated, or whose ends die, strands tokens at
worst.  The borrower's next statement is lower by what it did not use.

Answers the load of a silent store: each host holds its own part, one refuses while
others hold plenty.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from godwitrudder.connection.loans import Ask, Loan
from godwitrudder.request.holding import Holding, kept_share
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.version.statements import Statement

AHEAD_SECONDS: Final = 1.5
"""Demand for which a borrower asks ahead: a question takes some milliseconds, so that
one in some hundred requests asks."""
OWN_SECONDS: Final = 0.5
"""Demand that a lender keeps for its own callers beside a smaller borrower's."""
AVOID_SECONDS: Final = 2.0
"""How long a host that gave no answer is not asked: two rounds of the balancer."""
BELIEF_SECONDS: Final = 1.0
"""How long an answer is believed: a host's tokens turn over in some seconds."""
KNOWN_LOANS: Final = 512
"""Numbers of loans kept for each lender; a loan is repeated for some seconds."""


@dataclass(slots=True)
class Receipts:
    """Which loans of one lending incarnation have come.

    Attributes
    ----------
    floor : int
        Loans up to this number are refused: whether they came is not known any more.
    """

    epoch: int = 0
    floor: int = 0
    numbers: set[int] = field(default_factory=set)

    def take(self, epoch: int, number: int) -> bool:
        """Note a loan; False where it came before, or may have."""
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
class Belief:
    """What a host said that it could lend, in tokens."""

    tokens: int
    at: float


class Lending:
    """Decides whom to ask, what to lend, and which loans count; no I/O.

    Parameters
    ----------
    purse : Purse
        Whose holdings lend and borrow.
    """

    def __init__(self, purse: HostHoldings, random: Random) -> None:
        self._purse = purse
        self._random = random
        self._receipts_by_host: dict[str, Receipts] = {}
        self._beliefs: dict[tuple[str, str], Belief] = {}
        self._avoid_until: dict[str, float] = {}

    def lend(self, ask: Ask, now: float) -> tuple[int, int]:
        """Take a loan out of what is held; return it and what is left to lend."""
        holding = self._purse.holdings.get(ask.workspace)
        if holding is None:
            return 0, 0
        free = lendable(holding, ask.rank, now)
        own = holding.demand.per_second(now)
        part = ask.demand / (ask.demand + own) if ask.demand + own > 0 else 0.5
        fair = min(int(free * part), int(free - own * OWN_SECONDS))
        tokens = min(max(ask.wanted, ask.needed), max(ask.needed, fair))
        if tokens <= 0 or tokens > free:
            return 0, max(0, free)
        holding.lend(tokens)
        return tokens, free - tokens

    def accept(self, loan: Loan, now: float) -> bool:
        """Take a loan, once; whether it counted."""
        self._beliefs[loan.host, loan.workspace] = Belief(loan.left, now)
        self._avoid_until.pop(loan.host, None)
        if loan.tokens <= 0:
            return False
        receipts = self._receipts_by_host.setdefault(loan.host, Receipts())
        if not receipts.take(loan.epoch, loan.number):
            return False
        self._purse.holding(loan.workspace).borrow(loan.tokens)
        return True

    def record_timeout(self, host: str, now: float) -> None:
        """Note that a host gave no answer in time."""
        self._avoid_until[host] = now + AVOID_SECONDS

    def choose_lender(
        self, workspace: str, needed: int, asked: Iterable[str], now: float
    ) -> tuple[str, int] | None:
        """Return the host to ask next and what it should have, None where none has.

        Drawn by what they hold, so that hosts that lack tokens at once don't all
        meet at the same one.
        """
        names, weights = [], []
        passed = set(asked)
        for name, statement in self._purse.book.statements_by_host.items():
            if name in passed or name == self._purse.host or not statement.peer:
                continue
            if self._avoid_until.get(name, 0.0) > now:
                continue
            tokens = self._believed(name, workspace, statement, now)
            if tokens >= needed:
                names.append(name)
                weights.append(tokens)
        if not names:
            return None
        at = self._random.choices(range(len(names)), weights)[0]
        return names[at], weights[at]

    def wanted(self, holding: Holding, needed: int, now: float) -> int:
        """Return the tokens that are of use to a borrower."""
        return needed + int(holding.demand.per_second(now) * AHEAD_SECONDS)

    def _believed(
        self, host: str, workspace: str, statement: Statement, now: float
    ) -> int:
        """Return what a host can lend, as far as is known here, in tokens."""
        belief = self._beliefs.get((host, workspace))
        heard = self._purse.book.read_at_by_host[host]
        if belief is not None and (belief.at > heard or now < belief.at):
            if now - belief.at < BELIEF_SECONDS:
                return belief.tokens
        row = statement.rows_by_workspace.get(workspace)
        if row is None:
            return 0
        return max(0, row.limit - row.cap)


def lendable(holding: Holding, rank: int, now: float) -> int:
    """Return what a host may lend to a request of a rank, in tokens."""
    held = holding.granted - holding.spent
    kept = int(kept_share(rank, True) * held)
    return min(holding.spendable(now), held - kept) - holding.waiting
