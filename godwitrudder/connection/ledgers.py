"""Frames with which daemons pass ledger records to owners and to each other."""

from __future__ import annotations

import msgspec

from godwitrudder.platform.log import LogRecord


class Offer(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Asks the owner of a partition to append a batch with its own.

    Attributes
    ----------
    data : bytes
        An encoded batch, with the log time that its writer had seen.
    """

    partition: int
    data: bytes


class Taken(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """Whether the log took the records of an offer."""

    accepted: bool


class RecordsAsk(msgspec.Struct, frozen=True, array_like=True, tag="records_ask"):
    """Asks a peer for the records of a partition from an offset on."""

    partition: int
    next_offset: int


class RecordsAnswer(msgspec.Struct, frozen=True, array_like=True, tag="records"):
    """Records in the order of the log; none where the peer kept them not."""

    partition: int
    records: tuple[LogRecord, ...]


LedgerMessage = Offer | Taken | RecordsAsk | RecordsAnswer
