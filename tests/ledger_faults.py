"""Faults that ``test_ledger_machine`` must find: each breaks one rule of the ledger."""

from __future__ import annotations

import msgspec

from godwitrudder import codec
from godwitrudder.connection.loans import Ask, Loan
from godwitrudder.request.ceiling import Ceilings
from godwitrudder.request.holding import Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.lending import Lending
from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import Statement
from tests.ledger_model import WORKSPACE, Fleet, LoanInFlight, Process


class NoReadBack(HostHoldings):
    """Grants the stated limit as soon as the statement is stored, without a read."""

    def statement_stored(self, statement: Statement, end: int) -> None:
        super().statement_stored(statement, end)
        for holding in self.holdings.values():
            if holding.stated is not None:
                holding.granted = holding.stated.limit


class FleetWithoutReadBack(Fleet):
    holdings_type = NoReadBack


class ReusesEpoch(Fleet):
    """A restarted process continues with its predecessor's epoch."""

    reuses_epoch = True


# The unused tokens of a request are returned twice.
class RefundsTwice(Fleet):
    def settle(self, process: Process, tokens: int, used: int) -> None:
        super().settle(process, tokens, used)
        super().settle(process, tokens, used)


# The borrower credits every copy of a repeated loan.
class TakesRepeatedLoan(Lending):
    def accept(self, loan: Loan, now: float) -> bool:
        self._host_holdings.holding(loan.workspace).borrow(loan.tokens)
        return True


class CountsLoanTwice(Lending):
    """The lender keeps the tokens that it has lent."""

    def lend(self, ask: Ask, now: float) -> tuple[int, int]:
        tokens, left = super().lend(ask, now)
        self._host_holdings.holding(ask.workspace).borrow(tokens)
        return tokens, left


class LendsUnspendableTokens(Lending):
    """Lends tokens that are not spendable yet.

    The lender's next process does not count them as spent.
    """

    def lend(self, ask: Ask, now: float) -> tuple[int, int]:
        holding = self._host_holdings.holding(ask.workspace)
        tokens = min(ask.needed, holding.granted - holding.spent)
        if tokens <= 0:
            return 0, 0
        holding.lend(tokens)
        return tokens, 0


class AgedFromReading(StatementTable):
    """Counts the age of a statement from the time at which a peer read it."""

    def max_age(self, host: str, epoch: int, sent: float, now: float) -> float | None:
        read_at = self.read_at_by_host.get(host)
        return None if read_at is None else now - read_at


class HoldingsAgedFromReading(HostHoldings):
    def __init__(self, host: str, policy: Policy) -> None:
        super().__init__(host, policy)
        self.statements = AgedFromReading()


# The age of a statement is too low, so its host may have spent more than is counted.
class AgeIsTooLow(Fleet):
    holdings_type = HoldingsAgedFromReading


class RepeatsLoan(Fleet):
    lending_type = TakesRepeatedLoan


class CountsLoanByBoth(Fleet):
    lending_type = CountsLoanTwice


class SuccessorIgnoresLoan(Fleet):
    lending_type = LendsUnspendableTokens


class TakesLoanBack(Fleet):
    """A lender takes back a loan whose paused borrower spends it later."""

    def abandon_loan(self, index: int) -> None:
        if self.loans:
            loan = self.loans[index % len(self.loans)].loan
            process = self.processes[loan.host]
            if process.epoch == loan.epoch:
                process.host_holdings.holding(WORKSPACE).borrow(loan.tokens)


class ResealsLoan(Fleet):
    """A repeated loan is authenticated with the key of the borrower's next incarnation.

    That incarnation accepts it, although the former one may have spent it.
    """

    def can_read(self, under_way: LoanInFlight, process: Process) -> bool:
        return True


class ForgetsTheEra(HostHoldings):
    """Believes what the older copy says."""

    def begin_era(self, era: int, now: float) -> None:
        super().begin_era(era, now)
        table = self.statements
        table.bounds_by_host.clear()
        table.statements_by_host.clear()

    def apply_statement(
        self, host: str, data: bytes | None, now: float
    ) -> codec.Malformed | None:
        problem = super().apply_statement(host, data, now)
        self.statements.bounds_by_host.clear()
        return problem


class BelievesTheCopy(Fleet):
    holdings_type = ForgetsTheEra


class RaisesAtWill(HostHoldings):
    """Raises its limits by more than the allowance that it states."""

    def statement(self, now: float, booted: float, epoch: int) -> Statement | None:
        statement = super().statement(now, booted, epoch)
        if statement is None:
            return None
        rows = {
            workspace: msgspec.structs.replace(row, allowance=10)
            for workspace, row in statement.rows_by_workspace.items()
        }
        return msgspec.structs.replace(statement, rows_by_workspace=rows)


class ExceedsItsAllowance(Fleet):
    holdings_type = RaisesAtWill


class RaisesAllowanceAtOnce(HostHoldings):
    """Uses an allowance that the other hosts have not read."""

    def statement_sent(self, statement: Statement) -> None:
        super().statement_sent(statement)
        for workspace, row in statement.rows_by_workspace.items():
            self.holding(workspace).allowance.resize(row.allowance, statement.sent)


class UsesAnUnreadAllowance(Fleet):
    holdings_type = RaisesAllowanceAtOnce


class ForgetfulTable(StatementTable):
    """Confirms limits that a host has told directly, and forgets them."""

    def notice(
        self, host: str, epoch: int, era: int, sent: float, limits: dict[str, int]
    ) -> bool:
        return super().notice(host, epoch, era, sent, {})


class ForgetfulHoldings(HostHoldings):
    def __init__(self, host: str, policy: Policy) -> None:
        super().__init__(host, policy)
        self.statements = ForgetfulTable()


class ForgetsNotices(Fleet):
    holdings_type = ForgetfulHoldings


class SuccessorBelievesTheCopy(Fleet):
    """A successor takes over from its statement in the older copy."""

    def start(self, host: str, peers_answer: bool = True) -> None:
        super().start(host, peers_answer)
        holdings = self.processes[host].host_holdings
        if holdings.former_is_lost:
            holdings.first_start = True
            holdings.statements.bounds_by_host.pop(host, None)
            holdings.recover(self.clock(host), self.booted_by_host[host])


class LeavesOldAppendsAlone(Fleet):
    """A process states in the new era without fencing its old appends."""

    def fence(self, host: str) -> None:
        holdings = self.processes[host].host_holdings
        self.store.fence(host, holdings.fence)


class NothingIsLost(HostHoldings):
    """Counts only the limits in the copy."""

    def _lost_tokens(self) -> dict[str, int]:
        return {}


class CountsNothingAsLost(Fleet):
    holdings_type = NothingIsLost


class AnyCopyIsYoung(HostHoldings):
    """Believes the ceilings of a copy of any age."""

    def _copy_is_young(self, answered_at: float, booted: float) -> bool:
        return True


class BelievesAnOldCopy(Fleet):
    holdings_type = AnyCopyIsYoung


class ImpatientCeilings(Ceilings):
    """Uses a raise as soon as it was read."""

    def read(self, statement: Statement, now: float) -> None:
        super().read(statement, now - 1000.0)


class HoldingsWithImpatientCeilings(HostHoldings):
    def __init__(self, host: str, policy: Policy) -> None:
        super().__init__(host, policy)
        self.ceilings = ImpatientCeilings()


class UsesRaisesAtOnce(Fleet):
    holdings_type = HoldingsWithImpatientCeilings
