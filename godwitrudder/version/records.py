"""Records of the ledger log, encoded in CBOR.

One append to the log holds one ``Batch`` of entries.  Entries are decoded one by
one, so an entry of a later version or of a faulty writer is void without affecting
the other entries.  Every amount is in tokens.

A batch states the newest log time that its writer had seen.  The fold drops
operation ids that are older than the replay window.  It voids a batch as ``stale``
if the stated log time is before the end of the newest dropped time slice, so a late
copy of a record never counts as new.  A writer that reads ``stale`` for its own record
writes the record again.  A daemon that writes a record for another daemon's operation
(a bill or a hand-over of a dead holder) reads the partition from the time at which it
learnt the id, and does not write a record that it has already read.

Records of a budget go to the partition of the budget.  A ``Closing`` and a
``Witnesses`` go to every partition in which the incarnation holds tokens.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec

from godwitrudder import codec

NOT_RUN: Final = 0
VERSION: Final = 1
WHOLE_PERMILLE: Final = 1000


class Base(msgspec.Struct, frozen=True, array_like=True, tag="base", gc=False):
    """The amount that the configuration document pays in.

    An amount below the billed and granted tokens takes effect as far as possible at
    once, and further with each returned token.

    Attributes
    ----------
    budget : str
        Identifier of the budget.
    tokens : int
        Paid tokens, without top-ups.
    config_offset : int
        Offset of the document; a record is void unless its offset is higher than that
        of the last record.
    """

    budget: str
    tokens: int
    config_offset: int


class TopUp(msgspec.Struct, frozen=True, array_like=True, tag="topup", gc=False):
    """Tokens that an operator pays in; each operation id counts once."""

    op: str
    budget: str
    tokens: int
    reason: str


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """Tokens granted to one incarnation, limited to the free tokens.

    The fold grants ``needed`` tokens if they are free, and more, up to ``tokens``,
    as long as neither share is exceeded.  A closed incarnation gets no tokens.

    Attributes
    ----------
    op : str
        Operation id; a second record with the same id is void.
    budget, incarnation : str
        The budget, and the incarnation that may spend from it.
    tokens : int
        The most tokens to grant.
    isolated : int
        Tokens that no closing returns; taken from the part of the grant beyond
        ``needed``.
    witnesses : tuple of str
        Incarnations that acknowledge every intent of the holder.
    epoch : int
        Version of the witness set; a set older than the last is ignored.
    needed : int
        Tokens that requests wait for.
    share_permille : int
        Maximum part of the free tokens that one grant takes beyond ``needed``.
    open_permille : int
        Maximum part of the unbilled tokens that all grants together hold beyond
        ``needed``.
    """

    op: str
    budget: str
    incarnation: str
    tokens: int
    isolated: int = 0
    witnesses: tuple[str, ...] = ()
    epoch: int = 0
    needed: int = 0
    share_permille: int = WHOLE_PERMILLE
    open_permille: int = WHOLE_PERMILLE


class Bill(msgspec.Struct, frozen=True, array_like=True, tag="bill", gc=False):
    """Tokens that one request used; the first record per request counts.

    A bill that is void as ``repeated`` leaves its tokens with the holder.  After a
    closing only the listed intents and the isolated share can be billed.

    Attributes
    ----------
    isolated : bool
        Whether the request was served from the isolated share.
    """

    request: str
    budget: str
    incarnation: str
    tokens: int
    isolated: bool = False


class Return(msgspec.Struct, frozen=True, array_like=True, tag="return", gc=False):
    """Tokens that a holder returns itself.

    Attributes
    ----------
    tokens : int
        Returned tokens in all.
    isolated : int
        The part from the isolated share; after a closing it must equal ``tokens``.
    """

    op: str
    budget: str
    incarnation: str
    tokens: int
    isolated: int = 0


class Witnesses(msgspec.Struct, frozen=True, array_like=True, tag="witnesses"):
    """A new witness set of an incarnation; the log's order resolves races.

    The holder sends its open intents to the new witnesses first, and relies on them
    once it has read this record back.  A later closing by a witness that is no longer
    in the set is void.
    """

    op: str
    incarnation: str
    epoch: int
    witnesses: tuple[str, ...]


class Handover(msgspec.Struct, frozen=True, array_like=True, tag="handover", gc=False):
    """Tokens that moved directly from one live holder to another, ahead of the log.

    The donor deducts the tokens first, and its witnesses acknowledge the operation id
    like that of a request, so a closing of the donor lists it as an ``Intent``.  The
    receiver writes this record before any bill that it pays from the tokens.  A
    witness that closes the receiver writes it before the closing.  If the record is
    void as ``closed``, the receiver was closed and the donor still holds the tokens.
    If both are closed, the tokens are free again.
    """

    op: str
    budget: str
    donor: str
    receiver: str
    tokens: int


class Intent(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A dispatch that the holder announced to its witnesses and has not yet billed.

    Attributes
    ----------
    request : str
        Request id, or the operation id of a ``Handover``.
    """

    request: str
    budget: str
    tokens: int


class Closing(msgspec.Struct, frozen=True, array_like=True, tag="closing"):
    """Ends an incarnation's right to spend; written by one of its witnesses.

    The witness stops acknowledging before it writes this record, so ``intents`` lists
    every unbilled dispatch except those from the isolated share.  An intent that the
    log has already billed is ignored.
    """

    op: str
    incarnation: str
    witness: str
    intents: tuple[Intent, ...]


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim", gc=False):
    """The right to run a non-idempotent call; the first per request wins.

    Attributes
    ----------
    op : str
        Operation id; distinguishes a new claim from a late copy of a released one.
    """

    request: str
    incarnation: str
    fingerprint: str
    op: str = ""


class Result(msgspec.Struct, frozen=True, array_like=True, tag="result", gc=False):
    """The result of a claimed call, stored for replay.

    Attributes
    ----------
    status : int
        HTTP status; ``NOT_RUN`` releases the claim.
    op : str
        Operation id of the claim that this result ends.
    kept : bool
        False if the call ran and its body is not stored: it was too large, or the
        fold dropped it to bound the total size.
    """

    request: str
    status: int
    body: bytes
    op: str = ""
    content_type: str = "application/json"
    kept: bool = True


Entry = (
    Base
    | TopUp
    | Grant
    | Bill
    | Return
    | Witnesses
    | Handover
    | Closing
    | Claim
    | Result
)


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The content of one append: entries in order, not yet validated.

    Attributes
    ----------
    seen : float
        Newest log time, in seconds since the epoch, that the writer had seen at its
        first attempt to append any of the entries.
    """

    version: int
    writer: str
    seen: float
    entries: list[Any]


def encode_batch(writer: str, entries: list[Entry], seen: float = 0.0) -> bytes:
    """Encode the entries of one append."""
    plain = [msgspec.to_builtins(entry, builtin_types=(bytes,)) for entry in entries]
    return codec.encode(Batch(VERSION, writer, seen, plain))


def decode_batch(data: bytes) -> Batch | codec.Malformed:
    """Decode one append; its entries are validated one by one."""
    batch: Batch | codec.Malformed = codec.decode(data, Batch)
    if not isinstance(batch, codec.Malformed) and batch.version != VERSION:
        return codec.Malformed(f"version {batch.version} is not {VERSION}")
    return batch


def decode_entry(plain: Any) -> Entry | codec.Malformed:
    """Validate one entry of a batch."""
    entry: Entry | codec.Malformed = codec.convert(plain, Entry)
    return entry
