"""Index of the runners that probably have a prompt prefix cached.

The index may be wrong, so its answers only affect the choice of a runner. Prefixes end
at multiples of ``BLOCK_BYTES`` of the prompt and are named by their hash, as in the
engines' cache events. The index records where prompts were sent and what the events
report. It drops the least recently used entries and gives old ones less weight. For an
unknown prompt, rendezvous hashing of its first blocks picks a runner, so that routers
agree without exchanging messages.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from typing import Final

import xxhash

BLOCK_BYTES: Final = 64
# Blocks of a prompt that are hashed.
MAX_BLOCKS: Final = 64
# Leading blocks whose hash picks the home runner of an unknown prompt.
HOME_BLOCKS: Final = 2
# Share of an unknown prompt that counts as cached at its home runner.
HOME_MATCH: Final = 0.3
MAX_ENTRIES: Final = 20_000
# Age at which an entry has half its weight.
HALF_LIFE_SECONDS: Final = 120.0


def prefix_names(prompt: str) -> list[int]:
    """Return the names of a prompt's prefixes, which are hashes; shortest first."""
    data = prompt.encode()
    state = xxhash.xxh64()
    names = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(data[start : start + BLOCK_BYTES])
        names.append(state.intdigest())
        if len(names) == MAX_BLOCKS:
            break
    return names


class PrefixIndex:
    """Prefixes and the runners that probably have them cached, in bounded memory."""

    def __init__(self, entries_most: int = MAX_ENTRIES) -> None:
        self._entries_most = entries_most
        self._stored_at: OrderedDict[tuple[int, str], float] = OrderedDict()
        self._runners_by_name: dict[int, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._stored_at)

    def record_stored(self, runner: str, names: Collection[int], now: float) -> None:
        """Record that a runner has, or soon will have, prefixes cached."""
        for name in names:
            self._stored_at[(name, runner)] = now
            self._stored_at.move_to_end((name, runner))
            self._runners_by_name.setdefault(name, set()).add(runner)
        while len(self._stored_at) > self._entries_most:
            self._remove(*next(iter(self._stored_at)))

    def record_evicted(self, runner: str, name: int) -> None:
        """Record that a runner has evicted a prefix."""
        if (name, runner) in self._stored_at:
            self._remove(name, runner)

    def matches(
        self, names: list[int], runners: Collection[str], now: float
    ) -> dict[str, float]:
        """Return the share of a prompt, 0 to 1, that each runner probably has cached.

        If no runner is known to have a prefix, only the home runner is returned, with
        ``HOME_MATCH``.
        """
        shares: dict[str, float] = {}
        for length in range(len(names), 0, -1):
            name = names[length - 1]
            for runner in self._runners_by_name.get(name, ()):
                if runner not in shares:
                    age = now - self._stored_at[(name, runner)]
                    weight = 0.5 ** (age / HALF_LIFE_SECONDS)
                    shares[runner] = weight * length / len(names)
        if names and not shares and runners:
            shares[_home_runner(names, runners)] = HOME_MATCH
        return shares

    def _remove(self, name: int, runner: str) -> None:
        del self._stored_at[(name, runner)]
        runners = self._runners_by_name[name]
        runners.discard(runner)
        if not runners:
            del self._runners_by_name[name]


def _home_runner(names: list[int], runners: Collection[str]) -> str:
    first = names[min(HOME_BLOCKS, len(names)) - 1]
    return max(
        runners, key=lambda runner: xxhash.xxh64_intdigest(runner.encode(), first)
    )
