"""A prompt-prefix cache in limited memory, with late and gappy events.

Prefixes are cut at multiples of ``BLOCK_BYTES`` of the prompt, so that a router
can name them without the engine's tokens.
"""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Final

import xxhash

from standins.faults import Faults

BLOCK_BYTES: Final = 64
EVENTS_KEPT: Final = 4096


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored or evicted."""

    number: int
    at: float
    kind: str
    prefix: str


class PrefixCache:
    """Least recently used prefixes.

    Parameters
    ----------
    blocks : int
        Most prefixes kept.
    """

    def __init__(self, blocks: int, faults: Faults) -> None:
        self._blocks = blocks
        self._faults = faults
        self._used: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._number = 0
        self.hits = 0
        self.lookups = 0

    def take(self, prompt: str) -> float:
        """Look up and store a prompt; return the share that was cached."""
        names = prefixes(prompt)
        cached = 0
        for name in names:
            if name in self._used:
                cached += 1
                self._used.move_to_end(name)
            else:
                self._store(name)
        self.lookups += len(names)
        self.hits += cached
        return cached / len(names) if names else 0.0

    def events(self, start: int) -> dict[str, object]:
        """Return the published events from number ``start`` on."""
        shown = time.monotonic() - self._faults.switches.lag_seconds
        events = [e for e in self._events if e.number >= start and e.at <= shown]
        following = events[-1].number + 1 if events else start
        rows = [{"kind": event.kind, "prefix": event.prefix} for event in events]
        return {"next": following, "events": rows}

    def _store(self, name: str) -> None:
        self._used[name] = None
        self._publish("stored", name)
        if len(self._used) > self._blocks:
            evicted, _ = self._used.popitem(last=False)
            self._publish("evicted", evicted)

    def _publish(self, kind: str, prefix: str) -> None:
        self._number += 1
        if not self._faults.hit(self._faults.switches.event_gaps):
            event = CacheEvent(self._number, time.monotonic(), kind, prefix)
            self._events.append(event)


def prefixes(prompt: str) -> list[str]:
    """Return the names of a prompt's prefixes, shortest first."""
    data = prompt.encode()
    stops = range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES)
    return [xxhash.xxh64_hexdigest(data[:stop]) for stop in stops]
