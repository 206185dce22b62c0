"""Messages with which a retry locates its answer at another router."""

from __future__ import annotations

import msgspec


class AnswerLocation(msgspec.Struct, frozen=True, array_like=True):
    """Where a request is answered.

    Attributes
    ----------
    host, holder : str
        Host of the router, and its incarnation.
    fingerprint : str
        Hash of the request's path and body.
    runner, attempt : str
        Runner and id of the attempt; empty before the dispatch.
    start : int
        Index of the first token of the attempt.
    payer, isolated : str, bool
        Holder whose grants pay for the attempt, and whether it spends isolated tokens,
        for which no witness acknowledges the intent.
    """

    host: str
    holder: str
    fingerprint: str
    runner: str = ""
    attempt: str = ""
    start: int = 0
    payer: str = ""
    isolated: bool = False


class Enroll(msgspec.Struct, frozen=True, array_like=True, tag="enroll"):
    """Registers who answers a request, at the request's home; answered by ``Enrolled``.

    Attributes
    ----------
    replaces : str
        Incarnation whose registration this one replaces; empty for none.
    """

    request: str
    place: AnswerLocation
    replaces: str = ""


class Enrolled(msgspec.Struct, frozen=True, array_like=True, tag="enrolled"):
    """The registration in force; None if the sender's own was accepted."""

    other: AnswerLocation | None


class ReadAnswer(msgspec.Struct, frozen=True, array_like=True, tag="read-answer"):
    """Request for an answer from token ``index`` on; answered by ``AnswerPart``."""

    request: str
    fingerprint: str
    index: int


class AnswerEnd(msgspec.Struct, frozen=True, array_like=True):
    """How an answer ended.

    Attributes
    ----------
    tokens : int
        Billed tokens of a complete answer.
    reason : str
        Reason of the failure; empty if the answer is complete.
    """

    prompt_tokens: int
    completion_tokens: int
    tokens: int
    reason: str = ""
    detail: str = ""
    ran: str = ""


class AnswerPart(msgspec.Struct, frozen=True, array_like=True, tag="answer-part"):
    """Tokens of an answer, and its end if it has ended.

    Attributes
    ----------
    known : bool
        Whether the router has the answer.
    """

    known: bool
    texts: tuple[str, ...] = ()
    end: AnswerEnd | None = None


RetryMessage = Enroll | Enrolled | ReadAnswer | AnswerPart
