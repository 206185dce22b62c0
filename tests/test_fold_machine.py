"""The ledger fold under loss, duplication, reordering, crashes and closings.

Correct holders spend only grants that they have read back from the log, and each has
a witness that fences it.  In any order of the log, spent tokens never become free
again, and each finished request is billed once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from godwitrudder.codec import Malformed
from godwitrudder.version import records
from godwitrudder.version.fold import Applied, Effect, LedgerFold, Void, Voided
from godwitrudder.version.records import Entry

WITNESS = "w{}"
HOLDERS = ("a", "b", "c")
BUDGETS = ("x", "y")
holders = st.sampled_from(HOLDERS)
budgets = st.sampled_from(BUDGETS)
amounts = st.integers(1, 60)
shares = st.integers(1, 100)


@dataclass
class Request:
    """A dispatch; ``used`` is the tokens that it used, None until it ends."""

    holder: str
    budget: str
    tokens: int
    isolated: bool
    used: int | None = None


@dataclass
class Node:
    """A holder with its unspent tokens, or the witness of a holder."""

    queue: list[tuple[float, Entry]] = field(default_factory=list)
    pending: set[Entry] = field(default_factory=set)
    wallet: dict[tuple[str, bool], int] = field(default_factory=dict)
    crashed: bool = False
    fenced: bool = False


class FoldMachine(RuleBasedStateMachine):
    """Holders with one witness each, whose appends reach the log in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fold = LedgerFold()
        self.nodes = {
            name: Node() for name in (*HOLDERS, *map(WITNESS.format, HOLDERS))
        }
        self.sent: list[bytes] = []
        self.requests: dict[str, Request] = {}
        self.handovers: dict[str, records.Handover] = {}
        self.billed: set[str] = set()
        self.offset = 0
        self.count = 0
        self.appends_delayed = False
        self.time = 1000.0

    @initialize()
    def start(self) -> None:
        """Pay tokens into each budget, and grant some to every holder."""
        for budget in BUDGETS:
            self.pay(budget, 200)
            for holder in HOLDERS:
                self.draw(holder, budget, 50, 10)

    @rule(budget=budgets, tokens=st.integers(0, 200))
    def pay(self, budget: str, tokens: int) -> None:
        """Raise or lower the amount that the document pays in."""
        self.submit("a", records.Base(budget, tokens, self.next_number()))

    @rule(holder=holders, budget=budgets, tokens=amounts, isolated=st.integers(0, 20))
    def draw(self, holder: str, budget: str, tokens: int, isolated: int) -> None:
        """Ask for a grant."""
        witnesses = (WITNESS.format(holder),)
        op = str(self.next_number())
        grant = records.Grant(op, budget, holder, tokens, isolated, witnesses)
        self.submit(holder, grant)

    @rule(holder=holders, budget=budgets, share=shares, isolated=st.booleans())
    def dispatch(self, holder: str, budget: str, share: int, isolated: bool) -> None:
        """Start a request, unless fenced; the isolated share needs no witness."""
        tokens = self.deduct(holder, budget, share, isolated)
        if tokens:
            request = Request(holder, budget, tokens, isolated)
            self.requests[str(self.next_number())] = request

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), share=st.integers(0, 100))
    def finish(self, data: st.DataObject, share: int) -> None:
        """End a request and bill it."""
        name = data.draw(st.sampled_from(sorted(self.requests)))
        request = self.requests[name]
        if request.used is None and not self.nodes[request.holder].crashed:
            self.bill_request(request.holder, name, request.tokens * share // 100)

    @rule(holder=holders, budget=budgets, share=shares, isolated=st.booleans())
    def give_back(self, holder: str, budget: str, share: int, isolated: bool) -> None:
        """Deduct tokens and return them by a record."""
        tokens = self.deduct(holder, budget, share, isolated)
        if tokens:
            part = tokens if isolated else 0
            op = str(self.next_number())
            self.submit(holder, records.Return(op, budget, holder, tokens, part))

    @rule(donor=holders, receiver=holders, budget=budgets, share=shares)
    def hand_over(self, donor: str, receiver: str, budget: str, share: int) -> None:
        """Move tokens from donor to receiver; both write the hand-over."""
        node = self.nodes[receiver]
        if donor == receiver or node.crashed or node.fenced:
            return
        tokens = self.deduct(donor, budget, share, False)
        if tokens:
            op = f"m{self.next_number()}"
            entry = records.Handover(op, budget, donor, receiver, tokens)
            self.handovers[op] = entry
            self.submit(receiver, entry)
            self.submit(donor, entry)
            self.credit(receiver, budget, tokens, False)

    @rule(holder=holders)
    def crash(self, holder: str) -> None:
        """Stop a holder permanently; its first queued record may still be appended."""
        self.nodes[holder].crashed = True
        del self.nodes[holder].queue[1:]

    @rule(holder=holders)
    def close(self, holder: str) -> None:
        """Fence the holder at its witness and write the closing."""
        node = self.nodes[holder]
        if not node.fenced:
            node.fenced = True
            for entry in self.handovers.values():
                if entry.receiver == holder:
                    self.submit(WITNESS.format(holder), entry)
            intents = tuple(self.intents(holder))
            op = str(self.next_number())
            closing = records.Closing(op, holder, WITNESS.format(holder), intents)
            self.submit(WITNESS.format(holder), closing)

    @rule()
    def hold_up(self) -> None:
        """Delay appends, so that records of one writer can overtake another's."""
        self.appends_delayed = True

    @precondition(lambda self: self.appends_delayed)
    @rule(names=st.permutations([*HOLDERS, *map(WITNESS.format, HOLDERS)]))
    def catch_up(self, names: list[str]) -> None:
        """Append the delayed records, one writer after the other."""
        self.appends_delayed = False
        for name in names:
            self.append_all(name)

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """Append a batch again, as after a lost answer."""
        self.append(data.draw(st.sampled_from(self.sent)))

    @rule(seconds=st.floats(1, 9000))
    def wait(self, seconds: float) -> None:
        """Advance the log's time."""
        self.time += seconds

    @invariant()
    def nothing_spent_is_free(self) -> None:
        """Spent tokens are billed or open, and their sum is at most the paid tokens."""
        for name, budget in self.fold.budgets_by_id.items():
            holdings = budget.holdings_by_incarnation.values()
            assert budget.open == sum(holding.remaining for holding in holdings)
            assert 0 <= budget.billed + budget.open <= budget.paid
            assert self.spent(name) <= budget.billed + budget.open

    def teardown(self) -> None:
        """End all requests and check that each is billed once."""
        for name, request in list(self.requests.items()):
            node = self.nodes[request.holder]
            if request.used is None and not node.crashed:
                self.bill_request(request.holder, name, request.tokens)
        self.catch_up(list(self.nodes))
        for name in BUDGETS:
            budget = self.fold.budgets_by_id.get(name)
            done = [r.used or 0 for r in self.requests.values() if r.budget == name]
            lost = [r for r in self.requests.values() if self.nodes[r.holder].crashed]
            if budget is not None and not lost:
                assert budget.billed == sum(done)

    def next_number(self) -> int:
        """Return a number not used before."""
        self.count += 1
        return self.count

    def intents(self, holder: str) -> list[records.Intent]:
        """Return a holder's intents: acknowledged by its witness and not yet billed."""
        found = []
        for name, request in self.requests.items():
            if request.holder != holder or request.isolated:
                continue
            if name not in self.billed:
                found.append(records.Intent(name, request.budget, request.tokens))
        for op, entry in self.handovers.items():
            if entry.donor == holder:
                found.append(records.Intent(op, entry.budget, entry.tokens))
        return found

    def spent(self, budget: str) -> int:
        """Return the tokens that requests have used or may still use."""
        mine = [r for r in self.requests.values() if r.budget == budget]
        return sum(r.tokens if r.used is None else r.used for r in mine)

    def deduct(self, holder: str, budget: str, share: int, isolated: bool) -> int:
        """Deduct a share in percent of a holder's tokens, unless crashed or fenced."""
        node = self.nodes[holder]
        if node.crashed or (node.fenced and not isolated):
            return 0
        tokens = node.wallet.get((budget, isolated), 0) * share // 100
        node.wallet[budget, isolated] = node.wallet.get((budget, isolated), 0) - tokens
        return tokens

    def credit(self, holder: str, budget: str, tokens: int, isolated: bool) -> None:
        """Add tokens to a holder's wallet."""
        wallet = self.nodes[holder].wallet
        wallet[budget, isolated] = wallet.get((budget, isolated), 0) + tokens

    def bill_request(self, holder: str, name: str, used: int) -> None:
        """End a request, bill the used tokens and credit the rest."""
        request = self.requests[name]
        request.used = used
        self.credit(holder, request.budget, request.tokens - used, request.isolated)
        bill = records.Bill(name, request.budget, holder, used, request.isolated)
        self.submit(holder, bill)

    def submit(self, writer: str, entry: Entry) -> None:
        """Queue a record with the log time that the writer has seen."""
        node = self.nodes[writer]
        if not node.crashed:
            node.pending.add(entry)
            node.queue.append((self.fold.time, entry))
            if not self.appends_delayed:
                self.append_all(writer)

    def append_all(self, writer: str) -> None:
        """Append all queued records of a writer."""
        while self.nodes[writer].queue:
            self.append_next(writer)

    def append_next(self, writer: str) -> None:
        """Append the first queued record of a writer."""
        seen, entry = self.nodes[writer].queue.pop(0)
        data = records.encode_batch(writer, [entry], seen)
        self.sent.append(data)
        self.append(data)

    def append(self, data: bytes) -> None:
        """Append a batch, and let every writer read its effects."""
        effects = self.fold.apply(self.offset, self.time, data)
        self.offset += 1
        for effect in effects:
            assert not effect.violation
            self.forget_settled(effect)
            for node in self.nodes.values():
                self.process_effect(node, effect)

    def forget_settled(self, effect: Effect) -> None:
        """Drop intents of witnesses that the log has billed or handed over."""
        entry = effect.entry
        if isinstance(effect, Voided) and effect.reason is Void.STALE:
            return
        if isinstance(entry, records.Bill):
            self.billed.add(entry.request)
        if isinstance(entry, records.Handover):
            self.handovers.pop(entry.op, None)

    def process_effect(self, node: Node, effect: Effect) -> None:
        """Write a stale record again; credit a grant that was applied."""
        entry = effect.entry
        if isinstance(entry, Malformed) or entry not in node.pending:
            return
        if isinstance(effect, Voided) and effect.reason is Void.STALE:
            if not node.crashed:
                node.queue.insert(0, (self.fold.time, entry))
            return
        node.pending.discard(entry)
        if isinstance(effect, Applied) and isinstance(entry, records.Grant):
            holding = self.fold.budgets_by_id[entry.budget]
            share = holding.holdings_by_incarnation[entry.incarnation]
            assert share.remaining >= effect.tokens
            isolated = min(entry.isolated, effect.tokens)
            name = entry.incarnation
            self.credit(name, entry.budget, effect.tokens - isolated, False)
            self.credit(name, entry.budget, isolated, True)


TestFold = FoldMachine.TestCase
TestFold.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)
