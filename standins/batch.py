"""Continuous batching: each step generates one token per stream of the batch.

A step takes longer the more streams the batch has, so the token rate of a stream
falls with the load.  Streams with lower priority numbers enter the batch first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import gevent
import xxhash
from gevent.event import Event

from standins.faults import FaultInjector

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
# A step with this many running streams takes twice the base duration.
STREAMS_PER_DOUBLING: Final = 16
# Steps per uncached prompt token before the first token of the answer.
PREFILL_STEPS_PER_TOKEN: Final = 0.1


def token_text(prompt: str, index: int) -> str:
    """Return the text of token ``index`` of the answer to ``prompt``."""
    digest = xxhash.xxh64_intdigest(f"{index}:{prompt}".encode())
    return WORDS[digest % len(WORDS)] + " "


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens of the complete answer."""
    unlimited = 8 + xxhash.xxh64_intdigest(prompt.encode()) % 24
    return min(unlimited, max_tokens)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text; each word is one token."""
    return len(text.split())


@dataclass(slots=True)
class Stream:
    """One queued, running or finished answer.

    Attributes
    ----------
    start, length : int
        Index of the first token that this engine generates, and index after the
        last token.
    priority : float
        Lower numbers enter the batch first.
    prefill_steps : int
        Steps that remain before the first token.
    generated_tokens : int
        Number of tokens that this engine has generated.
    progressed : Event
        Set, and replaced by a new event, after each token and at cancellation.
    """

    prompt: str
    start: int
    length: int
    priority: float = 0.0
    prefill_steps: int = 0
    generated_tokens: int = 0
    cancelled: bool = False
    progressed: Event = field(default_factory=Event)

    @property
    def ended(self) -> bool:
        """Whether the stream generates no more tokens."""
        return self.cancelled or self.start + self.generated_tokens >= self.length

    def step(self) -> None:
        """Do one prefill step, or generate one token and notify the readers."""
        if self.prefill_steps > 0:
            self.prefill_steps -= 1
            return
        self.generated_tokens += 1
        self.notify_readers()

    def cancel(self) -> None:
        """End the answer after the tokens that are generated already."""
        self.cancelled = True
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake the greenlets that wait for more tokens."""
        self.progressed.set()
        self.progressed = Event()


class Batch:
    """The streams of one engine, ordered by priority.

    Parameters
    ----------
    slots : int
        Maximum number of streams in the batch.
    step_seconds : float
        Base duration of a step; the load lengthens it.
    faults : FaultInjector
        Slows steps down, or stops them while the engine is silent.
    """

    def __init__(self, slots: int, step_seconds: float, faults: FaultInjector) -> None:
        self._slots = slots
        self._step_seconds = step_seconds
        self._faults = faults
        self._streams: list[Stream] = []
        self._has_streams = Event()

    @property
    def running(self) -> int:
        """Number of streams in the batch."""
        return min(len(self._streams), self._slots)

    @property
    def waiting(self) -> int:
        """Number of streams that wait for a slot."""
        return max(0, len(self._streams) - self._slots)

    def add(self, stream: Stream) -> None:
        """Queue a stream behind the others of the same priority."""
        self._streams.append(stream)
        self._streams.sort(key=lambda queued: queued.priority)
        self._has_streams.set()

    def run(self) -> None:
        """Run steps forever; the body of a greenlet."""
        while True:
            self._has_streams.wait()
            self._faults.wait_while_silent()
            gevent.sleep(self._loaded_step_seconds())
            for stream in self._streams[: self._slots]:
                if not stream.ended:
                    stream.step()
            self._streams = [s for s in self._streams if not s.ended]
            if not self._streams:
                self._has_streams.clear()

    def _loaded_step_seconds(self) -> float:
        load_factor = 1.0 + self.running / STREAMS_PER_DOUBLING
        return self._step_seconds * load_factor * self._faults.switches.slow
