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
    Given,
    Standing,
)
from godwitrudder.connection.frames import Frame, Message
from godwitrudder.platform.log import LogUnavailable
from godwitrudder.process.witness import entries_of
from godwitrudder.request import events
from godwitrudder.request.allotment import Allotment
from godwitrudder.request.announcement import Tell
from godwitrudder.request.events import Refuse, Serve
from godwitrudder.request.holder import Go, Holder, Send, Step, records_of
from godwitrudder.request.sizing import WHOLE_PERMILLE, Sizing, View
from godwitrudder.request.witness import Witness, candidates
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

    def view(self, budget: str) -> View | None:
        """Return the state of a budget."""
        state = self.fold.budgets_by_id.get(budget)
        if state is None:
            return None
        holdings = state.holdings_by_incarnation.items()
        remaining = {holder: holding.remaining for holder, holding in holdings}
        return View(state.paid, state.billed, state.free, remaining)

    def _count(self, effect: Effect) -> None:
        if effect.violation:
            self.violations += 1
