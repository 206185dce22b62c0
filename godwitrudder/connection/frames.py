"""Frames between daemons: CBOR with a clock stamp, validated on arrival.

The message types of each concern are in a separate module.  To add one, include it in
``Message`` and register a handler for it in the daemon.
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
        Matches an answer to its request; 0 if no answer is expected.
    answer : bool
        Whether this answers the request with the same number.
    stamp : Stamp
        Reading of the sender's hybrid logical clock.
    body : Message or None
        None if the handler of the request returned no answer.
    """

    number: int
    answer: bool
    stamp: Stamp
    body: Message | None
