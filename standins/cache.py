"""A bounded LRU cache of prompt prefixes that publishes its changes as events.

Fault switches delay events and drop some of them.  Prefixes end at multiples of
``BLOCK_BYTES`` of the prompt, so that a router can compute their hashes without the
engine's tokenizer.
"""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Final

import xxhash

from standins.faults import FaultInjector

BLOCK_BYTES: Final = 64
MAX_EVENTS: Final = 4096


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """The cache stored or evicted a prefix.

    Attributes
    ----------
    number : int
        Sequence number; a gap shows that an event was dropped.
    published_at : float
        Monotonic time in seconds.
    kind : str
        ``stored`` or ``evicted``.
    prefix : str
        Hash of the prefix.
    """

    number: int
    published_at: float
    kind: str
    prefix: str


class PrefixCache:
    """Prompt prefixes; evicts the least recently used one.

    Parameters
    ----------
    blocks : int
        Maximum number of prefixes.
    faults : FaultInjector
        Delays and drops events.
    """

    def __init__(self, blocks: int, faults: FaultInjector) -> None:
        self._blocks = blocks
        self._faults = faults
        self._lru: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0
        self.hits = 0
        self.lookups = 0

    def lookup_and_store(self, prompt: str) -> float:
        """Look up and store a prompt; return the fraction that was cached."""
        names = prefix_hashes(prompt)
        cached = 0
        for name in names:
            if name in self._lru:
                cached += 1
                self._lru.move_to_end(name)
            else:
                self._store(name)
        self.lookups += len(names)
        self.hits += cached
        return cached / len(names) if names else 0.0

    def events(self, start: int) -> dict[str, object]:
        """Return the visible events from number ``start`` on, as a JSON object."""
        visible_until = time.monotonic() - self._faults.switches.lag_seconds
        events = [
            e
            for e in self._events
            if e.number >= start and e.published_at <= visible_until
        ]
        next_number = events[-1].number + 1 if events else start
        rows = [{"kind": event.kind, "prefix": event.prefix} for event in events]
        return {"next": next_number, "events": rows}

    def _store(self, name: str) -> None:
        self._lru[name] = None
        self._publish("stored", name)
        if len(self._lru) > self._blocks:
            evicted, _ = self._lru.popitem(last=False)
            self._publish("evicted", evicted)

    def _publish(self, kind: str, prefix: str) -> None:
        self._last_number += 1
        if not self._faults.should_fail(self._faults.switches.event_gaps):
            event = CacheEvent(self._last_number, time.monotonic(), kind, prefix)
            self._events.append(event)


def prefix_hashes(prompt: str) -> list[str]:
    """Return the hashes of a prompt's prefixes, shortest prefix first."""
    data = prompt.encode()
    ends = range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES)
    return [xxhash.xxh64_hexdigest(data[:end]) for end in ends]
