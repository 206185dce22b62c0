"""Simulated daemons that write the ledger through partition owners.

Outboxes, choice of owners and append rate limits are the daemon's own code, on a
virtual clock. Each partition has one fold for all daemons, since all daemons that
read the same records get the same effects. The effects go to every daemon that
reaches the log.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from bench.simulation import LOG_DELAY_SECONDS, Network, SimulatedLog, World
from godwitrudder.platform.log import LogUnavailable
from godwitrudder.process.ledger import BATCH_WINDOW_SECONDS, OFFER_WINDOW_SECONDS
from godwitrudder.process.outbox import AppendRateLimiter, Outbox, Outgoing
from godwitrudder.process.owners import OFFER_TIMEOUT_SECONDS
from godwitrudder.process.partition import stream_of
from godwitrudder.version import records
from godwitrudder.version.fold import Effect, LedgerFold
from godwitrudder.version.ownership import OwnerChoice
from godwitrudder.version.records import Entry

AnswerCallback = Callable[[bool], None]
EffectListener = Callable[[int, Effect], None]


class LedgerNode:
    """One simulated daemon with an outbox for each partition.

    Attributes
    ----------
    paused : bool
        While set, the daemon sends nothing and ignores offers.
    hosts : tuple of str
        Hosts that this daemon believes to be live.
    """

    def __init__(self, name: str, fleet: LedgerFleet) -> None:
        self.name = name
        self.paused = False
        self.hosts = fleet.names
        self._fleet = fleet
        self._world = fleet.world
        self._choice = OwnerChoice(name)
        self._rate_limiter = AppendRateLimiter()
        self._due_by_partition: dict[int, float] = {}
        self._callbacks_by_partition: dict[int, list[AnswerCallback]] = {}
        self.outboxes: dict[int, Outbox] = {}

    def submit(self, partition: int, entry: Entry, seen: float | None = None) -> None:
        """Queue a record for the log."""
        outbox = self.outboxes.setdefault(partition, Outbox(self._world.random))
        outbox.put(entry, seen)
        self._schedule(partition)

    def accept_offer(
        self, partition: int, outgoing: Outgoing, on_answer: AnswerCallback
    ) -> None:
        """Queue a batch that another daemon offered; a paused daemon ignores it."""
        if self.paused:
            return
        self._callbacks_by_partition.setdefault(partition, []).append(on_answer)
        for entry in outgoing.entries:
            self.submit(partition, entry, outgoing.seen)

    def apply_effects(self, partition: int, effects: list[Effect]) -> None:
        """Apply effects that were read back from the log."""
        for effect in effects:
            self.outboxes[partition].apply_effect(effect)

    def _owner(self, partition: int) -> str | None:
        if self._callbacks_by_partition.get(partition):
            return None
        return self._choice.choose(partition, self.hosts, self._world.clock.now())

    def _schedule(self, partition: int) -> None:
        due = self.outboxes[partition].due_at()
        if due is None:
            return
        owner = self._owner(partition)
        now = self._world.clock.now()
        when = max(due, now) + (
            BATCH_WINDOW_SECONDS if owner is None else OFFER_WINDOW_SECONDS
        )
        if self._due_by_partition.get(partition, math.inf) <= when:
            return
        self._due_by_partition[partition] = when
        self._world.after(
            when - now, lambda: self._append_when_allowed(partition, owner, when)
        )

    def _append_when_allowed(
        self, partition: int, owner: str | None, when: float
    ) -> None:
        """Append when the rate limiter allows it, or offer the batch at once."""
        if self._due_by_partition.get(partition) != when:
            return
        wait = 0.0
        if owner is None:
            share = self._choice.owned_share(self._fleet.partitions, self.hosts)
            share = max(share, 1.0 / len(self.hosts))
            wait = self._rate_limiter.acquire(self._world.clock.now(), share)
        self._world.after(wait, lambda: self._append_next(partition, owner))

    def _append_next(self, partition: int, owner: str | None) -> None:
        self._due_by_partition.pop(partition, None)
        if self.paused:
            self._world.after(1.0, lambda: self._schedule(partition))
            return
        fold = self._fleet.folds[partition]
        outbox = self.outboxes[partition]
        outgoing = outbox.next_append(self._world.clock.now(), fold.time, fold.is_stale)
        if outgoing is None:
            self._schedule(partition)
            return
        callbacks = self._callbacks_by_partition.pop(partition, [])

        def on_answer(accepted: bool) -> None:
            outbox.record_answer(accepted, self._world.clock.now())
            for callback in callbacks:
                callback(accepted)
            self._schedule(partition)

        if owner is None or outgoing.foreign:
            self._fleet.append(self.name, partition, outgoing, on_answer)
        else:
            self._send_offer(owner, partition, outgoing, on_answer)

    def _send_offer(
        self, owner: str, partition: int, outgoing: Outgoing, on_answer: AnswerCallback
    ) -> None:
        """Offer a batch to its owner; the answer or the timeout ends the call."""
        fleet, done = self._fleet, [False]

        def finish(accepted: bool) -> None:
            if not done[0]:
                done[0] = True
                if not accepted:
                    self._choice.report_failure(owner, self._world.clock.now())
                on_answer(accepted)

        def reply(accepted: bool) -> None:
            fleet.network.send(owner, self.name, lambda: finish(accepted))

        target = fleet.nodes[owner]
        fleet.network.send(
            self.name, owner, lambda: target.accept_offer(partition, outgoing, reply)
        )
        self._world.after(OFFER_TIMEOUT_SECONDS, lambda: finish(False))


class LedgerFleet:
    """Simulated daemons, the log, and the fold of each partition.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    daemons, partitions : int
        Number of each.
    delay : float
        One-way network delay in seconds.
    """

    def __init__(
        self, seed: int, daemons: int, partitions: int, delay: float = 0.0005
    ) -> None:
        self.world = World(seed)
        self.network = Network(self.world, delay)
        self.log = SimulatedLog(self.world, self.network)
        self.partitions = partitions
        self.folds = [LedgerFold() for _ in range(partitions)]
        self.names = tuple(f"d{number:03d}" for number in range(daemons))
        self.nodes = {name: LedgerNode(name, self) for name in self.names}
        self.listeners: list[EffectListener] = []

    def append(
        self, writer: str, partition: int, outgoing: Outgoing, on_answer: AnswerCallback
    ) -> None:
        """Append a batch; its effects go to the daemons a few log delays later."""
        data = records.encode_batch(writer, list(outgoing.entries), outgoing.seen)

        def on_result(result: int | LogUnavailable) -> None:
            on_answer(not isinstance(result, LogUnavailable))

        self.log.append(writer, stream_of(partition), data, on_result)
        self.world.after(3 * LOG_DELAY_SECONDS, lambda: self._read_log(partition))

    def _read_log(self, partition: int) -> None:
        fold = self.folds[partition]
        stored = self.log.records_by_stream[stream_of(partition)]
        for record in stored[fold.next_offset :]:
            effects = fold.apply(record.offset, record.time, record.data)
            for node in self.nodes.values():
                if partition in node.outboxes and not node.paused:
                    if self.network.connected(node.name, SimulatedLog.NODE):
                        node.apply_effects(partition, effects)
            for effect in effects:
                for listener in self.listeners:
                    listener(partition, effect)
