"""Model of hosts, clocks and store around ``HostHoldings``, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from godwitrudder import codec
from godwitrudder.connection.loans import Ask, Loan
from godwitrudder.request.holding import Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.lending import Lending
from godwitrudder.request.passed_bounds import PASS_ON_SECONDS
from godwitrudder.version.statements import Statement, first_epoch

WORKSPACE = "w"


@dataclass
class Append:
    """An append of an encoded statement to the store."""

    host: str
    epoch: int
    sequence: int
    data: bytes


@dataclass
class StoreModel:
    """Model of a keyed topic with fenced producers.

    Attributes
    ----------
    records : list of (str, bytes)
        Key (the host) and data of each record.
    epochs : dict
        Lowest epoch of each host that may append; lower ones are fenced.
    ends : dict
        End offset of each append that took effect, by host, epoch and sequence.
    delayed : list of Append
        Appends that reach the store later.
    era : int
        Number of times that the store came back from an older copy.
    copies : list of StoreModel
        State of the store before each append, oldest first.
    """

    records: list[tuple[str, bytes]] = field(default_factory=list)
    epochs: dict[str, int] = field(default_factory=dict)
    ends: dict[tuple[str, int, int], int] = field(default_factory=dict)
    delayed: list[Append] = field(default_factory=list)
    era: int = 0
    copies: list[StoreModel] = field(default_factory=list)

    def fence(self, host: str, epoch: int) -> None:
        self._copy()
        self.epochs[host] = max(epoch, self.epochs.get(host, 0))

    def _copy(self) -> None:
        self.copies.append(
            StoreModel(list(self.records), dict(self.epochs), dict(self.ends))
        )

    def restore(self, lost: int) -> None:
        """Come back from the copy made before the last ``lost`` changes."""
        self.era += 1
        if not lost or not self.copies:
            return
        copied = self.copies[max(0, len(self.copies) - lost)]
        del self.copies[max(0, len(self.copies) - lost) :]
        self.records = list(copied.records)
        self.epochs, self.ends = dict(copied.epochs), dict(copied.ends)

    def append(self, append: Append) -> int | None:
        """Return the end offset; None if fenced or out of sequence.

        A repeated append returns the end offset of the first one.
        """
        if append.epoch < self.epochs.get(append.host, 0):
            return None
        key = (append.host, append.epoch, append.sequence)
        if key not in self.ends:
            expected = self.expected_sequence(append)
            if expected is not None and append.sequence != expected:
                return None
            self._copy()
            self.epochs[append.host] = append.epoch
            self.records.append((append.host, append.data))
            self.ends[key] = len(self.records)
        return self.ends[key]

    def expected_sequence(self, append: Append) -> int | None:
        """Return the number of the producer's next append; None for any."""
        known = [key[2] for key in self.ends if key[:2] == (append.host, append.epoch)]
        return max(known) + 1 if known else None

    def newest(self) -> dict[str, bytes]:
        return dict(self.records)


@dataclass
class Process:
    """One incarnation of a host.

    Attributes
    ----------
    loans, sequence : int
        Number of the last loan made and of the last append.
    offset : int
        Offset up to which the store is read.
    pending : tuple of (Statement, Append) or None
        Statement whose append is not confirmed yet.
    requests : list of int
        Tokens reserved by each running request.
    """

    host_holdings: HostHoldings
    epoch: int
    lending: Lending
    loans: int = 0
    sequence: int = 0
    offset: int = 0
    pending: tuple[Statement, Append] | None = None
    requests: list[int] = field(default_factory=list)


@dataclass
class LoanInFlight:
    """A loan to one incarnation that may arrive late, more than once, or never."""

    borrower: str
    epoch: int
    loan: Loan


class Fleet:
    """Hosts that share one budget, and the tokens that their requests spent.

    Subclasses inject a fault that the state machine must find.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    prepaid : int
        Tokens of the budget.
    """

    holdings_type: type[HostHoldings] = HostHoldings
    lending_type: type[Lending] = Lending
    reuses_epoch = False

    def __init__(self, hosts: int, prepaid: int) -> None:
        self.now = 100.0
        self.prepaid = prepaid
        self.store = StoreModel()
        self.booted_by_host = {f"h{i}": 1000.0 * i for i in range(hosts)}
        self.skew_by_host = {host: 0.0 for host in self.booted_by_host}
        self.spent_tokens = 0
        self.notices_arrive = True
        self.processes: dict[str, Process] = {}
        self.loans: list[LoanInFlight] = []
        for host in self.booted_by_host:
            self.start(host)
        for _ in range(2):
            self.state_all()

    def state_all(self) -> None:
        """Have each host state, and all read that, until allowances are in force."""
        for host in self.processes:
            self.send_statement(host, "answered")
        for host in self.processes:
            self.read(host)

    def clock(self, host: str) -> float:
        """Return the host's clock in seconds; a reboot changes its offset."""
        return self.now + self.skew_by_host[host]

    def start(self, host: str, peers_answer: bool = True) -> None:
        """Start a process: fence the former one, read the store, recover tokens.

        Parameters
        ----------
        peers_answer : bool
            Whether the other hosts state, if this one needs a bound from them.
        """
        holdings = self.holdings_type(host, Policy())
        holdings.configure({WORKSPACE: self.prepaid})
        holdings.statements.era = self.store.era
        former = self.store.newest().get(host)
        epoch = first_epoch(self.store.era, None)
        if former is not None:
            statement = codec.decode(former, Statement)
            assert isinstance(statement, Statement)
            epoch = first_epoch(self.store.era, statement)
            if self.reuses_epoch:
                epoch = statement.epoch
        epoch = max(epoch, self.store.epochs.get(host, 0) + (not self.reuses_epoch))
        holdings.fence = epoch
        self.store.fence(host, epoch)
        process = Process(holdings, epoch, self.lending_type(holdings, Random(0)))
        self.processes[host] = process
        self.read_newest(host)
        answered_at = self.clock(host)
        if holdings.needs_bound and peers_answer:
            self.pass_bounds_on(host)
        if holdings.needs_bound:
            holdings.bound_by_ceilings(answered_at, self.booted_by_host[host])
        now, booted = self.clock(host), self.booted_by_host[host]
        at_risk = holdings.former_statement_at_risk(now, booted)
        age = None if at_risk is None else self.age(host, at_risk)
        holdings.recover(now, booted, age)

    def pass_bounds_on(self, host: str) -> None:
        """Have the other hosts notice the new era and pass bounds on to a host."""
        others = [name for name in self.processes if name != host]
        for name in others:
            self.read(name)
        self.now += PASS_ON_SECONDS
        for name in others:
            self.send_statement(name, "answered")
            self.send_statement(name, "answered")
        self.read(host)

    def enter_era(self, host: str) -> None:
        """Notice that the store has come back from an older copy."""
        process = self.processes[host]
        holdings = process.host_holdings
        holdings.begin_era(self.store.era, self.clock(host))
        process.pending = None
        self.fence(host)
        self.read_newest(host)

    def fence(self, host: str) -> None:
        """Fence the process's own appends of the former era."""
        holdings = self.processes[host].host_holdings
        lowest = max(self.store.epochs.get(host, 0), holdings.fence) + 1
        holdings.fence = max(lowest, first_epoch(self.store.era, None))
        self.store.fence(host, holdings.fence)

    def age(self, host: str, statement: Statement) -> float | None:
        """Return the lowest upper bound that a peer has on a statement's age."""
        ages = [
            process.host_holdings.statements.max_age(
                host, statement.epoch, statement.sent, self.clock(name)
            )
            for name, process in self.processes.items()
            if name != host
        ]
        return min((age for age in ages if age is not None), default=None)

    def stop(self, host: str, reboot: bool) -> None:
        """Kill a process; its running requests count as fully spent."""
        if reboot:
            self.booted_by_host[host] += 5000.0
            self.skew_by_host[host] -= 77.0
        del self.processes[host]

    def start_request(self, host: str, tokens: int) -> bool:
        process = self.processes[host]
        holding = process.host_holdings.holding(WORKSPACE)
        process.host_holdings.record_demand(WORKSPACE, tokens, self.clock(host))
        if not holding.reserve(tokens, self.clock(host)):
            return False
        self.spent_tokens += tokens
        process.requests.append(tokens)
        return True

    def lend(self, lender: str, borrower: str, tokens: int) -> None:
        """Have one host lend to another; the loan is not delivered yet."""
        process, reader = self.processes[lender], self.processes[borrower]
        ask = Ask(borrower, reader.epoch, 1, WORKSPACE, tokens, tokens, 0.0)
        lent, left = process.lending.lend(ask, self.clock(lender))
        if lent:
            process.loans += 1
            number = process.loans
            loan = Loan(lender, process.epoch, number, 1, WORKSPACE, lent, left)
            self.loans.append(LoanInFlight(borrower, reader.epoch, loan))

    def deliver_loan(self, index: int, again: bool) -> None:
        """Deliver a loan in flight; with ``again``, it stays in flight."""
        if not self.loans:
            return
        index %= len(self.loans)
        under_way = self.loans[index]
        if not again:
            del self.loans[index]
        process = self.processes[under_way.borrower]
        if self.can_read(under_way, process):
            process.lending.accept(under_way.loan, self.clock(under_way.borrower))

    def can_read(self, under_way: LoanInFlight, process: Process) -> bool:
        """Whether a process has the loan's key; keys differ between incarnations."""
        return process.epoch == under_way.epoch

    def abandon_loan(self, index: int) -> None:
        """Have the lender stop repeating a loan, which may still arrive."""

    def finish_request(self, host: str, used_share: float) -> None:
        process = self.processes[host]
        if process.requests:
            tokens = process.requests.pop(0)
            used = int(tokens * used_share)
            self.settle(process, tokens, used)
            self.spent_tokens -= tokens - used

    def settle(self, process: Process, tokens: int, used: int) -> None:
        process.host_holdings.holding(WORKSPACE).settle(tokens, used)

    def send_statement(self, host: str, outcome: str) -> None:
        """Send a statement, or repeat the one that is not confirmed.

        Parameters
        ----------
        outcome : str
            Outcome of the append: ``answered``, ``unanswered`` (stored, but the answer
            is lost), ``lost`` or ``late`` (it reaches the store later).
        """
        process = self.processes[host]
        if process.pending is None:
            now = self.clock(host)
            booted = self.booted_by_host[host]
            statement = process.host_holdings.statement(now, booted, process.epoch)
            if statement is None:
                return
            process.sequence += 1
            process.host_holdings.statement_sent(statement)
            data = codec.encode(statement)
            fence = process.host_holdings.fence
            append = Append(host, fence, process.sequence, data)
            process.pending = (statement, append)
            if self.notices_arrive:
                self.notice_limits(host, statement)
        statement, append = process.pending
        if outcome == "lost":
            return
        if outcome == "late":
            self.store.delayed.append(append)
            return
        end = self.store.append(append)
        if outcome != "answered":
            return
        if self.store.era > process.host_holdings.statements.era:
            self.enter_era(host)
        elif end is not None:
            process.host_holdings.statement_stored(statement, end)
            process.pending = None
        elif append.epoch == self.store.epochs.get(host, 0):
            expected = self.store.expected_sequence(append)
            assert expected is not None
            process.sequence = append.sequence = expected

    def notice_limits(self, host: str, statement: Statement) -> None:
        """Tell the other hosts the statement's higher limits; they confirm them."""
        holdings = self.processes[host].host_holdings
        limits = holdings.known_limits.to_notice(statement)
        for name, process in self.processes.items():
            if name != host and process.host_holdings.statements.notice(
                host, statement.epoch, statement.era, statement.sent, limits
            ):
                holdings.record_noticed(name, statement.sent, self.clock(host))

    def deliver_late_append(self) -> None:
        if self.store.delayed:
            self.store.append(self.store.delayed.pop(0))

    def read(self, host: str, lag: float = 0.0) -> None:
        """Read the new records, as stored at half of the ``lag`` in seconds."""
        process = self.processes[host]
        if self.store.era > process.host_holdings.statements.era:
            self.enter_era(host)
        process.host_holdings.begin_read(self.clock(host))
        self.now += lag / 2
        records = self.store.records[process.offset :]
        self.now += lag / 2
        for name, data in records:
            process.host_holdings.apply_statement(name, data, self.clock(host))
        process.host_holdings.statements.end_read()
        process.offset += len(records)
        process.host_holdings.apply_read(process.offset, self.clock(host))

    def read_newest(self, host: str) -> None:
        """Read only the newest records, as after the store forgot older ones."""
        process = self.processes[host]
        if self.store.era > process.host_holdings.statements.era:
            self.enter_era(host)
            return
        process.host_holdings.begin_read(self.clock(host), newest_only=True)
        for name, data in self.store.newest().items():
            process.host_holdings.apply_statement(name, data, self.clock(host))
        process.host_holdings.statements.end_read()
        process.offset = len(self.store.records)
        holdings = process.host_holdings
        holdings.stored_statements.note_read(holdings.statements.era, process.offset)
        process.host_holdings.apply_read(process.offset, self.clock(host))
