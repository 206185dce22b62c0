"""Selects the next append: batching, back-off, lost answers and the rate limit.

A record is pending until its effect is read back.  An append whose answer was lost
is repeated with the same operation ids and the same seen log time, without the
records read back meanwhile, so the fold ignores copies that are already applied.
Once the fold no longer remembers that log time, it ignores all earlier copies and
the record gets a new log time.  This module does no I/O.
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

MAX_BATCH_ENTRIES: Final = 500
FIRST_BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 2.0
# Wait for the read-back of an accepted append before it is repeated.
READ_BACK_SECONDS: Final = 5.0
MAX_REPEATABLE: Final = 10_000
MAX_PENDING: Final = 100_000
FLEET_APPENDS_PER_SECOND: Final = 180.0
# Seconds of the allowed rate that may be appended at once.
BURST_SECONDS: Final = 0.5

# Records that their writer creates again if they are dropped.
REPEATABLE: Final = (records.Base, records.Grant, records.Claim)


class AppendRateLimiter:
    """A token bucket for this daemon's share of the fleet's append rate.

    Parameters
    ----------
    per_second : float
        Append rate of the whole fleet, in appends per second.
    """

    def __init__(self, per_second: float = FLEET_APPENDS_PER_SECOND) -> None:
        self._fleet_per_second = per_second
        self._tokens = 1.0
        self._refilled_at = 0.0

    def acquire(self, now: float, share: float) -> float:
        """Reserve one append and return the seconds to wait before it.

        Parameters
        ----------
        now : float
            Clock reading in seconds.
        share : float
            This daemon's share of the fleet's append rate, above 0 and up to 1.
        """
        rate = self._fleet_per_second * share
        burst = max(1.0, rate * BURST_SECONDS)
        self._tokens = min(burst, self._tokens + (now - self._refilled_at) * rate) - 1.0
        self._refilled_at = now
        return max(0.0, -self._tokens / rate)


@dataclass(slots=True)
class Pending:
    """State of a record whose effect is not yet read back.

    Attributes
    ----------
    seen : float or None
        Log time in seconds that the writer had seen at the first append attempt.
    due : float
        Clock reading in seconds at which to append it (again).
    foreign : bool
        Whether another daemon offered it.  Only that daemon may give it a new
        ``seen`` time.
    """

    seen: float | None = None
    due: float = 0.0
    foreign: bool = False


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One batch to append.

    Attributes
    ----------
    seen : float
        Seen log time of the batch, in seconds.
    foreign : bool
        Whether another daemon offered any of its records.
    """

    entries: tuple[Entry, ...]
    seen: float
    foreign: bool = False


class Outbox:
    """Records of one partition that are queued or not yet read back."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._backoff = FIRST_BACKOFF_SECONDS
        self._retry_at = 0.0
        self._sending: Outgoing | None = None
        self.pending_by_entry: dict[Entry, Pending] = {}

    def put(self, entry: Entry, seen: float | None = None) -> bool:
        """Queue a record; return False if the outbox is full.

        Records that their writer can create again have the lower limit
        ``MAX_REPEATABLE``.  Bills are bounded by the holder's grants, so they stay
        within ``MAX_PENDING``.

        Parameters
        ----------
        entry : Entry
            The record.
        seen : float or None
            For a record of another daemon, the log time that its writer had seen.
        """
        limit = MAX_REPEATABLE if isinstance(entry, REPEATABLE) else MAX_PENDING
        if len(self.pending_by_entry) >= limit:
            return False
        foreign = seen is not None
        item = self.pending_by_entry.setdefault(entry, Pending(seen, foreign=foreign))
        item.foreign = item.foreign and foreign
        return True

    def due_at(self) -> float | None:
        """Return the clock reading of the next append, or None without records."""
        if not self.pending_by_entry:
            return None
        first = min(item.due for item in self.pending_by_entry.values())
        return max(first, self._retry_at)

    def next_append(
        self, now: float, log_time: float, is_stale: Callable[[float], bool]
    ) -> Outgoing | None:
        """Return the next append, or None if none is due or one is in progress.

        The oldest records come first.

        Parameters
        ----------
        now : float
            Clock reading in seconds.
        log_time : float
            Log time that this daemon has seen, in seconds.
        is_stale : callable
            Whether the fold no longer remembers a log time.
        """
        if self._sending is not None or now < self._retry_at:
            return None
        self._drop_stale(is_stale)
        entries = tuple(islice(self._due_entries(now), MAX_BATCH_ENTRIES))
        if not entries:
            return None
        seen = min(self._seen_time_of(entry, log_time, is_stale) for entry in entries)
        foreign = any(self.pending_by_entry[entry].foreign for entry in entries)
        self._sending = Outgoing(entries, seen, foreign)
        return self._sending

    def record_answer(self, accepted: bool, now: float) -> None:
        """Record whether the log accepted the append in progress.

        An append without an answer counts as not accepted.
        """
        assert self._sending is not None
        if accepted:
            self._backoff = FIRST_BACKOFF_SECONDS
            due = now + READ_BACK_SECONDS
        else:
            due = self._retry_at = now + self._random.uniform(0, self._backoff)
            self._backoff = min(self._backoff * 2, MAX_BACKOFF_SECONDS)
        for entry in self._sending.entries:
            if entry in self.pending_by_entry:
                self.pending_by_entry[entry].due = due
        self._sending = None

    def is_read_back(self, outgoing: Outgoing) -> bool:
        """Whether the effects of all records of an append are read back."""
        return not any(entry in self.pending_by_entry for entry in outgoing.entries)

    def apply_effect(self, effect: Effect) -> None:
        """Handle an effect that was read back; a stale record is appended again."""
        if not isinstance(effect.entry, Entry):
            return
        if isinstance(effect, Voided) and effect.reason is Void.STALE:
            pending = self.pending_by_entry.get(effect.entry)
            if pending is not None and not pending.foreign:
                pending.seen = None
                pending.due = 0.0
            return
        self.pending_by_entry.pop(effect.entry, None)

    def drop_unknown(self, is_stale: Callable[[float], bool]) -> list[Entry]:
        """Remove and return the own records that may be applied in skipped records.

        This daemon has not read their effect and can no longer learn it.
        """
        lost = [
            entry
            for entry, item in self.pending_by_entry.items()
            if item.seen is not None and is_stale(item.seen) and not item.foreign
        ]
        for entry in lost:
            del self.pending_by_entry[entry]
        return lost

    def _drop_stale(self, is_stale: Callable[[float], bool]) -> None:
        """Drop foreign records whose seen log time the fold no longer remembers.

        They may already be applied, and the fold would not recognize them.
        """
        for entry, item in list(self.pending_by_entry.items()):
            if item.foreign and item.seen is not None and is_stale(item.seen):
                del self.pending_by_entry[entry]

    def _due_entries(self, now: float) -> Iterator[Entry]:
        for entry, item in self.pending_by_entry.items():
            if item.due <= now:
                yield entry

    def _seen_time_of(
        self, entry: Entry, log_time: float, is_stale: Callable[[float], bool]
    ) -> float:
        pending = self.pending_by_entry[entry]
        if pending.seen is None or is_stale(pending.seen):
            pending.seen = log_time
        return pending.seen
