"""Messages that carry ledger records to partition owners and between daemons."""

from __future__ import annotations

import msgspec

from godwitrudder.platform.log import LogRecord


class Offer(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Request to the owner of a partition to append a batch along with its own.

    Attributes
    ----------
    data : bytes
        Encoded batch, with the newest log time that its writer had seen.
    """

    partition: int
    data: bytes


class Taken(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """Whether the log accepted the records of an offer."""

    accepted: bool


class RecordsAsk(msgspec.Struct, frozen=True, array_like=True, tag="records_ask"):
    """Request to a peer for the records of a partition from an offset on."""

    partition: int
    next_offset: int


class RecordsAnswer(msgspec.Struct, frozen=True, array_like=True, tag="records"):
    """Records in the order of the log; empty if the peer does not keep them."""

    partition: int
    records: tuple[LogRecord, ...]


LedgerMessage = Offer | Taken | RecordsAsk | RecordsAnswer
