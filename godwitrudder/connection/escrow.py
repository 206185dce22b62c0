"""Messages between holders of grants and their witnesses, and between holders."""

from __future__ import annotations

import msgspec


class CallBack(msgspec.Struct, frozen=True, array_like=True, tag="call-back"):
    """Ask a holder for idle tokens; it sends ``Given`` back.

    Attributes
    ----------
    budget, asker, holder : str
        What is short, the holder to hand over to, and the one that is asked: a
        holder, or a host and a slash.
    tokens : int
        What is missing.
    rank : int
        The lower one comes first where both are short.
    """

    budget: str
    asker: str
    holder: str
    tokens: int
    rank: int


class Transfer(msgspec.Struct, frozen=True, array_like=True):
    """A hand-over that was credited and that the log may not show yet."""

    op: str
    budget: str
    donor: str
    receiver: str
    tokens: int


class Given(msgspec.Struct, frozen=True, array_like=True, tag="given"):
    """What a holder handed over, and what may still come free there.

    Attributes
    ----------
    asked, donor, asker : str
        The holder as it was asked and as it spends now, and who asked.
    transfers : tuple of Transfer
        The hand-over, after those that the donor's tokens came by and that the
        log may not show yet; empty for none.
    busy : int
        Tokens reserved, or kept for requests that wait there.
    idle : int
        Tokens that are still idle there.
    """

    budget: str
    asked: str
    donor: str
    asker: str
    transfers: tuple[Transfer, ...]
    busy: int
    idle: int


class OpenIntent(msgspec.Struct, frozen=True, array_like=True):
    """A dispatch about to be made, or a hand-over by its operation id.

    Attributes
    ----------
    request, budget : str
        What will be billed to whom.
    tokens : int
        Most that it can cost.
    runner, attempt : str
        Where it runs and under which id; empty for a hand-over.
    """

    request: str
    budget: str
    tokens: int
    runner: str = ""
    attempt: str = ""


class Announce(msgspec.Struct, frozen=True, array_like=True, tag="announce"):
    """Open intents of a holder; answered by ``Acked``.

    Attributes
    ----------
    witnesses : tuple of str
        Every witness of the holder.
    settled : tuple of OpenIntent
        What earlier intents came to; 0 tokens for one that was not dispatched.
        The rest of them may pay for ``intents``.
    over : tuple of str
        Requests and operation ids that the log shows, or that never happened.
    received : tuple of Transfer
        Hand-overs from which these or later intents may be paid.
    """

    holder: str
    witness: str
    intents: tuple[OpenIntent, ...]
    over: tuple[str, ...] = ()
    received: tuple[Transfer, ...] = ()
    witnesses: tuple[str, ...] = ()
    settled: tuple[OpenIntent, ...] = ()


class Acked(msgspec.Struct, frozen=True, array_like=True, tag="acked"):
    """Whether the witness will list the intents in any closing."""

    accepted: bool


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """The holder is alive, or leaves for good; answered by ``Standing``.

    Attributes
    ----------
    witnesses : tuple of str
        Every witness of the holder, where the host is one; else empty.
    """

    holder: str
    leaving: bool = False
    witnesses: tuple[str, ...] = ()


class Standing(msgspec.Struct, frozen=True, array_like=True, tag="standing"):
    """The incarnation that would witness, and whether it fenced the holder."""

    incarnation: str
    fenced: bool


class FindIntent(msgspec.Struct, frozen=True, array_like=True, tag="find"):
    """Ask a witness where a request was dispatched; answered by ``Found``."""

    request: str


class Found(msgspec.Struct, frozen=True, array_like=True, tag="found"):
    """The holder and the intent of a request; empty where none is known."""

    holder: str
    intents: tuple[OpenIntent, ...]


class FenceAsk(msgspec.Struct, frozen=True, array_like=True, tag="fence"):
    """Ask another witness whether it has fenced a holder too."""

    holder: str
    witness: str


class Fenced(msgspec.Struct, frozen=True, array_like=True, tag="fenced"):
    """What a witness acknowledged before its fence; ``done`` if there is one."""

    holder: str
    witness: str
    done: bool
    intents: tuple[OpenIntent, ...]
    received: tuple[Transfer, ...]


EscrowMessage = (
    FenceAsk
    | Fenced
    | CallBack
    | Given
    | Announce
    | Acked
    | Beat
    | Standing
    | FindIntent
    | Found
)
