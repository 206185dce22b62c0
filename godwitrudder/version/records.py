"""Records of the ledger log, as they stand in CBOR.

One append to the log holds one ``Batch`` of entries.  Entries are decoded one
by one, so that an entry of a later version or of a broken writer is void on its
own and takes nothing else with it.  Every amount is in tokens.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec

from godwitrudder import codec

VERSION: Final = 1


class Base(msgspec.Struct, frozen=True, array_like=True, tag="base", gc=False):
    """The amount that the configuration document pays in.

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

    Attributes
    ----------
    op : str
        Operation id; a second record with it is void.
    budget, incarnation : str
        Who may spend from what.
    tokens : int
        Most tokens wanted.
    isolated : int
        Part of ``tokens`` that no closing returns.
    witnesses : tuple of str
        Incarnations that acknowledge every intent of the holder.
    """

    op: str
    budget: str
    incarnation: str
    tokens: int
    isolated: int = 0
    witnesses: tuple[str, ...] = ()


class Bill(msgspec.Struct, frozen=True, array_like=True, tag="bill", gc=False):
    """Tokens that one request used; the first record per request counts."""

    request: str
    budget: str
    incarnation: str
    tokens: int


class Return(msgspec.Struct, frozen=True, array_like=True, tag="return", gc=False):
    """Tokens that a holder gives back by its own word."""

    op: str
    budget: str
    incarnation: str
    tokens: int


class Intent(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A dispatch that was announced to the witnesses and is not yet billed."""

    request: str
    budget: str
    tokens: int


class Closing(msgspec.Struct, frozen=True, array_like=True, tag="closing"):
    """A witness ends an incarnation's right to spend.

    The witness stopped acknowledging before it wrote this, so ``intents`` names
    every dispatch that was made, the isolated share apart.
    """

    op: str
    incarnation: str
    witness: str
    intents: tuple[Intent, ...]


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim", gc=False):
    """The right to run a non-idempotent call; the first per request wins."""

    request: str
    incarnation: str
    fingerprint: str


class Result(msgspec.Struct, frozen=True, array_like=True, tag="result", gc=False):
    """The stored outcome of a claimed call, for replay."""

    request: str
    status: int
    body: bytes


Entry = Base | TopUp | Grant | Bill | Return | Closing | Claim | Result


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """What one append holds: entries in order, not yet validated."""

    version: int
    writer: str
    entries: list[Any]


def encode_batch(writer: str, entries: list[Entry]) -> bytes:
    """Encode the entries of one append."""
    plain = [msgspec.to_builtins(entry, builtin_types=(bytes,)) for entry in entries]
    return codec.encode(Batch(VERSION, writer, plain))


def decode_batch(data: bytes) -> list[Entry | codec.Malformed]:
    """Decode one append; what cannot be read stands as ``Malformed``."""
    batch: Batch | codec.Malformed = codec.decode(data, Batch)
    if isinstance(batch, codec.Malformed):
        return [batch]
    if batch.version != VERSION:
        return [codec.Malformed(f"version {batch.version} is not {VERSION}")]
    return [codec.convert(entry, Entry) for entry in batch.entries]
