"""The ledger: a deterministic fold over one partition of the log.

All daemons that read the same records compute the same state, so the log is the
only authority.  A record that breaks a rule is void on every daemon, with a reason.
At every offset ``billed + open <= paid`` holds for every budget.  Old state is
dropped by the log's time, never by a local clock, so that all daemons drop the same.
"""

from __future__ import annotations

from collections.abc import Iterator

from godwitrudder.codec import Malformed
from godwitrudder.version import records
from godwitrudder.version.accounts import (
    Applied,
    Budget,
    ClaimState,
    Effect,
    Holder,
    Holding,
    Void,
    Voided,
)
from godwitrudder.version.claims import ClaimFold
from godwitrudder.version.escrow import Escrow
from godwitrudder.version.records import Entry
from godwitrudder.version.replay import REPLAY_WINDOW_SECONDS, ReplayIndex, key_of

__all__ = [
    "REPLAY_WINDOW_SECONDS",
    "Applied",
    "Budget",
    "ClaimState",
    "Effect",
    "Holder",
    "Holding",
    "LedgerFold",
    "Void",
    "Voided",
]


class LedgerFold:
    """State of one partition after all records below ``next_offset``.

    Attributes
    ----------
    time : float
        Highest log time of any applied record, in seconds since the epoch.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.time = 0.0
        self.applied = ReplayIndex()
        self.escrow = Escrow(self.applied)
        self.claims = ClaimFold()

    @property
    def budgets_by_id(self) -> dict[str, Budget]:
        """Budgets of the partition, by identifier."""
        return self.escrow.budgets_by_id

    @property
    def claims_by_request(self) -> dict[str, ClaimState]:
        """Claims within the replay window; ``claim_of`` also covers older ones."""
        return self.claims.claims_by_request

    def claim_of(self, request: str) -> ClaimState | None:
        """Return the state of a request's claim; None if it has no claim."""
        return self.claims.get(request)

    def apply(self, offset: int, time: float, data: bytes) -> list[Effect]:
        """Apply one log record.

        Parameters
        ----------
        offset : int
            Offset of the record; a record that was already applied is skipped.
        time : float
            Time of the append on the log's clock, in seconds since the epoch.
        data : bytes
            An encoded batch.

        Returns
        -------
        list of Effect
            One per entry, in order; one in all if the batch is malformed, none if
            it was skipped.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        self.time = max(self.time, time)
        self.applied.drop_expired(self.time)
        self.claims.drop_expired(self.time)
        return list(self._apply_batch(data))

    def is_stale(self, seen: float) -> bool:
        """Whether a batch is stale, given the log time that its writer had seen."""
        return seen < self.applied.dropped_until

    def _apply_batch(self, data: bytes) -> Iterator[Effect]:
        batch = records.decode_batch(data)
        if isinstance(batch, Malformed):
            yield Voided(batch, Void.MALFORMED)
            return
        stale = self.is_stale(batch.seen)
        for plain in batch.entries:
            entry = records.decode_entry(plain)
            if isinstance(entry, Malformed):
                yield Voided(entry, Void.MALFORMED)
            elif stale:
                yield Voided(entry, Void.STALE)
            else:
                yield self._apply_entry(entry)

    def _apply_entry(self, entry: Entry) -> Effect:
        key = operation_key(entry)
        if key is None:
            return self._dispatch(entry)
        if key in self.applied:
            return Voided(entry, Void.REPEATED)
        effect = self._dispatch(entry)
        if isinstance(effect, Applied):
            self.applied.add(key, self.time)
        return effect

    def _dispatch(self, entry: Entry) -> Effect:
        match entry:
            case records.Base():
                return self.escrow.base(entry)
            case records.TopUp():
                return self.escrow.top_up(entry)
            case records.Grant():
                return self.escrow.grant(entry)
            case records.Bill():
                return self.escrow.bill(entry)
            case records.Return():
                return self.escrow.return_tokens(entry)
            case records.Witnesses():
                return self.escrow.witnesses(entry)
            case records.Handover():
                return self.escrow.handover(entry)
            case records.Closing():
                return self.escrow.closing(entry)
            case records.Claim():
                return self.claims.apply_claim(self.time, entry)
            case records.Result():
                return self.claims.apply_result(entry)


def operation_key(entry: Entry) -> int | None:
    """Return the hash of an entry's operation, by which repetitions are detected.

    None for entries whose repetition shows in the state itself: a base by its
    document offset, a claim or a result by the first one of the request.
    """
    match entry:
        case records.Base() | records.Claim() | records.Result():
            return None
        case records.Bill():
            return key_of("bill", entry.request)
        case _:
            kind = str(type(entry).__struct_config__.tag)
            return key_of(kind, entry.op)
