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
# Number of events kept; older ones are lost to a reader that polls too late.
MAX_EVENTS: Final = 4096


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """The cache stored or evicted a prefix.

    Attributes
    ----------
    number : int
        Sequence number.  It is not sent, so readers can't see the gap that a dropped
        event leaves.
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
    """LRU cache of the hashes of prompt prefixes, with a log of its changes.

    Parameters
    ----------
    max_prefixes : int
        Maximum number of prefixes; above it the least recently used one is evicted.
    faults : FaultInjector
        Delays and drops events.

    Attributes
    ----------
    prefix_hits, prefix_lookups : int
        Number of prefixes found in the cache, and of prefixes looked up.
    """

    def __init__(self, max_prefixes: int, faults: FaultInjector) -> None:
        self._max_prefixes = max_prefixes
        self._faults = faults
        self._lru: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0
        self.prefix_hits = 0
        self.prefix_lookups = 0

    def lookup_and_store(self, prompt: str) -> float:
        """Look up and store a prompt; return the fraction that was cached."""
        hashes = prefix_hashes(prompt)
        cached = 0
        for prefix_hash in hashes:
            if prefix_hash in self._lru:
                cached += 1
                self._lru.move_to_end(prefix_hash)
            else:
                self._store(prefix_hash)
        self.prefix_lookups += len(hashes)
        self.prefix_hits += cached
        return cached / len(hashes) if hashes else 0.0

    def events(self, start: int) -> dict[str, object]:
        """Return the events from number ``start`` on, as a JSON object.

        Events younger than the injected ``lag_seconds`` are left out.
        """
        visible_until = time.monotonic() - self._faults.switches.lag_seconds
        events = [
            e
            for e in self._events
            if e.number >= start and e.published_at <= visible_until
        ]
        next_number = events[-1].number + 1 if events else start
        rows = [{"kind": event.kind, "prefix": event.prefix} for event in events]
        return {"next": next_number, "events": rows}

    def _store(self, prefix_hash: str) -> None:
        self._lru[prefix_hash] = None
        self._publish("stored", prefix_hash)
        if len(self._lru) > self._max_prefixes:
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
