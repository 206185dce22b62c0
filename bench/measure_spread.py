"""Spread of the configuration in a large fleet, on the virtual clock.

Of 350 daemons, half or all but three can't reach the log and learn edits from their
peers. Each daemon is the product's fold and catch-up; timers and numbers of peers
are those of ``ConfigSync``.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterator
from typing import Final

from bench.report import Row
from bench.simulation import Action, Network, World
from godwitrudder import codec
from godwitrudder.connection.queries import ConfigAnswer, ConfigAsk
from godwitrudder.process.config_sync import (
    GOSSIP_FANOUT,
    LOG_WAIT_SECONDS,
    POLL_INTERVAL_SECONDS,
)
from godwitrudder.version import catchup
from godwitrudder.version.catchup import CatchUp
from godwitrudder.version.config_fold import ConfigFold, Result
from godwitrudder.version.config_records import Change, Edit

DAEMONS: Final = 350
EDITS: Final = 20
EDIT_GAP_SECONDS: Final = 10.0
# Mean time until a daemon reads an edit; each takes 0.5 to 1.5 times this.
LOG_DELAY_SECONDS: Final = 0.02
DELAY_SECONDS: Final = 0.0015
LOSS: Final = 0.02
IN_FORCE_SECONDS: Final = 7.0


def rows() -> Iterator[Row]:
    """Yield all rows."""
    for name, cut_off in (("half", DAEMONS // 2), ("all but 3", DAEMONS - 3)):
        fleet = LargeFleet(cut_off)
        fleet.run()
        title = f"config in force on 350 daemons, {name} cut off from the log"
        late = sum(s > IN_FORCE_SECONDS for s in fleet.seconds)
        missing = DAEMONS * EDITS - len(fleet.seconds)
        p50 = statistics.median(fleet.seconds)
        yield Row(f"{title}, p50", p50, "s", IN_FORCE_SECONDS)
        yield Row(f"{title}, max", max(fleet.seconds), "s", IN_FORCE_SECONDS)
        yield Row(f"{title}, late or never", late + missing, "", 0)
        sent = fleet.network.sent_messages / DAEMONS / (EDITS * EDIT_GAP_SECONDS)
        yield Row(f"{title}, frames per daemon", sent, "1/s")


class Node:
    """One simulated daemon: its fold and its exchange with peers."""

    def __init__(self, fleet: LargeFleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.fold = ConfigFold()
        self.catch_up = CatchUp(self.fold)
        self._version = -1
        start = fleet.world.random.uniform(0, POLL_INTERVAL_SECONDS)
        fleet.world.after(start, self.ask_random_peer)

    def record_results(self, results: list[Result]) -> None:
        """Record the edits that are in force now, and announce them to some peers."""
        if not results:
            return
        for offset in range(self._version + 1, self.fold.document.version + 1):
            self.fleet.record_in_force(offset)
        self._version = self.fold.document.version
        for peer in self.fleet.world.random.sample(self.fleet.nodes, GOSSIP_FANOUT):
            self.fleet.network.send(
                self.name, peer.name, self._version_announcement(peer)
            )

    def _version_announcement(self, peer: Node) -> Action:
        have = self.fold.next_offset

        def arrive() -> None:
            def ask_if_behind() -> None:
                if peer.fold.next_offset < have:
                    peer.ask(self)

            self.fleet.world.after(LOG_WAIT_SECONDS, ask_if_behind)

        return arrive

    def ask_random_peer(self) -> None:
        """Ask a random peer, and again after about ``POLL_INTERVAL_SECONDS``."""
        self.ask(self.fleet.world.random.choice(self.fleet.nodes))
        pause = POLL_INTERVAL_SECONDS * self.fleet.world.random.uniform(0.5, 1.5)
        self.fleet.world.after(pause, self.ask_random_peer)

    def ask(self, peer: Node) -> None:
        """Ask a peer for the records that this daemon lacks."""
        question = self.catch_up.ask()
        network = self.fleet.network
        network.send(self.name, peer.name, lambda: peer.answer(self, question))

    def answer(self, asker: Node, question: ConfigAsk) -> None:
        """Send a peer the records that it lacks."""
        given: ConfigAnswer = catchup.answer(self.fold, question)

        def arrive() -> None:
            asker.record_results(asker.catch_up.apply_answer(given))

        self.fleet.network.send(self.name, asker.name, arrive)


class LargeFleet:
    """Simulated daemons, of which some read the log.

    Parameters
    ----------
    cut_off : int
        Number of daemons that can't reach the log.
    """

    def __init__(self, cut_off: int) -> None:
        self.world = World(5)
        self.network = Network(self.world, DELAY_SECONDS, LOSS)
        self.nodes: list[Node] = []
        self.nodes = [Node(self, f"router-{number}") for number in range(DAEMONS)]
        self.readers = self.nodes[cut_off:]
        self.seconds: list[float] = []
        self._published_at: list[float] = []

    def run(self) -> None:
        """Publish edits, far enough apart that their spreads don't overlap."""
        for number in range(EDITS):
            self.world.run(number * EDIT_GAP_SECONDS)
            self._publish(number)
        self.world.run(EDITS * EDIT_GAP_SECONDS)

    def record_in_force(self, offset: int) -> None:
        """Record that one daemon has the edit at ``offset`` in force."""
        self.seconds.append(self.world.clock.now() - self._published_at[offset])

    def _publish(self, number: int) -> None:
        text = f"{{}} // {number}"
        edit = Edit(f"op-{number}", "bench", (Change("turns", number - 1, text),))
        data = codec.encode(edit)
        self._published_at.append(self.world.clock.now())
        for node in self.readers:
            seconds = LOG_DELAY_SECONDS * self.world.random.uniform(0.5, 1.5)
            self.world.after(seconds, self._reader(node, number, data))

    def _reader(self, node: Node, offset: int, data: bytes) -> Action:
        def read() -> None:
            node.record_results(node.fold.apply(offset, 0.0, data))

        return read
