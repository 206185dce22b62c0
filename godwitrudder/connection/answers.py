"""Messages by which a retry finds its answer at another router."""

from __future__ import annotations

import msgspec


class AnswerLocation(msgspec.Struct, frozen=True, array_like=True):
    """Where a request is answered.

    Attributes
    ----------
    host, holder : str
        The router, and its incarnation.
    fingerprint : str
        Hash of what the request asks.
    runner, attempt : str
        Where the request was dispatched; empty before.
    start : int
        Index of the first token of the attempt.
    payer, isolated : str, bool
        The holder and the part of its grants that pay for the attempt.
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
    """Note at a request's home who answers it; answered by ``Enrolled``.

    Attributes
    ----------
    replaces : str
        Incarnation whose place this one takes; empty for none.
    """

    request: str
    place: AnswerLocation
    replaces: str = ""


class Enrolled(msgspec.Struct, frozen=True, array_like=True, tag="enrolled"):
    """The place that stands; None where the asker's own was noted."""

    other: AnswerLocation | None


class ReadAnswer(msgspec.Struct, frozen=True, array_like=True, tag="read-answer"):
    """Ask for an answer from token ``index`` on; answered by ``AnswerPart``."""

    request: str
    fingerprint: str
    index: int


class AnswerEnd(msgspec.Struct, frozen=True, array_like=True):
    """How an answer ended.

    Attributes
    ----------
    reason : str
        Empty where it is whole.
    tokens : int
        Billed tokens of a whole answer.
    """

    prompt_tokens: int
    completion_tokens: int
    tokens: int
    reason: str = ""
    detail: str = ""
    ran: str = ""


class AnswerPart(msgspec.Struct, frozen=True, array_like=True, tag="answer-part"):
    """Tokens of an answer, and its end once it has ended.

    Attributes
    ----------
    known : bool
        Whether the router has the answer.
    """

    known: bool
    texts: tuple[str, ...] = ()
    end: AnswerEnd | None = None


RetryMessage = Enroll | Enrolled | ReadAnswer | AnswerPart
