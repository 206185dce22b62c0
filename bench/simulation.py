"""Discrete-event simulation for tests and benches: virtual clock, network and log.

Tests and benches call the decision modules directly. The network delays and loses
the messages between them at random from a seed, and can disconnect any pair of nodes.
Nothing else of hosts and networks is modelled.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from godwitrudder.clock import VirtualClock
from godwitrudder.platform.log import LogRecord, LogUnavailable

# Mean one-way delay between a node and the log; each delay is 0.5 to 1.5 times this.
LOG_DELAY_SECONDS: Final = 0.005
APPEND_TIMEOUT_SECONDS: Final = 5.0

Action = Callable[[], None]


class World:
    """Event loop of a simulation: runs actions in the order of a virtual clock.

    Parameters
    ----------
    seed : int
        Seed of every random choice in the run.
    """

    def __init__(self, seed: int) -> None:
        self.clock = VirtualClock()
        self.random = Random(seed)
        self._actions: list[tuple[float, int, Action]] = []
        self._sequence = 0

    def after(self, seconds: float, action: Action) -> None:
        """Run ``action`` after ``seconds``."""
        self._sequence += 1
        when = self.clock.now() + seconds
        heapq.heappush(self._actions, (when, self._sequence, action))

    def every(self, seconds: float, action: Action) -> None:
        """Run ``action`` periodically, first after one period of ``seconds``."""

        def again() -> None:
            action()
            self.after(seconds, again)

        self.after(seconds, again)

    def run(self, until: float) -> None:
        """Run all actions that are due up to the virtual second ``until``."""
        while self._actions and self._actions[0][0] <= until:
            when, _, action = heapq.heappop(self._actions)
            self.clock.seconds = when
            action()
        self.clock.seconds = until


class Network:
    """Network between named nodes, with delay, loss and disconnected pairs.

    Parameters
    ----------
    delay : float
        Shortest one-way delay in seconds; each message takes 1 to 1.5 times this.
    loss : float
        Fraction of the messages that are lost.

    Attributes
    ----------
    sent_messages : int
        Number of messages sent, including those that are not delivered.
    """

    def __init__(self, world: World, delay: float = 0.0005, loss: float = 0.0) -> None:
        self._world = world
        self.delay = delay
        self.loss = loss
        self.sent_messages = 0
        self._disconnected_pairs: set[tuple[str, str]] = set()

    def send(self, source: str, destination: str, deliver: Action) -> None:
        """Run ``deliver`` after the delay, unless the message is lost.

        It is also lost if the nodes are disconnected when it would arrive.
        """
        self.sent_messages += 1
        if self._world.random.random() < self.loss:
            return
        seconds = self.delay * self._world.random.uniform(1.0, 1.5)

        def arrive() -> None:
            if self.connected(source, destination):
                deliver()

        self._world.after(seconds, arrive)

    def connected(self, source: str, destination: str) -> bool:
        """Whether messages from ``source`` reach ``destination``."""
        return (source, destination) not in self._disconnected_pairs

    def disconnect(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Disconnect every pair between the two sides, in both directions."""
        rights = list(right)
        for source in left:
            self._disconnected_pairs.update(
                (source, destination) for destination in rights
            )
            self._disconnected_pairs.update(
                (destination, source) for destination in rights
            )

    def heal(self) -> None:
        """Reconnect all pairs."""
        self._disconnected_pairs.clear()


class SimulatedLog:
    """An append-only log on the virtual clock.

    Attributes
    ----------
    down : bool
        While set, appends time out and reads return no records.
    lost_answers : float
        Fraction of the appends that take effect but are not answered.
    appends : int
        Number of appends that took effect.
    """

    NODE: Final = "log"

    def __init__(self, world: World, network: Network) -> None:
        self._world = world
        self._network = network
        self.records_by_stream: dict[str, list[LogRecord]] = defaultdict(list)
        self.down = False
        self.lost_answers = 0.0
        self.appends = 0

    def append(
        self,
        writer: str,
        stream: str,
        data: bytes,
        on_answer: Callable[[int | LogUnavailable], None],
    ) -> None:
        """Append, then call ``on_answer`` with the offset of the record.

        If the log is out of reach or the answer is lost, ``on_answer`` gets
        ``LogUnavailable`` after ``APPEND_TIMEOUT_SECONDS``.
        """
        if not self._reachable(writer):
            self._answer_timeout(on_answer)
            return

        def arrive() -> None:
            records = self.records_by_stream[stream]
            offset = len(records)
            records.append(LogRecord(offset, self._world.clock.now(), data))
            self.appends += 1
            if self._world.random.random() < self.lost_answers:
                self._answer_timeout(on_answer)
                return
            self._world.after(self._delay(), lambda: on_answer(offset))

        self._world.after(self._delay(), arrive)

    def read(self, reader: str, stream: str, offset: int) -> list[LogRecord]:
        """Return the records from ``offset`` on; none if the log is out of reach."""
        if not self._reachable(reader):
            return []
        return self.records_by_stream[stream][offset:]

    def _reachable(self, node: str) -> bool:
        return not self.down and self._network.connected(node, self.NODE)

    def _answer_timeout(
        self, on_answer: Callable[[int | LogUnavailable], None]
    ) -> None:
        self._world.after(
            APPEND_TIMEOUT_SECONDS, lambda: on_answer(LogUnavailable("timeout"))
        )

    def _delay(self) -> float:
        return LOG_DELAY_SECONDS * self._world.random.uniform(0.5, 1.5)
