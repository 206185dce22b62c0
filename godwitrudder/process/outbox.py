"""What to append next: batches, back-off, lost answers and the rate cap.

A record is pending until its effect was read back.  An append whose answer was
lost is repeated under the same operation ids and the same seen log time, less
what has been read meanwhile, so the fold ignores what stands already.  Once the
fold no longer remembers that time, no earlier copy can count any more and the
record gets a new one.  Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import islice
from random import Random
from typing import Final

from godwitrudder.version import records
from godwitrudder.version.accounts import Effect, Void, Voided
from godwitrudder.version.records import Entry

BATCH_ENTRIES: Final = 500
BACKOFF_FIRST_SECONDS: Final = 0.05
BACKOFF_MOST_SECONDS: Final = 2.0
READ_BACK_SECONDS: Final = 5.0
MAX_ASKS: Final = 10_000
MAX_PENDING: Final = 100_000
FLEET_APPENDS_PER_SECOND: Final = 180.0
BURST_SECONDS: Final = 0.5

# Records that their writer makes anew when they are dropped.
ASKS: Final = (records.Base, records.Grant, records.Claim)


class AppendRateLimiter:
    """A token bucket: this daemon's part of the fleet's appends.

    Parameters
    ----------
    per_second : float
        Appends of the whole fleet.
    """

    def __init__(self, per_second: float = FLEET_APPENDS_PER_SECOND) -> None:
        self._fleet_per_second = per_second
        self._left = 1.0
        self._at = 0.0

    def acquire(self, now: float, share: float) -> float:
        """Take one append; return the seconds to wait before it.

        Parameters
        ----------
        now : float
            Clock reading in seconds.
        share : float
            Share of the fleet's appends that is this daemon's.
        """
        rate = self._fleet_per_second * share
        burst = max(1.0, rate * BURST_SECONDS)
        self._left = min(burst, self._left + (now - self._at) * rate) - 1.0
        self._at = now
        return max(0.0, -self._left / rate)


@dataclass(slots=True)
class Pending:
    """A record without effect so far.

    Attributes
    ----------
    seen : float or None
        Log time seen at the first attempt to append it.
    due : float
        Clock reading at which to append it (again).
    foreign : bool
        Whether another daemon offered it; that daemon alone may stamp it anew.
    """

    seen: float | None = None
    due: float = 0.0
    foreign: bool = False


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One append to make.

    Attributes
    ----------
    seen : float
        Log time for the batch.
    foreign : bool
        Whether another daemon offered some of it.
    """

    entries: tuple[Entry, ...]
    seen: float
    foreign: bool = False


class Outbox:
    """Records of one partition on their way to the log."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._backoff = BACKOFF_FIRST_SECONDS
        self._resume = 0.0
        self._sending: Outgoing | None = None
        self.pending_by_entry: dict[Entry, Pending] = {}

    def put(self, entry: Entry, seen: float | None = None) -> bool:
        """Take a record; False where the outbox is full.

        What its writer can make anew is refused first.  Bills are bounded by the
        grants that a holder has, so they stay within ``MAX_PENDING``.

        Parameters
        ----------
        seen : float or None
            For the record of another daemon: the log time that it had seen.
        """
        most = MAX_ASKS if isinstance(entry, ASKS) else MAX_PENDING
        if len(self.pending_by_entry) >= most:
            return False
        foreign = seen is not None
        item = self.pending_by_entry.setdefault(entry, Pending(seen, foreign=foreign))
        item.foreign = item.foreign and foreign
        return True

    def due_at(self) -> float | None:
        """Return the clock reading of the next append; None for no record."""
        if not self.pending_by_entry:
            return None
        first = min(item.due for item in self.pending_by_entry.values())
        return max(first, self._resume)

    def next_append(
        self, now: float, stamp: float, outdated: Callable[[float], bool]
    ) -> Outgoing | None:
        """Return the next append, oldest records first; one at a time.

        Parameters
        ----------
        stamp : float
            Log time that this daemon has seen.
        outdated : callable
            Whether the fold no longer remembers a log time.
        """
        if self._sending is not None or now < self._resume:
            return None
        self._drop_outdated(outdated)
        entries = tuple(islice(self._due(now), BATCH_ENTRIES))
        if not entries:
            return None
        seen = min(self._stamp(entry, stamp, outdated) for entry in entries)
        foreign = any(self.pending_by_entry[entry].foreign for entry in entries)
        self._sending = Outgoing(entries, seen, foreign)
        return self._sending

    def record_answer(self, accepted: bool, now: float) -> None:
        """Note the answer to the append under way, or that none came."""
        assert self._sending is not None
        if accepted:
            self._backoff = BACKOFF_FIRST_SECONDS
            due = now + READ_BACK_SECONDS
        else:
            due = self._resume = now + self._random.uniform(0, self._backoff)
            self._backoff = min(self._backoff * 2, BACKOFF_MOST_SECONDS)
        for entry in self._sending.entries:
            if entry in self.pending_by_entry:
                self.pending_by_entry[entry].due = due
        self._sending = None

    def settled(self, outgoing: Outgoing) -> bool:
        """Whether the effect of every record of an append was read back."""
        return not any(entry in self.pending_by_entry for entry in outgoing.entries)

    def apply_effect(self, effect: Effect) -> None:
        """Note an effect that was read back; a stale record goes out again."""
        if not isinstance(effect.entry, Entry):
            return
        if isinstance(effect, Voided) and effect.reason is Void.STALE:
            pending = self.pending_by_entry.get(effect.entry)
            if pending is not None and not pending.foreign:
                pending.seen = None
                pending.due = 0.0
            return
        self.pending_by_entry.pop(effect.entry, None)

    def jumped(self, outdated: Callable[[float], bool]) -> list[Entry]:
        """Give up what nobody can tell any more after records were skipped."""
        lost = [
            entry
            for entry, item in self.pending_by_entry.items()
            if item.seen is not None and outdated(item.seen) and not item.foreign
        ]
        for entry in lost:
            del self.pending_by_entry[entry]
        return lost

    def _drop_outdated(self, outdated: Callable[[float], bool]) -> None:
        """Drop foreign records that may have counted before memory begins."""
        for entry, item in list(self.pending_by_entry.items()):
            if item.foreign and item.seen is not None and outdated(item.seen):
                del self.pending_by_entry[entry]

    def _due(self, now: float) -> Iterator[Entry]:
        for entry, item in self.pending_by_entry.items():
            if item.due <= now:
                yield entry

    def _stamp(
        self, entry: Entry, stamp: float, outdated: Callable[[float], bool]
    ) -> float:
        pending = self.pending_by_entry[entry]
        if pending.seen is None or outdated(pending.seen):
            pending.seen = stamp
        return pending.seen
