"""Messages between grant holders, and between a holder and its witnesses."""

from __future__ import annotations

import msgspec


class CallBack(msgspec.Struct, frozen=True, array_like=True, tag="call-back"):
    """Request for idle tokens of a holder, which replies with ``Given``.

    Attributes
    ----------
    budget : str
        Budget that is short of tokens.
    asker : str
        Holder that receives the tokens.
    holder : str
        Holder that is asked: its id, or a host and a slash.
    tokens : int
        Number of missing tokens.
    rank : int
        The lower rank goes first if both holders are short.
    """

    budget: str
    asker: str
    holder: str
    tokens: int
    rank: int


class Transfer(msgspec.Struct, frozen=True, array_like=True):
    """Transfer of tokens that was credited but may not be in the log yet.

    Attributes
    ----------
    op : str
        Id of the operation.
    """

    op: str
    budget: str
    donor: str
    receiver: str
    tokens: int


class Given(msgspec.Struct, frozen=True, array_like=True, tag="given"):
    """Tokens that a holder transferred, and those that it still has.

    Attributes
    ----------
    asked : str
        Holder as the request named it.
    donor : str
        Id under which that holder spends now.
    asker : str
        Holder that asked.
    transfers : tuple of Transfer
        The transfer, last, after the earlier ones from which the donor got its tokens
        and which may not be in the log yet; empty if nothing was transferred.
    busy : int
        Tokens of the donor that are reserved, or kept for its waiting requests.
    idle : int
        Tokens of the donor that are still idle.
    """

    budget: str
    asked: str
    donor: str
    asker: str
    transfers: tuple[Transfer, ...]
    busy: int
    idle: int


class OpenIntent(msgspec.Struct, frozen=True, array_like=True):
    """A planned dispatch of a request, or a planned transfer.

    Attributes
    ----------
    request : str
        Id of the request, or of the transfer's operation.
    budget : str
        Budget that pays.
    tokens : int
        Upper bound of the cost.
    runner, attempt : str
        Runner and id of the attempt; empty for a transfer.
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
    over : tuple of str
        Ids of requests and operations that are in the log, or that never happened.
    received : tuple of Transfer
        Transfers that may pay for these or later intents.
    witnesses : tuple of str
        All witnesses of the holder.
    settled : tuple of OpenIntent
        Earlier intents with their actual cost; 0 tokens if not dispatched.  The unspent
        rest may pay for ``intents``.
    """

    holder: str
    witness: str
    intents: tuple[OpenIntent, ...]
    over: tuple[str, ...] = ()
    received: tuple[Transfer, ...] = ()
    witnesses: tuple[str, ...] = ()
    settled: tuple[OpenIntent, ...] = ()


class Acked(msgspec.Struct, frozen=True, array_like=True, tag="acked"):
    """Whether the witness will list the intents if it closes the holder."""

    accepted: bool


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Heartbeat of a holder; answered by ``Standing``.

    Attributes
    ----------
    leaving : bool
        Whether the holder leaves permanently.
    witnesses : tuple of str
        All witnesses of the holder if the recipient is one, else empty.
    """

    holder: str
    leaving: bool = False
    witnesses: tuple[str, ...] = ()


class Standing(msgspec.Struct, frozen=True, array_like=True, tag="standing"):
    """Incarnation of the answering witness, and whether it has fenced the holder."""

    incarnation: str
    fenced: bool


class FindIntent(msgspec.Struct, frozen=True, array_like=True, tag="find"):
    """Query to a witness: where was a request dispatched; answered by ``Found``."""

    request: str


class Found(msgspec.Struct, frozen=True, array_like=True, tag="found"):
    """The holder and the intents of a request; empty if none is known."""

    holder: str
    intents: tuple[OpenIntent, ...]


class FenceAsk(msgspec.Struct, frozen=True, array_like=True, tag="fence"):
    """Query to another witness: has it fenced the holder; answered by ``Fenced``."""

    holder: str
    witness: str


class Fenced(msgspec.Struct, frozen=True, array_like=True, tag="fenced"):
    """Intents and transfers that a witness acknowledged before it fenced the holder.

    Attributes
    ----------
    done : bool
        Whether the witness has fenced the holder.
    """

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
