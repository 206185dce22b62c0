"""Snapshots of a partition: its complete state, in chunks on a separate stream.

Each partition has a log stream with its records and a snapshot stream with the chunks.
The same records give the same bytes.  Two daemons that write at the same time
therefore write the same snapshot, and equal digests mean equal states.  A snapshot is
valid once all its chunks have been read and the digest of the bytes matches.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Final

import msgspec

from godwitrudder import codec
from godwitrudder.version import records
from godwitrudder.version.accounts import Budget, ClaimState, Holder, Holding
from godwitrudder.version.fold import LedgerFold
from godwitrudder.version.replay import KEY_BYTES, ReplayIndex, Slice

VERSION: Final = 1
# Bytes of encoded state in one chunk; each chunk is one record of the log.
CHUNK_BYTES: Final = 200_000
DIGEST_BYTES: Final = 16
# Snapshots, complete or not, that a reader keeps in memory.
MAX_CHUNK_SETS: Final = 4
# A record that states more chunks is ignored as malformed.
MAX_CHUNKS: Final = 10_000


class BudgetState(msgspec.Struct, frozen=True, array_like=True):
    """A budget without its holdings."""

    id: str
    base: int
    document_base: int
    config_offset: int
    topped_up: int
    billed: int
    open: int


class HoldingState(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one budget that one incarnation holds."""

    budget: str
    incarnation: str
    witnessed: int
    isolated: int
    intents_by_request: dict[str, int]


class HolderState(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation in the partition, without its holdings.

    Attributes
    ----------
    epoch : int
        Version of the witness set; -1 before the first one.
    """

    incarnation: str
    epoch: int
    witnesses: tuple[str, ...]
    closed: bool


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True):
    """State of one ``accounts.ClaimState``; ``time`` is the log time of the claim."""

    time: float
    request: str
    incarnation: str
    fingerprint: str
    result: records.Result | None
    ops: tuple[str, ...]
    released: bool


class SliceState(msgspec.Struct, frozen=True, array_like=True):
    """Operation hashes of one ``replay.Slice``, sorted and concatenated.

    Attributes
    ----------
    end : float
        Exclusive end of the slice, in seconds of log time since the epoch.
    """

    end: float
    keys: bytes


class IndexState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a ``ReplayIndex``."""

    dropped_until: float
    slices: tuple[SliceState, ...]


class FoldState(msgspec.Struct, frozen=True, array_like=True):
    """The complete state of a ``LedgerFold``.

    Attributes
    ----------
    time : float
        Highest log time of any applied record, in seconds since the epoch.
    applied : IndexState
        Operations applied within the replay window.
    answered_requests : tuple of str
        Requests of which a result was stored, oldest first.
    claim_index : IndexState
        Requests claimed within ``claims.CLAIM_WINDOW_SECONDS``.
    """

    next_offset: int
    time: float
    budgets: tuple[BudgetState, ...]
    holdings: tuple[HoldingState, ...]
    holders: tuple[HolderState, ...]
    applied: IndexState
    claims: tuple[ClaimEntry, ...]
    answered_requests: tuple[str, ...]
    claim_index: IndexState


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """One chunk of a snapshot, as a record of the snapshot stream.

    Attributes
    ----------
    end_offset : int
        Offset of the first record that the snapshot does not cover.
    time : float
        Highest log time of the covered records, in seconds since the epoch.
    digest : bytes
        Digest of the whole snapshot; chunks with the same digest belong together.
    index, count : int
        Position of the chunk, from 0, and number of chunks in the snapshot.
    """

    version: int
    end_offset: int
    time: float
    digest: bytes
    index: int
    count: int
    data: bytes


def encode(fold: LedgerFold) -> bytes:
    """Encode the state of a fold; equal states give equal bytes."""
    return codec.encode(state_of(fold))


def digest_of(data: bytes) -> bytes:
    """Return the digest of an encoded state."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def chunks_of(fold: LedgerFold, size: int = CHUNK_BYTES) -> list[bytes]:
    """Return the records of a snapshot of a fold, ``size`` bytes of state in each."""
    data = encode(fold)
    digest = digest_of(data)
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    return [
        codec.encode(
            SnapshotChunk(
                VERSION, fold.next_offset, fold.time, digest, index, len(parts), part
            )
        )
        for index, part in enumerate(parts)
    ]


def decode(data: bytes) -> LedgerFold | codec.Malformed:
    """Rebuild a fold from its encoded state."""
    state: FoldState | codec.Malformed = codec.decode(data, FoldState)
    if isinstance(state, codec.Malformed):
        return state
    return _fold_of(state)


@dataclass(slots=True)
class ChunkSet:
    """The chunks of one snapshot that have been read so far.

    Attributes
    ----------
    end_offset : int
        Offset of the first record that the snapshot does not cover.
    time : float
        Highest log time of the covered records, in seconds since the epoch.
    written_at : float
        Log time of the chunk that was read last, in seconds since the epoch.
    """

    end_offset: int
    time: float
    count: int
    written_at: float = 0.0
    data_by_index: dict[int, bytes] = field(default_factory=dict)

    @property
    def complete(self) -> bool:
        """Whether every chunk has been read."""
        return len(self.data_by_index) == self.count


class SnapshotAssembler:
    """Assembles snapshots from chunks.

    Keeps the ``MAX_CHUNK_SETS`` snapshots that cover the most records.
    """

    def __init__(self) -> None:
        self.sets_by_digest: dict[bytes, ChunkSet] = {}

    def add(self, data: bytes, written_at: float) -> None:
        """Add a record of the snapshot stream; a malformed record is ignored.

        ``written_at`` is the log time of the record, in seconds since the epoch.
        """
        chunk = codec.decode(data, SnapshotChunk)
        if isinstance(chunk, codec.Malformed) or chunk.version != VERSION:
            return
        if not 0 <= chunk.index < chunk.count <= MAX_CHUNKS:
            return
        chunk_set = self.sets_by_digest.setdefault(
            chunk.digest, ChunkSet(chunk.end_offset, chunk.time, chunk.count)
        )
        chunk_set.data_by_index[chunk.index] = chunk.data
        chunk_set.written_at = written_at
        if len(self.sets_by_digest) > MAX_CHUNK_SETS:
            oldest = min(self.sets_by_digest, key=self._next_offset)
            del self.sets_by_digest[oldest]

    def newest(self) -> LedgerFold | None:
        """Return the fold of the valid snapshot that covers the most records."""
        for digest in sorted(self.sets_by_digest, key=self._next_offset, reverse=True):
            fold = self._decode_fold(digest)
            if fold is not None:
                return fold
        return None

    def has_current_snapshot(
        self, now: float, retention: float, next_offset: int
    ) -> bool:
        """Whether a valid snapshot exists that need not be replaced yet.

        It must cover the caller's offset, or its newest covered record must be newer
        than half the retention.  So a reader has at least half the retention before
        the log drops the first record that follows the snapshot.  It must also have
        been written within the last quarter of the retention, so that a new one
        follows long before the log drops its chunks.

        Parameters
        ----------
        now : float
            Log time in seconds since the epoch.
        retention : float
            Seconds for which the log keeps records.
        next_offset : int
            Offset after the last record that the caller has read.
        """
        for digest, chunk_set in self.sets_by_digest.items():
            recent = (
                chunk_set.end_offset >= next_offset
                or chunk_set.time > now - retention / 2
            )
            if recent and chunk_set.written_at > now - retention / 4:
                if self._decode_fold(digest) is not None:
                    return True
        return False

    def _next_offset(self, digest: bytes) -> int:
        return self.sets_by_digest[digest].end_offset

    def _decode_fold(self, digest: bytes) -> LedgerFold | None:
        chunk_set = self.sets_by_digest[digest]
        if not chunk_set.complete:
            return None
        data = b"".join(
            chunk_set.data_by_index[index] for index in range(chunk_set.count)
        )
        if digest_of(data) != digest:
            return None
        fold = decode(data)
        return None if isinstance(fold, codec.Malformed) else fold


def state_of(fold: LedgerFold) -> FoldState:
    """Return the state of a fold as a value to encode."""
    budgets = fold.budgets_by_id
    holders = fold.escrow.holders_by_incarnation
    return FoldState(
        fold.next_offset,
        fold.time,
        tuple(_budget_state(name, budget) for name, budget in budgets.items()),
        tuple(
            HoldingState(
                name,
                incarnation,
                holding.witnessed,
                holding.isolated,
                holding.intents_by_request,
            )
            for name, budget in budgets.items()
            for incarnation, holding in budget.holdings_by_incarnation.items()
        ),
        tuple(
            HolderState(name, holder.epoch, holder.witnesses, holder.closed)
            for name, holder in holders.items()
        ),
        _index_state(fold.applied),
        tuple(
            _claim_entry(time, request, fold.claims_by_request[request])
            for time, request in fold.claims.claim_times
        ),
        tuple(fold.claims.answered_requests),
        _index_state(fold.claims.claim_index),
    )


def _budget_state(name: str, budget: Budget) -> BudgetState:
    return BudgetState(
        name,
        budget.base,
        budget.document_base,
        budget.config_offset,
        budget.topped_up,
        budget.billed,
        budget.open,
    )


def _claim_entry(time: float, request: str, claim: ClaimState) -> ClaimEntry:
    return ClaimEntry(
        time,
        request,
        claim.incarnation,
        claim.fingerprint,
        claim.result,
        claim.ops,
        claim.released,
    )


def _index_state(index: ReplayIndex) -> IndexState:
    slices = []
    for time_slice in index.slices:
        keys = b"".join(key.to_bytes(KEY_BYTES) for key in sorted(time_slice.keys))
        slices.append(SliceState(time_slice.end, keys))
    return IndexState(index.dropped_until, tuple(slices))


def _fold_of(state: FoldState) -> LedgerFold:
    fold = LedgerFold()
    fold.next_offset = state.next_offset
    fold.time = state.time
    _restore_index(fold.applied, state.applied)
    _restore_index(fold.claims.claim_index, state.claim_index)
    for budget in state.budgets:
        fold.budgets_by_id[budget.id] = Budget(*msgspec.structs.astuple(budget)[1:])
    for holder in state.holders:
        fold.escrow.holders_by_incarnation[holder.incarnation] = Holder(
            holder.epoch, holder.witnesses, holder.closed
        )
    for holding in state.holdings:
        held_budget = fold.budgets_by_id[holding.budget]
        held_budget.holdings_by_incarnation[holding.incarnation] = Holding(
            holding.witnessed, holding.isolated, dict(holding.intents_by_request)
        )
        token_holder = fold.escrow.holders_by_incarnation[holding.incarnation]
        token_holder.budgets.add(holding.budget)
    _restore_claims(fold, state)
    return fold


def _restore_claims(fold: LedgerFold, state: FoldState) -> None:
    claims = fold.claims
    for claim in state.claims:
        claims.claim_times.append((claim.time, claim.request))
        claims.claims_by_request[claim.request] = ClaimState(
            claim.incarnation,
            claim.fingerprint,
            claim.result,
            claim.ops,
            claim.released,
        )
        if claim.result is not None:
            claims.result_bytes += len(claim.result.body)
    claims.answered_requests.extend(state.answered_requests)


def _restore_index(index: ReplayIndex, state: IndexState) -> None:
    index.dropped_until = state.dropped_until
    for time_slice in state.slices:
        keys = {
            int.from_bytes(time_slice.keys[start : start + KEY_BYTES])
            for start in range(0, len(time_slice.keys), KEY_BYTES)
        }
        index.slices.append(Slice(time_slice.end, keys))
