"""Frames between daemons: CBOR, each with a stamp, validated on arrival.

A message type belongs to one concern; add it to ``Message`` and register a
handler for it in the daemon.
"""

from __future__ import annotations

import msgspec

from godwitrudder.clock import Stamp
from godwitrudder.connection.answers import RetryMessage
from godwitrudder.connection.escrow import EscrowMessage
from godwitrudder.connection.ledgers import LedgerMessage
from godwitrudder.connection.queries import QueryMessage
from godwitrudder.connection.shares import ShareAnswer, ShareReport


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Heartbeat; answered with the same message."""

    incarnation: str


Message = (
    Ping
    | QueryMessage
    | ShareReport
    | ShareAnswer
    | EscrowMessage
    | RetryMessage
    | LedgerMessage
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One websocket message.

    Attributes
    ----------
    number : int
        Pairs an answer with its question; 0 where none is wanted.
    answer : bool
        Whether this answers the frame of the same number.
    stamp : Stamp
        The sender's hybrid logical clock.
    body : Message or None
        None answers a question that has no answer.
    """

    number: int
    answer: bool
    stamp: Stamp
    body: Message | None
