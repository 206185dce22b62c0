"""Simulated routers of the budget benches: holder, witness and log writer.

Every node runs the daemon's own decision modules on a virtual clock. The log is
folded once for all nodes; a node that can't reach the log continues with the state
that it read last.
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
BATCH_WINDOW_SECONDS: Final = 0.02
MAX_RETRY_DELAY_SECONDS: Final = 1.0
READ_INTERVAL_SECONDS: Final = 0.5
READ_DELAY_SECONDS: Final = 0.003
TICK_INTERVAL_SECONDS: Final = 0.25
HEARTBEAT_INTERVAL_SECONDS: Final = 1.0
PEER_TIMEOUT_SECONDS: Final = 1.0


@dataclass(slots=True)
class SharedLog:
    """The log and its fold, shared by all nodes.

    Attributes
    ----------
    effects_by_offset : list of list of Effect
        Effects of each record; the index is the record's offset.
    nodes : list of Node
        Nodes that are told to read when the log grows.
    bill_count_by_request : dict
        Number of bills that the fold applied, by request.
    violations : int
        Effects that break an invariant of the ledger.
    bytes_appended : int
        Bytes of all appends by nodes, retries included.
    """

    world: World
    log: SimulatedLog
    fold: LedgerFold = field(default_factory=LedgerFold)
    effects_by_offset: list[list[Effect]] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    bill_count_by_request: dict[str, int] = field(default_factory=dict)
    violations: int = 0
    bytes_appended: int = 0

    def append(
        self, writer: str, data: bytes, on_answer: Callable[[bool], None]
    ) -> None:
        """Append a batch; ``on_answer`` gets whether the log confirmed it."""
        self.bytes_appended += len(data)

        def on_result(result: int | LogUnavailable) -> None:
            on_answer(not isinstance(result, LogUnavailable))

        self.log.append(writer, STREAM, data, on_result)
        # 0.01 s is longer than an append takes to reach the log, at most 0.0075 s.
        self.world.after(0.01, self.fold_new_records)

    def fold_new_records(self) -> None:
        """Fold the new records and have every node read them."""
        stored = self.log.records_by_stream[STREAM]
        if len(stored) == len(self.effects_by_offset):
            return
        for record in stored[len(self.effects_by_offset) :]:
            effects = self.fold.apply(record.offset, record.time, record.data)
            self.effects_by_offset.append(effects)
            for effect in effects:
                self._record_effect(effect)
        for node in self.nodes:
            self.world.after(READ_DELAY_SECONDS, node.read_log)

    def append_as_operator(self, entry: Entry) -> None:
        """Append as an operator, whom network faults do not affect.

        The record is lost if the log is down.
        """
        data = records.encode_batch("operator", [entry], self.fold.time)
        self.log.append("operator", STREAM, data, lambda result: None)
        self.world.after(0.01, self.fold_new_records)

    def totals(self, budget: str) -> BudgetTotals | None:
        """Return the totals of a budget; None if the fold doesn't know it."""
        state = self.fold.budgets_by_id.get(budget)
        if state is None:
            return None
        holdings = state.holdings_by_incarnation.items()
        remaining = {holder: holding.remaining for holder, holding in holdings}
        return BudgetTotals(state.paid, state.billed, state.free, remaining)

    def _record_effect(self, effect: Effect) -> None:
        if effect.violation:
            self.violations += 1
        if isinstance(effect, Applied) and isinstance(effect.entry, records.Bill):
            request = effect.entry.request
            self.bill_count_by_request[request] = (
                self.bill_count_by_request.get(request, 0) + 1
            )


class Node:
    """One simulated router.

    Parameters
    ----------
    world, network, shared_log
        Virtual clock, network and log of the fleet.
    host : str
        Name of this router.
    domain_by_host : dict
        Failure domain of every router of the fleet.
    endurance : float
        The budgets' ``endurance`` setting (see ``BudgetModel``), from 0 to 1.
    witnessed : bool
        False for the baseline without call-backs and witnesses.
    """

    def __init__(
        self,
        world: World,
        network: Network,
        shared_log: SharedLog,
        host: str,
        domain_by_host: dict[str, str],
        endurance: float,
        witnessed: bool = True,
    ) -> None:
        self.world = world
        self.network = network
        self.shared_log = shared_log
        self.host = host
        self.incarnation = f"{host}/1"
        self.domain_by_host = domain_by_host
        self.witnessed = witnessed
        self.dead = False
        self.bytes_sent = 0
        self.nodes_by_host: dict[str, Node] = {}
        self._deferred: list[Action] | None = None
        self._next_index = 0
        self._last_totals: dict[str, BudgetTotals | None] = {}
        self._queue: list[Entry] = []
        self._appending = False
        self._operations = 0
        self._callback_by_request: dict[str, Callable[[Step], None]] = {}
        sizing = DrawSizing(endurance, len(domain_by_host))
        allocator = GrantAllocator(
            self.incarnation,
            self.totals,
            lambda _: sizing,
            lambda: [name for name in domain_by_host if name != host],
            self._next_operation,
        )
        self.holder = Holder(allocator, self._next_operation)
        self.witness = Witness(self.incarnation)
        if witnessed:
            order = candidates(host, domain_by_host[host], domain_by_host)
            self.holder.witness_set.set_candidate_hosts(
                order, domain_by_host, domain_by_host[host]
            )
            self._every(HEARTBEAT_INTERVAL_SECONDS, self._send_heartbeats)
            self._every(HEARTBEAT_INTERVAL_SECONDS, self._tick_witness)
        self._every(TICK_INTERVAL_SECONDS, self._tick_holder)
        self._every(READ_INTERVAL_SECONDS, self.read_log)

    def execute(self, action: Action) -> None:
        """Run ``action`` now, or after a pause; a dead router drops it."""
        if self.dead:
            return
        if self._deferred is not None:
            self._deferred.append(action)
            return
        action()

    def pause(self) -> None:
        """Defer all actions, as SIGSTOP does."""
        self._deferred = []

    def resume(self) -> None:
        """End the pause and run the actions that were deferred."""
        waiting, self._deferred = self._deferred or [], None
        for action in waiting:
            self.execute(action)

    def reserve(
        self,
        request: str,
        budget: str,
        tokens: int,
        deadline: float,
        on_step: Callable[[Step], None],
    ) -> None:
        """Reserve tokens; ``on_step`` gets ``Serve`` or ``Refuse``."""
        self._callback_by_request[request] = on_step
        wanted = events.Wanted(request, budget, tokens, deadline)
        self.apply_steps(self.holder.handle(wanted, self.now))

    def announce(
        self, request: str, deadline: float, on_step: Callable[[Step], None]
    ) -> None:
        """Announce a dispatch; ``on_step`` gets ``DispatchAllowed`` or ``Refuse``."""
        self._callback_by_request[request] = on_step
        self.apply_steps(
            self.holder.announce(request, "runner", "attempt", deadline, self.now)
        )

    def end(self, request: str, used_tokens: int) -> None:
        """End a request; ``used_tokens`` is 0 if it was not served."""
        self.apply_steps(self.holder.ended(request, used_tokens, self.now))

    def top_up(self, budget: str, tokens: int) -> None:
        """Do nothing: the node reads the top-up from the log."""

    def totals(self, budget: str) -> BudgetTotals | None:
        """Return the totals of a budget as this node read them last."""
        if self.log_reachable:
            self._last_totals[budget] = self.shared_log.totals(budget)
        return self._last_totals.get(budget)

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.world.clock.now()

    @property
    def log_reachable(self) -> bool:
        """Whether this node can reach the log."""
        log = self.shared_log.log
        return not log.down and self.network.connected(self.host, log.NODE)

    def read_log(self) -> None:
        """Read the new records of the log, unless it is out of reach."""
        if self.dead or self._deferred is not None or not self.log_reachable:
            return
        known = self.shared_log.effects_by_offset
        while self._next_index < len(known):
            effects = known[self._next_index]
            self._next_index += 1
            for effect in effects:
                self._apply_effect(effect)

    def _apply_effect(self, effect: Effect) -> None:
        entry = effect.entry
        if isinstance(effect, Applied) and isinstance(entry, records.Bill):
            self.witness.billed(entry.request)
        self.apply_steps(self.holder.apply_effect(effect, self.now))

    def apply_steps(self, steps: list[Step]) -> None:
        """Apply the holder's steps in order."""
        for step in steps:
            match step:
                case Serve():
                    self._report_step(step.reservation.request, step)
                case DispatchAllowed() | Refuse():
                    self._report_step(step.request, step)
                case SendAnnouncement():
                    self._send_announcement(step)
                case Send():
                    if self.witnessed:
                        self._send(host_of(step.target), step.message)
                case _:
                    self._submit_records(step)

    def _report_step(self, request: str, step: Step) -> None:
        on_step = self._callback_by_request.pop(request, None)
        if on_step is not None:
            on_step(step)

    def _submit_records(self, step: Step) -> None:
        share_permille = WHOLE_PERMILLE // len(self.domain_by_host)
        witnesses = self.holder.announcements.witnesses
        for entry in records_of(step, witnesses, share_permille):
            self._submit(entry)

    def _submit(self, entry: Entry) -> None:
        self._queue.append(entry)
        if not self._appending:
            self._appending = True
            self.world.after(
                BATCH_WINDOW_SECONDS, lambda: self.execute(self._append_queue)
            )

    def _append_queue(self) -> None:
        entries, self._queue = self._queue, []
        seen_log_time = self.shared_log.fold.time
        self._append_batch(
            records.encode_batch(self.incarnation, entries, seen_log_time)
        )

    def _append_batch(self, data: bytes) -> None:
        """Append until the log confirms; the fold ignores a repeated record."""
        self.bytes_sent += len(data)

        def on_answer(accepted: bool) -> None:
            self.execute(lambda: self._finish_append(data, accepted))

        self.shared_log.append(self.host, data, on_answer)

    def _finish_append(self, data: bytes, accepted: bool) -> None:
        if not accepted:
            delay_seconds = self.world.random.uniform(0, MAX_RETRY_DELAY_SECONDS)
            self.world.after(
                delay_seconds, lambda: self.execute(lambda: self._append_batch(data))
            )
            return
        self._appending = False
        if self._queue:
            self._appending = True
            self._append_queue()

    def _send(self, host: str, message: Message) -> None:
        peer = self.nodes_by_host[host]
        self.bytes_sent += frame_bytes(message)
        self.network.send(
            self.host, host, lambda: peer.execute(lambda: peer.receive(message))
        )

    def receive(self, message: Message) -> None:
        """Receive a call-back or its answer."""
        if isinstance(message, CallBack):
            self.apply_steps(self.holder.call_back(message, self.now))
        elif isinstance(message, Given):
            self.apply_steps(self.holder.handle_given(message, self.now))

    def _ask(
        self, host: str, message: Message, on_answer: Callable[[Message | None], None]
    ) -> None:
        """Ask a peer; ``on_answer`` gets None after ``PEER_TIMEOUT_SECONDS``."""
        peer = self.nodes_by_host[host]
        self.bytes_sent += frame_bytes(message)
        pending = [True]

        def finish(answer: Message | None) -> None:
            if pending[0]:
                pending[0] = False
                on_answer(answer)

        def arrive() -> None:
            answer = peer.answer(message)
            peer.bytes_sent += frame_bytes(answer)
            self.network.send(
                host, self.host, lambda: self.execute(lambda: finish(answer))
            )

        self.network.send(self.host, host, lambda: peer.execute(arrive))
        self.world.after(
            PEER_TIMEOUT_SECONDS, lambda: self.execute(lambda: finish(None))
        )

    def answer(self, message: Message) -> Message:
        """Answer as a witness."""
        if isinstance(message, Announce):
            return Acked(self.witness.announce(message, self.now))
        if isinstance(message, FenceAsk):
            return self.witness.answer(message)
        assert isinstance(message, Beat)
        if self.incarnation not in message.witnesses:
            return Standing(self.incarnation, False)
        accepted = self.witness.beat(message.holder, message.witnesses, self.now)
        return Standing(self.incarnation, not accepted)

    def _send_announcement(self, step: SendAnnouncement) -> None:
        def on_answer(answer: Message | None) -> None:
            accepted = isinstance(answer, Acked) and answer.accepted
            record = self.holder.acked if accepted else self.holder.failed
            self.apply_steps(record(step, self.now))

        self._ask(host_of(step.message.witness), step.message, on_answer)

    def _send_heartbeats(self) -> None:
        holder_id = self.holder.allocator.holder
        for host in self.holder.witness_set.hosts_to_probe(self.now):
            self._send_heartbeat(host, holder_id)

    def _send_heartbeat(self, host: str, holder_id: str) -> None:
        def on_answer(answer: Message | None) -> None:
            if isinstance(answer, Standing):
                self.apply_steps(
                    self.holder.record_standing(
                        host, answer.incarnation, answer.fenced, self.now
                    )
                )

        beat = Beat(holder_id, witnesses=self.holder.announcements.witnesses)
        self._ask(host, beat, on_answer)

    def _tick_witness(self) -> None:
        for action in self.witness.tick(self.now, self.log_reachable):
            self._apply_witness_action(action)

    def _apply_witness_action(self, action: WitnessAction) -> None:
        if not isinstance(action, AskFence):
            for _, entry in entries_of(action, self.incarnation):
                self._submit(entry)
            return

        def on_answer(answer: Message | None) -> None:
            if isinstance(answer, Fenced):
                for closing in self.witness.fenced(answer, self.now):
                    self._apply_witness_action(closing)

        self._ask(host_of(action.message.witness), action.message, on_answer)

    def _tick_holder(self) -> None:
        self.apply_steps(self.holder.tick(self.now))

    def _every(self, seconds: float, action: Action) -> None:
        """Run a task periodically, from a random phase; a pause defers it."""

        def again() -> None:
            action()
            self.world.after(seconds, lambda: self.execute(again))

        first = self.world.random.uniform(0, seconds)
        self.world.after(first, lambda: self.execute(again))

    def _next_operation(self) -> str:
        self._operations += 1
        return f"{self.host}-{self._operations}"


def frame_bytes(message: Message) -> int:
    """Return the bytes of a message on the wire, websocket header included."""
    # A frame with typical field values, and 8 bytes for the websocket header.
    return len(codec.encode(Frame(1, False, Stamp(1_700_000_000_000, 1), message))) + 8
