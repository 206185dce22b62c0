"""Routers of the budget benches: holder, witness and appender on a virtual clock.

Every node runs the daemon's own decision modules.  The log is folded once; a
node that can't reach it goes on with what it saw last.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bench.simulation import Action, Network, SimulatedLog, World
from godwitrudder import codec
from godwitrudder.clock import Stamp
from godwitrudder.connection.escrow import (
    Acked,
    Announce,
    Beat,
    CallBack,
    FenceAsk,
    Fenced,
    Given,
    Standing,
)
from godwitrudder.connection.frames import Frame, Message
from godwitrudder.platform.log import LogUnavailable
from godwitrudder.process.witness import entries_of
from godwitrudder.request import events
from godwitrudder.request.announcement import SendAnnouncement
from godwitrudder.request.events import Refuse, Serve
from godwitrudder.request.grant_allocator import GrantAllocator
from godwitrudder.request.holder import DispatchAllowed, Holder, Send, Step, records_of
from godwitrudder.request.sizing import WHOLE_PERMILLE, BudgetTotals, DrawSizing
from godwitrudder.request.witness import Action as WitnessAction
from godwitrudder.request.witness import AskFence, Witness, candidates
from godwitrudder.request.witnesses import host_of
from godwitrudder.version import records
from godwitrudder.version.fold import Applied, Effect, LedgerFold
from godwitrudder.version.records import Entry

STREAM: Final = "ledger"
WINDOW_SECONDS: Final = 0.02
RETRY_SECONDS: Final = 1.0
PULL_SECONDS: Final = 0.5
READ_SECONDS: Final = 0.003
TICK_SECONDS: Final = 0.25
BEAT_SECONDS: Final = 1.0
ANSWER_SECONDS: Final = 1.0


@dataclass(slots=True)
class SharedLog:
    """The log, folded once for all nodes."""

    world: World
    log: SimulatedLog
    fold: LedgerFold = field(default_factory=LedgerFold)
    effects_by_offset: list[list[Effect]] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    bills_by_request: dict[str, int] = field(default_factory=dict)
    violations: int = 0
    bytes_appended: int = 0

    def append(
        self, writer: str, data: bytes, answered: Callable[[bool], None]
    ) -> None:
        """Append; ``answered`` learns whether the log said yes."""
        self.bytes_appended += len(data)

        def answer(result: int | LogUnavailable) -> None:
            answered(not isinstance(result, LogUnavailable))

        self.log.append(writer, STREAM, data, answer)
        self.world.after(0.01, self.apply)

    def apply(self) -> None:
        """Fold what is new and let every node read it."""
        stored = self.log.records_by_stream[STREAM]
        if len(stored) == len(self.effects_by_offset):
            return
        for record in stored[len(self.effects_by_offset) :]:
            effects = self.fold.apply(record.offset, record.time, record.data)
            self.effects_by_offset.append(effects)
            for effect in effects:
                self._count(effect)
        for node in self.nodes:
            self.world.after(READ_SECONDS, node.pull)

    def write(self, entry: Entry) -> None:
        """Append as an operator, whatever the network does."""
        data = records.encode_batch("operator", [entry], self.fold.time)
        self.log.append("operator", STREAM, data, lambda result: None)
        self.world.after(0.01, self.apply)

    def view(self, budget: str) -> BudgetTotals | None:
        """Return the state of a budget."""
        state = self.fold.budgets_by_id.get(budget)
        if state is None:
            return None
        holdings = state.holdings_by_incarnation.items()
        remaining = {holder: holding.remaining for holder, holding in holdings}
        return BudgetTotals(state.paid, state.billed, state.free, remaining)

    def _count(self, effect: Effect) -> None:
        if effect.violation:
            self.violations += 1
        if isinstance(effect, Applied) and isinstance(effect.entry, records.Bill):
            request = effect.entry.request
            self.bills_by_request[request] = self.bills_by_request.get(request, 0) + 1


class Node:
    """One router.

    Parameters
    ----------
    domain_by_host : dict
        Every router of the fleet.
    witnessed : bool
        False for the baseline without call-back and witnesses.
    """

    def __init__(
        self,
        world: World,
        network: Network,
        shared: SharedLog,
        host: str,
        domain_by_host: dict[str, str],
        endurance: float,
        witnessed: bool = True,
    ) -> None:
        self.world = world
        self.network = network
        self.shared = shared
        self.host = host
        self.incarnation = f"{host}/1"
        self.domain_by_host = domain_by_host
        self.witnessed = witnessed
        self.dead = False
        self.bytes = 0
        self.nodes_by_host: dict[str, Node] = {}
        self._paused: list[Action] | None = None
        self._position = 0
        self._seen: dict[str, BudgetTotals | None] = {}
        self._queue: list[Entry] = []
        self._appending = False
        self._ops = 0
        self._waiting_by_request: dict[str, Callable[[Step], None]] = {}
        sizing = DrawSizing(endurance, len(domain_by_host))
        allotment = GrantAllocator(
            self.incarnation,
            self.view,
            lambda _: sizing,
            lambda: [name for name in domain_by_host if name != host],
            self._op,
        )
        self.holder = Holder(allotment, self._op)
        self.witness = Witness(self.incarnation)
        if witnessed:
            order = candidates(host, domain_by_host[host], domain_by_host)
            self.holder.witness_set.set_candidate_hosts(
                order, domain_by_host, domain_by_host[host]
            )
            self._every(BEAT_SECONDS, self._beat_all)
            self._every(BEAT_SECONDS, self._watch)
        self._every(TICK_SECONDS, self._tick)
        self._every(PULL_SECONDS, self.pull)

    def enter(self, action: Action) -> None:
        """Run ``action`` here: now, after a pause, or never."""
        if self.dead:
            return
        if self._paused is not None:
            self._paused.append(action)
            return
        action()

    def pause(self) -> None:
        """Stop the process as SIGSTOP does."""
        self._paused = []

    def resume(self) -> None:
        """Let the process go on; what had arrived is handled first."""
        waiting, self._paused = self._paused or [], None
        for action in waiting:
            self.enter(action)

    def want(
        self,
        request: str,
        budget: str,
        tokens: int,
        deadline: float,
        woken: Callable[[Step], None],
    ) -> None:
        """Reserve; ``woken`` gets ``Serve`` or ``Refuse``."""
        self._waiting_by_request[request] = woken
        wanted = events.Wanted(request, budget, tokens, deadline)
        self.run(self.holder.handle(wanted, self.now))

    def announce(
        self, request: str, deadline: float, woken: Callable[[Step], None]
    ) -> None:
        """Announce a dispatch; ``woken`` gets ``Go`` or ``Refuse``."""
        self._waiting_by_request[request] = woken
        self.run(self.holder.announce(request, "runner", "attempt", deadline, self.now))

    def end(self, request: str, used: int) -> None:
        """End a request that was served or not."""
        self.run(self.holder.ended(request, used, self.now))

    def top_up(self, budget: str, tokens: int) -> None:
        """Nothing to do: the log tells."""

    def view(self, budget: str) -> BudgetTotals | None:
        """Return what this node knows of a budget."""
        if self.log_reachable:
            self._seen[budget] = self.shared.view(budget)
        return self._seen.get(budget)

    @property
    def now(self) -> float:
        """The clock's reading in seconds."""
        return self.world.clock.now()

    @property
    def log_reachable(self) -> bool:
        """Whether the log answers this node."""
        log = self.shared.log
        return not log.down and self.network.connected(self.host, log.NODE)

    def pull(self) -> None:
        """Read what is new in the log."""
        if self.dead or self._paused is not None or not self.log_reachable:
            return
        known = self.shared.effects_by_offset
        while self._position < len(known):
            effects = known[self._position]
            self._position += 1
            for effect in effects:
                self._read(effect)

    def _read(self, effect: Effect) -> None:
        entry = effect.entry
        if isinstance(effect, Applied) and isinstance(entry, records.Bill):
            self.witness.billed(entry.request)
        self.run(self.holder.apply_effect(effect, self.now))

    def run(self, steps: list[Step]) -> None:
        """Carry actions out, in order."""
        for step in steps:
            match step:
                case Serve():
                    self._wake(step.reservation.request, step)
                case DispatchAllowed() | Refuse():
                    self._wake(step.request, step)
                case SendAnnouncement():
                    self._tell(step)
                case Send():
                    if self.witnessed:
                        self._send(host_of(step.target), step.message)
                case _:
                    self._append(step)

    def _wake(self, request: str, step: Step) -> None:
        woken = self._waiting_by_request.pop(request, None)
        if woken is not None:
            woken(step)

    def _append(self, step: Step) -> None:
        share = WHOLE_PERMILLE // len(self.domain_by_host)
        witnesses = self.holder.announcements.witnesses
        for entry in records_of(step, witnesses, share):
            self._submit(entry)

    def _submit(self, entry: Entry) -> None:
        self._queue.append(entry)
        if not self._appending:
            self._appending = True
            self.world.after(WINDOW_SECONDS, lambda: self.enter(self._append_queue))

    def _append_queue(self) -> None:
        entries, self._queue = self._queue, []
        seen = self.shared.fold.time
        self._append_batch(records.encode_batch(self.incarnation, entries, seen))

    def _append_batch(self, data: bytes) -> None:
        """Append until the log answers; the fold ignores a second record."""
        self.bytes += len(data)

        def answered(accepted: bool) -> None:
            self.enter(lambda: self._appended(data, accepted))

        self.shared.append(self.host, data, answered)

    def _appended(self, data: bytes, accepted: bool) -> None:
        if not accepted:
            seconds = self.world.random.uniform(0, RETRY_SECONDS)
            self.world.after(
                seconds, lambda: self.enter(lambda: self._append_batch(data))
            )
            return
        self._appending = False
        if self._queue:
            self._appending = True
            self._append_queue()

    def _send(self, host: str, message: Message) -> None:
        target = self.nodes_by_host[host]
        self.bytes += frame_bytes(message)
        self.network.send(
            self.host, host, lambda: target.enter(lambda: target.take(message))
        )

    def take(self, message: Message) -> None:
        """Take a call-back or its answer."""
        if isinstance(message, CallBack):
            self.run(self.holder.call_back(message, self.now))
        elif isinstance(message, Given):
            self.run(self.holder.handle_given(message, self.now))

    def _ask(
        self, host: str, message: Message, answered: Callable[[Message | None], None]
    ) -> None:
        """Ask a peer; ``answered`` gets None after the timeout."""
        target = self.nodes_by_host[host]
        self.bytes += frame_bytes(message)
        open_question = [True]

        def close(answer: Message | None) -> None:
            if open_question[0]:
                open_question[0] = False
                answered(answer)

        def arrive() -> None:
            answer = target.answer(message)
            target.bytes += frame_bytes(answer)
            self.network.send(
                host, self.host, lambda: self.enter(lambda: close(answer))
            )

        self.network.send(self.host, host, lambda: target.enter(arrive))
        self.world.after(ANSWER_SECONDS, lambda: self.enter(lambda: close(None)))

    def answer(self, message: Message) -> Message:
        """Answer as a witness."""
        if isinstance(message, Announce):
            return Acked(self.witness.announce(message, self.now))
        if isinstance(message, FenceAsk):
            return self.witness.answer(message)
        assert isinstance(message, Beat)
        if self.incarnation not in message.witnesses:
            return Standing(self.incarnation, False)
        alive = self.witness.beat(message.holder, message.witnesses, self.now)
        return Standing(self.incarnation, not alive)

    def _tell(self, step: SendAnnouncement) -> None:
        def answered(answer: Message | None) -> None:
            accepted = isinstance(answer, Acked) and answer.accepted
            note = self.holder.acked if accepted else self.holder.failed
            self.run(note(step, self.now))

        self._ask(host_of(step.message.witness), step.message, answered)

    def _beat_all(self) -> None:
        holder = self.holder.allotment.holder
        for host in self.holder.witness_set.hosts_to_probe(self.now):
            self._beat(host, holder)

    def _beat(self, host: str, holder: str) -> None:
        def answered(answer: Message | None) -> None:
            if isinstance(answer, Standing):
                self.run(
                    self.holder.record_standing(
                        host, answer.incarnation, answer.fenced, self.now
                    )
                )

        beat = Beat(holder, witnesses=self.holder.announcements.witnesses)
        self._ask(host, beat, answered)

    def _watch(self) -> None:
        for action in self.witness.tick(self.now, self.log_reachable):
            self._carry_out(action)

    def _carry_out(self, action: WitnessAction) -> None:
        if not isinstance(action, AskFence):
            for _, entry in entries_of(action, self.incarnation):
                self._submit(entry)
            return

        def answered(answer: Message | None) -> None:
            if isinstance(answer, Fenced):
                for closing in self.witness.fenced(answer, self.now):
                    self._carry_out(closing)

        self._ask(host_of(action.message.witness), action.message, answered)

    def _tick(self) -> None:
        self.run(self.holder.tick(self.now))

    def _every(self, seconds: float, action: Action) -> None:
        """Run a task of this node again and again; a paused one waits."""

        def again() -> None:
            action()
            self.world.after(seconds, lambda: self.enter(again))

        first = self.world.random.uniform(0, seconds)
        self.world.after(first, lambda: self.enter(again))

    def _op(self) -> str:
        self._ops += 1
        return f"{self.host}-{self._ops}"


def frame_bytes(message: Message) -> int:
    """Return the size of a message on the wire, websocket header included."""
    return len(codec.encode(Frame(1, False, Stamp(1_700_000_000_000, 1), message))) + 8
