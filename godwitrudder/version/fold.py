"""The ledger: a deterministic fold over one partition of the log.

Every daemon that reads the same records reaches the same state, so the log is
the only authority.  A record that breaks a rule is void for everyone and names
its reason.  At every offset ``billed + open <= paid`` holds for every budget.
Memory is bounded by the log's own time, never by a local clock.
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
    """State of one partition after the records up to ``next_offset``.

    Attributes
    ----------
    time : float
        Highest log time among the records, in seconds since the epoch.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.time = 0.0
        self.applied = ReplayIndex()
        self.escrow = Escrow(self.applied)
        self.claims = ClaimFold()

    @property
    def budgets_by_id(self) -> dict[str, Budget]:
        """Budgets of the partition."""
        return self.escrow.budgets_by_id

    @property
    def claims_by_request(self) -> dict[str, ClaimState]:
        """Claims whose details are still kept; ``claim_of`` knows older ones."""
        return self.claims.claims_by_request

    def claim_of(self, request: str) -> ClaimState | None:
        """Return what is known of a claim; None where there is none."""
        return self.claims.get(request)

    def apply(self, offset: int, time: float, data: bytes) -> list[Effect]:
        """Apply one log record.

        Parameters
        ----------
        offset : int
            Offset of the record; one that was applied before is skipped.
        time : float
            The log's own time of the append, in seconds since the epoch.
        data : bytes
            An encoded batch.

        Returns
        -------
        list of Effect
            One per entry, in order.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        self.time = max(self.time, time)
        self.applied.forget(self.time)
        self.claims.forget(self.time)
        return list(self._effects(data))

    def is_stale(self, seen: float) -> bool:
        """Whether a batch that saw this log time is void as stale."""
        return seen < self.applied.forgotten_until

    def _effects(self, data: bytes) -> Iterator[Effect]:
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
                return self.escrow.give_back(entry)
            case records.Witnesses():
                return self.escrow.witnesses(entry)
            case records.Handover():
                return self.escrow.handover(entry)
            case records.Closing():
                return self.escrow.closing(entry)
            case records.Claim():
                return self.claims.claim(self.time, entry)
            case records.Result():
                return self.claims.result(entry)


def operation_key(entry: Entry) -> int | None:
    """Return the hash under which a repeated record is void.

    None for records whose own state tells a repetition: the offset of a base,
    the first claim and result of a request.
    """
    match entry:
        case records.Base() | records.Claim() | records.Result():
            return None
        case records.Bill():
            return key_of("bill", entry.request)
        case _:
            kind = str(type(entry).__struct_config__.tag)
            return key_of(kind, entry.op)
