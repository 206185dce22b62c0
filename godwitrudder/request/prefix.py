"""Which runner has a prompt's prefix cached: hints, never truth.

Prefixes are cut at multiples of ``BLOCK_BYTES`` of the prompt and named by their
hash, as the engines' events name them.  The index remembers where prompts were
sent and what events said, forgets the least recently used, and trusts old entries
less.  Where it knows nothing, the prompt's first blocks pick a runner by
rendezvous hashing, so that routers agree without a message.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from typing import Final

import xxhash

BLOCK_BYTES: Final = 64
BLOCKS_MOST: Final = 64
HOME_BLOCKS: Final = 2
HOME_MATCH: Final = 0.3
ENTRIES_MOST: Final = 20_000
HALF_LIFE_SECONDS: Final = 120.0


def prefix_names(prompt: str) -> list[int]:
    """Return the names of a prompt's prefixes, shortest first."""
    data = prompt.encode()
    state = xxhash.xxh64()
    names = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(data[start : start + BLOCK_BYTES])
        names.append(state.intdigest())
        if len(names) == BLOCKS_MOST:
            break
    return names


class PrefixIndex:
    """Prefixes and the runners that probably have them, in bounded memory."""

    def __init__(self, entries_most: int = ENTRIES_MOST) -> None:
        self._entries_most = entries_most
        self._seen: OrderedDict[tuple[int, str], float] = OrderedDict()
        self._runners_by_name: dict[int, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._seen)

    def stored(self, runner: str, names: Collection[int], now: float) -> None:
        """Note that a runner has prefixes."""
        for name in names:
            self._seen[(name, runner)] = now
            self._seen.move_to_end((name, runner))
            self._runners_by_name.setdefault(name, set()).add(runner)
        while len(self._seen) > self._entries_most:
            self._remove(*next(iter(self._seen)))

    def evicted(self, runner: str, name: int) -> None:
        """Note that a runner lost a prefix."""
        if (name, runner) in self._seen:
            self._remove(name, runner)

    def matches(
        self, names: list[int], runners: Collection[str], now: float
    ) -> dict[str, float]:
        """Return the share of a prompt that each runner probably has."""
        shares: dict[str, float] = {}
        for length in range(len(names), 0, -1):
            name = names[length - 1]
            for runner in self._runners_by_name.get(name, ()):
                if runner not in shares:
                    age = now - self._seen[(name, runner)]
                    trust = 0.5 ** (age / HALF_LIFE_SECONDS)
                    shares[runner] = trust * length / len(names)
        if names and not shares and runners:
            shares[_home(names, runners)] = HOME_MATCH
        return shares

    def _remove(self, name: int, runner: str) -> None:
        del self._seen[(name, runner)]
        runners = self._runners_by_name[name]
        runners.discard(runner)
        if not runners:
            del self._runners_by_name[name]


def _home(names: list[int], runners: Collection[str]) -> str:
    first = names[min(HOME_BLOCKS, len(names)) - 1]
    return max(
        runners, key=lambda runner: xxhash.xxh64_intdigest(runner.encode(), first)
    )
