"""Records of the ledger log, as they stand in CBOR.

One append to the log holds one ``Batch`` of entries.  Entries are decoded one
by one, so that an entry of a later version or of a broken writer is void on its
own and takes nothing else with it.  Every amount is in tokens.

A batch says which log time its writer had seen.  The fold forgets operation ids
that are older than the replay window and voids as ``stale`` every batch that saw
less than what was forgotten, so a late copy of a record never counts as new.
A writer that reads ``stale`` for its own record writes it again.  Who writes the
record of somebody else's operation (a bill or a hand-over for a dead holder)
follows the partition from the time it learnt the id, and does not write what it
read already.

Records of a budget go to the partition of the budget; a ``Closing`` and a
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

    A lower amount than what is billed and open takes effect as far as it can at
    once, and further with each token that comes back.

    Attributes
    ----------
    budget : str
        Identifier of the budget.
    tokens : int
        Paid tokens, top-ups apart.
    config_offset : int
        Offset of the document; a lower one than the last seen is void.
    """

    budget: str
    tokens: int
    config_offset: int


class TopUp(msgspec.Struct, frozen=True, array_like=True, tag="topup", gc=False):
    """More tokens paid in by an operator, once per operation id."""

    op: str
    budget: str
    tokens: int
    reason: str


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """Tokens set aside for one incarnation; trimmed to what is free.

    The fold grants ``needed`` tokens where they are free, and more, up to
    ``tokens``, while neither share is passed.  A closed incarnation gets nothing.

    Attributes
    ----------
    op : str
        Operation id; a second record with it is void.
    budget, incarnation : str
        Who may spend from what.
    tokens : int
        Most tokens wanted.
    isolated : int
        Part of ``tokens`` that no closing returns; taken from what is granted
        beyond ``needed``.
    witnesses : tuple of str
        Incarnations that acknowledge every intent of the holder.
    epoch : int
        Version of the witness set; a lower one than the last seen is ignored.
    needed : int
        Tokens that requests wait for.
    share_permille : int
        Most of the free tokens that one grant takes beyond ``needed``.
    open_permille : int
        Most of the unbilled tokens that all grants hold beyond ``needed``.
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

    A bill that is void as ``repeated`` leaves its tokens with the holder.  After
    a closing only the listed intents and the isolated share can be billed.

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
    """Tokens that a holder gives back by its own word.

    Attributes
    ----------
    tokens : int
        All tokens given back.
    isolated : int
        Part of them from the isolated share; after a closing all must be.
    """

    op: str
    budget: str
    incarnation: str
    tokens: int
    isolated: int = 0


class Witnesses(msgspec.Struct, frozen=True, array_like=True, tag="witnesses"):
    """A new witness set of an incarnation; the log's order settles races.

    The holder shows its open intents to the new set first and counts on it once
    the record was read back.  A closing by a former witness is void after it.
    """

    op: str
    incarnation: str
    epoch: int
    witnesses: tuple[str, ...]


class Handover(msgspec.Struct, frozen=True, array_like=True, tag="handover", gc=False):
    """Tokens that went from one live holder to another without the log.

    The donor deducted first and its witnesses acknowledged the operation id as
    they would a request, so a closing of the donor lists it as an ``Intent``.
    The receiver writes this before any bill that it pays from it, and whoever
    closes the receiver writes it before the closing.  Void as ``closed`` means
    that the receiver was closed and the donor still holds the tokens; where
    both are closed the tokens are free again.
    """

    op: str
    budget: str
    donor: str
    receiver: str
    tokens: int


class Intent(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A dispatch that was announced to the witnesses and is not yet billed.

    Attributes
    ----------
    request : str
        Request id, or the operation id of a ``Handover``.
    """

    request: str
    budget: str
    tokens: int


class Closing(msgspec.Struct, frozen=True, array_like=True, tag="closing"):
    """A witness ends an incarnation's right to spend.

    The witness stopped acknowledging before it wrote this, so ``intents`` names
    every dispatch that was made, the isolated share apart.  An intent whose bill
    stands already counts for nothing.
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
        Tells a later claim from a copy of one that was released.
    """

    request: str
    incarnation: str
    fingerprint: str
    op: str = ""


class Result(msgspec.Struct, frozen=True, array_like=True, tag="result", gc=False):
    """The stored outcome of a claimed call, for replay.

    Attributes
    ----------
    status : int
        HTTP status; ``NOT_RUN`` releases the claim.
    op : str
        The claim that this ends.
    kept : bool
        False where the call ran and its answer is too large to keep.
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
    """What one append holds: entries in order, not yet validated.

    Attributes
    ----------
    seen : float
        Log time, in seconds, that the writer had seen at the first attempt to
        append any of the entries.
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
