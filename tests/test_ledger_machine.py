"""Hosts never overspend a shared budget, whatever faults happen in whichever order.

Statements and loans are lost, delayed or repeated; processes pause and restart, and
machines reboot. Each injected fault breaks one rule that keeps the budget, so the state
machine must find an overspending.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from godwitrudder.request import ceiling
from godwitrudder.request.lending import lendable
from tests.ledger_faults import (
    AgeIsTooLow,
    BelievesAnOldCopy,
    BelievesTheCopy,
    CountsLoanByBoth,
    CountsNothingAsLost,
    ExceedsItsAllowance,
    FleetWithoutReadBack,
    ForgetsNotices,
    LeavesOldAppendsAlone,
    RefundsTwice,
    RepeatsLoan,
    ResealsLoan,
    ReusesEpoch,
    SuccessorBelievesTheCopy,
    SuccessorIgnoresLoan,
    TakesLoanBack,
    UsesAnUnreadAllowance,
    UsesRaisesAtOnce,
)
from tests.ledger_model import WORKSPACE, Fleet

HOSTS = st.sampled_from(["h0", "h1"])
APPEND_OUTCOMES = st.sampled_from(
    ["answered", "answered", "unanswered", "lost", "late"]
)
PREPAID = 1000
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


FAULT_SEARCH_SETTINGS = settings(SETTINGS, max_examples=1500, phases=[Phase.generate])


class Ledger(RuleBasedStateMachine):
    """State machine of two hosts with holdings of one shared budget."""

    fleet_type: type[Fleet] = Fleet

    def __init__(self) -> None:
        super().__init__()
        self.fleet = self.fleet_type(2, PREPAID)
        self.highest_ceiling = 0

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.6, 9.0]))
    def advance(self, seconds: float) -> None:
        self.fleet.now += seconds

    @rule(host=HOSTS, tokens=st.integers(1, 500))
    def ask(self, host: str, tokens: int) -> None:
        self.fleet.start_request(host, tokens)

    @rule(host=HOSTS, tokens=st.integers(1, 900))
    def cycle(self, host: str, tokens: int) -> None:
        """Append a statement, read it back and reserve tokens, without faults."""
        self._set_waiting_tokens(host, tokens)
        self.fleet.send_statement(host, "answered")
        self.fleet.read(host)
        self._set_waiting_tokens(host, 0)
        self.fleet.start_request(host, tokens)

    @rule(host=HOSTS)
    def spend_all(self, host: str) -> None:
        """Reserve all tokens that may be spent now."""
        fleet = self.fleet
        holding = fleet.processes[host].host_holdings.holding(WORKSPACE)
        spendable = holding.spendable(fleet.clock(host))
        if spendable > 0:
            fleet.start_request(host, spendable)

    @rule(host=HOSTS, tokens=st.integers(1, 900))
    def want(self, host: str, tokens: int) -> None:
        """Record that requests wait for this many tokens."""
        self._set_waiting_tokens(host, tokens)

    def _set_waiting_tokens(self, host: str, tokens: int) -> None:
        self.fleet.processes[host].host_holdings.holding(
            WORKSPACE
        ).waiting_tokens = tokens

    @rule(host=HOSTS, tokens=st.integers(100, 900))
    def hurry(self, host: str, tokens: int) -> None:
        """Append a statement for a waiting request; reserve without reading it back."""
        self._set_waiting_tokens(host, tokens)
        self.fleet.send_statement(host, "answered")
        self._set_waiting_tokens(host, 0)
        self.fleet.start_request(host, tokens)

    @rule(lender=HOSTS, borrower=HOSTS, tokens=st.integers(1, 500))
    def lend(self, lender: str, borrower: str, tokens: int) -> None:
        if lender != borrower:
            self.fleet.lend(lender, borrower, tokens)

    @rule(lender=HOSTS, borrower=HOSTS)
    def lend_all(self, lender: str, borrower: str) -> None:
        """Lend all lendable tokens; the loan arrives and is spent."""
        if lender == borrower:
            return
        fleet = self.fleet
        holding = fleet.processes[lender].host_holdings.holding(WORKSPACE)
        free = lendable(holding, fleet.clock(lender))
        if free > 0:
            fleet.lend(lender, borrower, free)
            fleet.deliver_loan(-1, True)
            self.spend_all(borrower)

    @rule(lender=HOSTS, borrower=HOSTS)
    def lender_dies(self, lender: str, borrower: str) -> None:
        """Ask the lender for all tokens that it holds, then kill and restart it.

        ``Lending`` lends only spendable tokens, ``LendsUnspendableTokens`` all.
        """
        if lender == borrower:
            return
        holding = self.fleet.processes[lender].host_holdings.holding(WORKSPACE)
        held = holding.granted - holding.spent
        if held > 0:
            self.fleet.lend(lender, borrower, held)
            self.fleet.deliver_loan(-1, True)
            self.spend_all(borrower)
            self.restart(lender, False, 900)
            self.spend_all(lender)

    @rule(lender=HOSTS, borrower=HOSTS, reboot=st.booleans())
    def borrower_dies(self, lender: str, borrower: str, reboot: bool) -> None:
        """Lend; restart the borrower after it has spent the loan; repeat the loan."""
        if lender != borrower:
            self.lend_all(lender, borrower)
            self.restart(borrower, reboot, 900)
            self.fleet.deliver_loan(-1, True)
            self.spend_all(borrower)

    @rule(index=st.integers(0, 5), again=st.booleans())
    def loan_comes(self, index: int, again: bool) -> None:
        self.fleet.deliver_loan(index, again)

    @rule(index=st.integers(0, 5))
    def loan_gives_up(self, index: int) -> None:
        self.fleet.abandon_loan(index)

    @rule(host=HOSTS, share=st.sampled_from([0.0, 0.5, 1.0]))
    def finish(self, host: str, share: float) -> None:
        self.fleet.finish_request(host, share)

    @rule(host=HOSTS, fate=APPEND_OUTCOMES)
    def state(self, host: str, fate: str) -> None:
        self.fleet.send_statement(host, fate)

    @rule()
    def arrive_late(self) -> None:
        self.fleet.deliver_late_append()

    @rule(host=HOSTS, newest=st.booleans(), lag=st.sampled_from([0.0, 0.0, 0.8]))
    def read(self, host: str, newest: bool, lag: float) -> None:
        if newest:
            self.fleet.read_newest(host)
        else:
            self.fleet.read(host, lag)

    @rule(host=HOSTS, peer=HOSTS, seconds=st.sampled_from([0.3, 2.0, 5.0]))
    def power_loss(self, host: str, peer: str, seconds: float) -> None:
        """A host spends tokens that became spendable with time, then reboots.

        A peer keeps running and bounds the age of the host's statement.
        """
        self.cycle(host, 300)
        self.fleet.read(peer)
        self.cycle(host, 300)
        self.fleet.now += seconds
        self.spend_all(host)
        self.fleet.read(peer)
        self.restart(host, True, 900)
        self.spend_all(host)
        for _ in range(2):
            self.fleet.state_all()
        for each in (host, peer):
            self.cycle(each, 900)
            self.spend_all(each)

    @rule(host=HOSTS, reboot=st.booleans(), tokens=st.integers(1, 900))
    def restart(self, host: str, reboot: bool, tokens: int) -> None:
        self.fleet.stop(host, reboot)
        self.fleet.start(host)
        self.cycle(host, tokens)

    @rule(reboot=st.booleans())
    def restart_all(self, reboot: bool) -> None:
        for host in list(self.fleet.processes):
            self.fleet.stop(host, reboot)
        for host in self.fleet.booted_by_host:
            self.fleet.start(host)

    @rule(host=HOSTS, more=st.sampled_from([0, 100, 400]))
    def top_up(self, host: str, more: int) -> None:
        """Raise the prepaid amount; only this host learns of it now."""
        self.fleet.prepaid += more
        host_holdings = self.fleet.processes[host].host_holdings
        host_holdings.configure({WORKSPACE: self.fleet.prepaid})

    @invariant()
    def within_prepaid(self) -> None:
        assert self.fleet.spent_tokens <= self.fleet.prepaid

    @invariant()
    def within_ceilings(self) -> None:
        """Grants never exceed the highest ceiling that was ever in force."""
        in_force = [
            process.host_holdings.ceiling(WORKSPACE)
            for process in self.fleet.processes.values()
        ]
        self.highest_ceiling = max([self.highest_ceiling, *in_force])
        assert self.fleet.spent_tokens <= self.highest_ceiling


class RestoredLedger(Ledger):
    """State machine whose store also comes back from an older copy."""

    hosts = 2

    def __init__(self) -> None:
        super().__init__()
        self.fleet = self.fleet_type(self.hosts, PREPAID)

    @rule(arrive=st.booleans())
    def notices(self, arrive: bool) -> None:
        """Whether hosts hear of each other's limits directly from now on."""
        self.fleet.notices_arrive = arrive

    @rule(lost=st.sampled_from([0, 1, 2, 3, 5, 8, 20]))
    def restore(self, lost: int) -> None:
        """Lose the last changes of the store."""
        self.fleet.store.restore(lost)

    @rule(host=HOSTS, peer=HOSTS, lost=st.sampled_from([1, 2, 3, 5]))
    def restore_spent(self, host: str, peer: str, lost: int) -> None:
        """A host spends what it got from a statement that is lost; another wants more.

        The other one states and reads in the new era.
        """
        self.cycle(host, 300)
        self.spend_all(host)
        self.fleet.store.restore(lost)
        self.cycle(peer, 900)
        self.cycle(peer, 900)
        self.spend_all(peer)

    @rule(host=HOSTS, peer=HOSTS, seconds=st.sampled_from([0.1, 2.0, 9.0]))
    def restore_unread(self, host: str, peer: str, seconds: float) -> None:
        """A host raises its limit several times before a restore; no host reads it."""
        self.fleet.state_all()
        for _ in range(3):
            self.fleet.now += seconds
            self.cycle(host, 300)
            self.spend_all(host)
        self.fleet.store.restore(20)
        for _ in range(3):
            self.cycle(peer, 900)
            self.spend_all(peer)

    @rule(host=HOSTS, lost=st.sampled_from([1, 2, 5]), answer=st.booleans())
    def restore_dead(self, host: str, lost: int, answer: bool) -> None:
        """A host dies with the statements that the store loses."""
        self.cycle(host, 400)
        self.spend_all(host)
        self.fleet.stop(host, False)
        self.fleet.store.restore(lost)
        self.fleet.start(host, answer)
        for _ in range(2):
            self.fleet.state_all()
            self.fleet.now += 1.0
            self.spend_all(host)

    @rule(
        lost=st.sampled_from([0, 1, 2, 4, 8, 20]),
        again=st.sampled_from([0, 0, 3]),
        seconds=st.sampled_from([0.1, 2.0, 9.0]),
        tokens=st.sampled_from([100, 300]),
        stated=st.sampled_from([0, 0, 1, 2]),
    )
    def restore_without_memory(
        self, lost: int, again: int, seconds: float, tokens: int, stated: int = 0
    ) -> None:
        """All hosts spend what they have and die when the store is restored.

        ``stated`` hosts have noticed the new era before, and gone on there.
        """
        fleet = self.fleet
        for _ in range(4):
            for host in sorted(fleet.booted_by_host):
                self.cycle(host, 20)
        for host in sorted(fleet.booted_by_host):
            self.cycle(host, tokens)
            self.spend_all(host)
        survivors = sorted(fleet.processes)[:stated]
        if survivors and lost:
            fleet.store.restore(lost)
            for _ in range(2):
                for host in survivors:
                    self.cycle(host, tokens)
                    self.spend_all(host)
        for host in list(fleet.processes):
            fleet.stop(host, False)
        fleet.now += seconds
        for records in (0 if survivors else lost, again):
            if records:
                fleet.store.restore(records)
        for host in sorted(fleet.booted_by_host):
            fleet.start(host)
        for _ in range(2):
            fleet.state_all()
            for host in sorted(fleet.booted_by_host):
                self.cycle(host, 900)
                self.spend_all(host)

    @rule(seconds=st.sampled_from([1.0, 5.0, 10.0]), tokens=st.integers(5, 100))
    def spend_steadily(self, seconds: float, tokens: int) -> None:
        """Spend for some statement intervals, so that ceilings are raised."""
        for _ in range(6):
            self.fleet.now += seconds
            for host in sorted(self.fleet.booted_by_host):
                self.cycle(host, tokens)

    @rule(host=HOSTS, peer=HOSTS)
    def old_append_arrives(self, host: str, peer: str) -> None:
        """An append of the former era arrives after the host has stated again."""
        fleet = self.fleet
        fleet.state_all()
        for outcome, tokens in (("answered", 20), ("late", 40)):
            self._set_waiting_tokens(host, tokens)
            fleet.send_statement(host, outcome)
        fleet.store.restore(1)
        for _ in range(2):
            fleet.state_all()
            self.cycle(host, 300)
        self.spend_all(host)
        while fleet.store.delayed:
            fleet.deliver_late_append()
        for _ in range(2):
            self.cycle(peer, 900)
            self.spend_all(peer)

    @rule(host=HOSTS, peer=HOSTS)
    def allowance_unread(self, host: str, peer: str) -> None:
        """A host announces a higher allowance, which its peer has not read."""
        fleet = self.fleet
        fleet.state_all()
        self.top_up(host, 400)
        self.top_up(peer, 0)
        for _ in range(3):
            self.cycle(host, 900)
            self.spend_all(host)
        fleet.store.restore(20)
        for _ in range(2):
            self.cycle(peer, 900)
            self.spend_all(peer)


def test_nothing_spends_past_the_budget() -> None:
    run_state_machine_as_test(Ledger, settings=SETTINGS)


def test_nothing_spends_past_the_budget_though_the_store_is_restored() -> None:
    run_state_machine_as_test(RestoredLedger, settings=SETTINGS)


@pytest.fixture
def _low_ceilings(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ceilings that the spending of the machines reaches."""
    monkeypatch.setattr(ceiling, "FLOOR_TOKENS", 600)
    monkeypatch.setattr(ceiling, "RAISE_BELOW_SECONDS", 5.0)
    monkeypatch.setattr(ceiling, "RAISE_TO_SECONDS", 10.0)


@pytest.mark.usefixtures("_low_ceilings")
def test_nothing_spends_past_the_ceilings_though_the_store_is_restored() -> None:
    run_state_machine_as_test(RestoredLedger, settings=SETTINGS)


def play_death_of_the_fleet(
    fleet: type[Fleet], seconds: float, tokens: int, lost: int, stated: int
) -> None:
    """Play a fleet that spends steadily and dies beside a restore; check it."""

    class Scripted(RestoredLedger):
        fleet_type = fleet

    machine = Scripted()
    machine.within_ceilings()
    machine.advance(9.0)
    for _ in range(2):
        machine.spend_steadily(seconds, tokens)
        machine.within_ceilings()
    machine.restore_without_memory(lost, 0, 0.1, 300, stated)
    machine.within_ceilings()
    machine.spend_steadily(seconds, 100)
    machine.within_ceilings()
    machine.within_prepaid()


DEATHS = [
    (seconds, tokens, lost, stated)
    for seconds in (1.0, 5.0, 10.0)
    for tokens in (5, 20, 60)
    for lost in (0, 2, 4, 8, 12, 20, 30)
    for stated in (0, 1, 2)
]


@pytest.mark.usefixtures("_low_ceilings")
@pytest.mark.parametrize(("seconds", "tokens", "lost", "stated"), DEATHS)
def test_a_fleet_that_dies_beside_a_restore_spends_nothing_twice(
    seconds: float, tokens: int, lost: int, stated: int
) -> None:
    play_death_of_the_fleet(Fleet, seconds, tokens, lost, stated)


@pytest.mark.usefixtures("_low_ceilings")
@pytest.mark.parametrize(
    "fleet", [BelievesAnOldCopy, CountsNothingAsLost, UsesRaisesAtOnce]
)
def test_a_planted_fault_of_ceilings_is_found(fleet: type[Fleet]) -> None:
    found = 0
    for death in DEATHS:
        try:
            play_death_of_the_fleet(fleet, *death)
        except AssertionError:
            found += 1
    assert found


@pytest.mark.parametrize(
    "fleet",
    [
        BelievesTheCopy,
        ExceedsItsAllowance,
        UsesAnUnreadAllowance,
        ForgetsNotices,
        SuccessorBelievesTheCopy,
        LeavesOldAppendsAlone,
    ],
)
def test_the_machine_finds_a_planted_fault_of_restores(fleet: type[Fleet]) -> None:
    class Faulty(RestoredLedger):
        fleet_type = fleet

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Faulty, settings=FAULT_SEARCH_SETTINGS)


@pytest.mark.parametrize(
    "fleet",
    [
        FleetWithoutReadBack,
        ReusesEpoch,
        RefundsTwice,
        RepeatsLoan,
        CountsLoanByBoth,
        SuccessorIgnoresLoan,
        TakesLoanBack,
        ResealsLoan,
        AgeIsTooLow,
    ],
)
def test_the_machine_finds_a_planted_fault(fleet: type[Fleet]) -> None:
    class Faulty(Ledger):
        fleet_type = fleet

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Faulty, settings=FAULT_SEARCH_SETTINGS)
