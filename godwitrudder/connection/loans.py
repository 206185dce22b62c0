"""Messages between hosts that lend each other tokens, sealed for their reader.

Every incarnation states a fresh key in the store, which callers can't reach; who
seals with it has read the host's newest statement.  So a message reaches the
incarnation that it was meant for or nobody.
"""

from __future__ import annotations

import hmac
from typing import Annotated, Final

import msgspec

from godwitrudder import codec

KEY_BYTES: Final = 16
"""128 bits: not to be guessed."""
SEAL_BYTES: Final = 16
"""HMAC-SHA-256, truncated to half as RFC 2104 allows."""
DATAGRAM_BYTES: Final = 1200
"""Longest datagram; larger ones may be split on the way (RFC 9000, 14)."""

TOKENS_MOST: Final = 2**53
"""More tokens than any budget has."""
DEMAND_MOST: Final = 1e12
"""Tokens a second, far above what a fleet generates (450,000)."""
Tokens = Annotated[int, msgspec.Meta(ge=0, le=TOKENS_MOST)]
Demand = Annotated[float, msgspec.Meta(ge=0, le=DEMAND_MOST)]


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A host lacks tokens.

    Attributes
    ----------
    host, epoch : str, int
        The incarnation that asks.
    number : int
        Names the question within the incarnation.
    needed, wanted : int
        Tokens without which a request is refused, and that are of use.
    demand : float
        Tokens a second that are asked for at the borrower.
    rank : int
        Of the request that waits; 0 is the most urgent.
    """

    host: str
    epoch: int
    number: int
    workspace: str
    needed: Tokens
    wanted: Tokens
    demand: Demand
    rank: int


class Loan(msgspec.Struct, frozen=True, array_like=True, tag="loan"):
    """Tokens that the lender has counted as spent; none where it has none to lend.

    Attributes
    ----------
    host, epoch, number : str, int, int
        Name the loan; one is taken at most once.
    answers : int
        Number of the question.
    tokens, left : int
        Lent, and still to be lent after it.
    """

    host: str
    epoch: int
    number: int
    answers: int
    workspace: str
    tokens: Tokens
    left: Tokens


class Receipt(msgspec.Struct, frozen=True, array_like=True, tag="receipt"):
    """A loan has come; ``number`` is the loan's."""

    host: str
    epoch: int
    number: int


class AgeAsk(msgspec.Struct, frozen=True, array_like=True, tag="age-ask"):
    """A restarted host asks how old its former statement can be.

    Attributes
    ----------
    host, number : str, int
        Who asks, and what names the question.
    epoch, sent : int, float
        Name the statement.
    """

    host: str
    number: int
    epoch: int
    sent: float


class Age(msgspec.Struct, frozen=True, array_like=True, tag="age"):
    """The answer, sealed with the key of the host that answers.

    Attributes
    ----------
    seconds : float or None
        The statement is no older; None where that is not known.
    """

    host: str
    number: int
    seconds: float | None


Message = Ask | Loan | Receipt | AgeAsk | Age


def seal(message: Message, key: bytes) -> bytes:
    """Return the datagram for the host whose key it is."""
    body = codec.encode(message)
    return hmac.digest(key, body, "sha256")[:SEAL_BYTES] + body


def unseal(datagram: bytes, key: bytes) -> Message | codec.Malformed:
    """Return a message that was sealed for this host, or what is wrong with it."""
    if len(datagram) > DATAGRAM_BYTES:
        return codec.Malformed("too long")
    seal_, body = datagram[:SEAL_BYTES], datagram[SEAL_BYTES:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:SEAL_BYTES], seal_):
        return codec.Malformed("not sealed for this incarnation")
    message: Message | codec.Malformed = codec.decode(body, Message)
    return message
