"""Authenticated datagrams between hosts that lend each other tokens.

Each incarnation publishes a new key in its statement in the store, which callers can't
reach.  A sender authenticates a message with the recipient's key, so it has read the
recipient's newest statement.  Only the incarnation that the message is meant for
accepts it.
"""

from __future__ import annotations

import hmac
from typing import Annotated, Final

import msgspec

from godwitrudder import codec
from godwitrudder.connection.reports import Report

KEY_BYTES: Final = 16
"""128 bits, which can't be guessed."""
SEAL_BYTES: Final = 16
"""HMAC-SHA-256, truncated to half as RFC 2104 allows."""
DATAGRAM_BYTES: Final = 1200
"""Maximum size of a datagram; larger ones may be fragmented (RFC 9000, section 14)."""

MAX_TOKENS: Final = 2**53
"""More tokens than any budget has."""
MAX_DEMAND: Final = 1e12
"""Tokens per second, far above what a fleet generates (450,000)."""
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Limit = Annotated[int, msgspec.Meta(ge=-MAX_TOKENS, le=MAX_TOKENS)]
Demand = Annotated[float, msgspec.Meta(ge=0, le=MAX_DEMAND)]


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Request for a loan from a host that lacks tokens.

    Attributes
    ----------
    host, epoch : str, int
        Incarnation of the borrower.
    number : int
        Number of the request, unique within the incarnation.
    needed : int
        Tokens without which the borrower refuses a request.
    wanted : int
        Tokens that the borrower can use.
    demand : float
        Tokens per second that callers ask of the borrower.
    """

    host: str
    epoch: int
    number: int
    workspace: str
    needed: Tokens
    wanted: Tokens
    demand: Demand


class Loan(msgspec.Struct, frozen=True, array_like=True, tag="loan"):
    """Tokens lent to a host; the lender counts them as spent.

    Attributes
    ----------
    host, epoch, number : str, int, int
        Incarnation of the lender and number of the loan.  They identify the loan, which
        the borrower credits at most once.
    answers : int
        Number of the ``Ask``.
    tokens : int
        Tokens lent; 0 if the lender has none to lend.
    left : int
        Tokens that the lender can still lend.
    """

    host: str
    epoch: int
    number: int
    answers: int
    workspace: str
    tokens: Tokens
    left: Tokens


class Receipt(msgspec.Struct, frozen=True, array_like=True, tag="receipt"):
    """Confirms that a loan arrived; ``number`` is the number of the loan."""

    host: str
    epoch: int
    number: int


class AgeAsk(msgspec.Struct, frozen=True, array_like=True, tag="age-ask"):
    """Question of a restarted host: how old can its previous statement be.

    Attributes
    ----------
    host, number : str, int
        Host that asks, and number of the question.
    epoch, sent : int, float
        Identify the statement.
    """

    host: str
    number: int
    epoch: int
    sent: float


class Age(msgspec.Struct, frozen=True, array_like=True, tag="age"):
    """Answer to ``AgeAsk``, authenticated with the key of the host that answers.

    Attributes
    ----------
    seconds : float or None
        Upper bound of the statement's age; None if unknown.
    """

    host: str
    number: int
    seconds: float | None


class LimitNotice(msgspec.Struct, frozen=True, array_like=True, tag="notice"):
    """Higher limits of a statement that is on its way to the store.

    Attributes
    ----------
    host, epoch, era, sent : str, int, int, float
        Identify the statement.
    limits : dict of int
        Tokens by workspace.  The limit of a host that has borrowed more than it has
        spent is negative.
    """

    host: str
    epoch: int
    era: int
    sent: float
    limits: dict[str, Limit]


class LimitNoticed(msgspec.Struct, frozen=True, array_like=True, tag="noticed"):
    """Confirms a ``LimitNotice``: the host that answers remembers its limits."""

    host: str
    sent: float


Message = Ask | Loan | Receipt | AgeAsk | Age | LimitNotice | LimitNoticed | Report


def seal(message: Message, key: bytes) -> bytes:
    """Return the datagram: a truncated HMAC under the recipient's key, the message."""
    body = codec.encode(message)
    return hmac.digest(key, body, "sha256")[:SEAL_BYTES] + body


def unseal(datagram: bytes, key: bytes) -> Message | codec.Malformed:
    """Verify and decode a datagram; return ``Malformed`` if it is not for this host."""
    if len(datagram) > DATAGRAM_BYTES:
        return codec.Malformed("the datagram is too long")
    mac, body = datagram[:SEAL_BYTES], datagram[SEAL_BYTES:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:SEAL_BYTES], mac):
        return codec.Malformed("the datagram is not authenticated for this incarnation")
    message: Message | codec.Malformed = codec.decode(body, Message)
    return message
