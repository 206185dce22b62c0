"""Continuous batching: one step makes a token for each stream in the batch.

The more streams in the batch, the longer a step, so that the token rate of one
stream falls with load.  Lower priority numbers enter the batch first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import gevent
import xxhash
from gevent.event import Event

from standins.faults import Faults

WORDS: Final = (
    "net",
    "pot",
    "buoy",
    "line",
    "float",
    "tag",
    "hull",
    "tide",
    "reef",
    "crab",
)
LOAD_STREAMS: Final = 16
PREFILL_SHARE: Final = 0.1


def word(prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``."""
    digest = xxhash.xxh64_intdigest(f"{index}:{prompt}".encode())
    return WORDS[digest % len(WORDS)] + " "


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the whole answer has."""
    wanted = 8 + xxhash.xxh64_intdigest(prompt.encode()) % 24
    return min(wanted, max_tokens)


def count_tokens(text: str) -> int:
    """Return the tokens of a text: its words."""
    return len(text.split())


@dataclass(slots=True)
class Stream:
    """One running or finished answer.

    Attributes
    ----------
    start, length : int
        Index of the first token made here, and of the end.
    made : int
        Tokens made here.
    """

    prompt: str
    start: int
    length: int
    priority: float = 0.0
    prefill_steps: int = 0
    made: int = 0
    cancelled: bool = False
    grown: Event = field(default_factory=Event)

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.cancelled or self.start + self.made >= self.length

    def step(self) -> None:
        """Prefill, or make one token, and wake the readers."""
        if self.prefill_steps > 0:
            self.prefill_steps -= 1
            return
        self.made += 1
        self.wake()

    def cancel(self) -> None:
        """End the answer where it stands."""
        self.cancelled = True
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        self.grown.set()
        self.grown = Event()


class Batch:
    """The streams of one engine, in the order of their priority.

    Parameters
    ----------
    slots : int
        Most streams in the batch.
    step_seconds : float
        Of a step with one stream.
    """

    def __init__(self, slots: int, step_seconds: float, faults: Faults) -> None:
        self._slots = slots
        self._step_seconds = step_seconds
        self._faults = faults
        self._streams: list[Stream] = []
        self._wanted = Event()

    @property
    def running(self) -> int:
        """Streams in the batch."""
        return min(len(self._streams), self._slots)

    @property
    def waiting(self) -> int:
        """Streams that wait for a place."""
        return max(0, len(self._streams) - self._slots)

    def add(self, stream: Stream) -> None:
        """Queue a stream behind those of its priority."""
        self._streams.append(stream)
        self._streams.sort(key=lambda queued: queued.priority)
        self._wanted.set()

    def run(self) -> None:
        """Make tokens for ever; the body of a greenlet."""
        while True:
            self._wanted.wait()
            self._faults.hold()
            gevent.sleep(self._seconds())
            for stream in self._streams[: self._slots]:
                if not stream.ended:
                    stream.step()
            self._streams = [s for s in self._streams if not s.ended]
            if not self._streams:
                self._wanted.clear()

    def _seconds(self) -> float:
        load = 1.0 + self.running / LOAD_STREAMS
        return self._step_seconds * load * self._faults.switches.slow
