"""Relays answers of other routers and takes them over if the router is gone.

A relayed answer is read in parts by token index, so a lost part can be requested
again.  If the router is gone, this router resumes the stream at the engine under the
same attempt id.  It bills the engine's token count to the grant that the dead router
reserved from.  The ledger applies only the first bill of a request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

from msgspec import structs

from godwitrudder.connection.answers import (
    AnswerEnd,
    AnswerLocation,
    AnswerPart,
    ReadAnswer,
)
from godwitrudder.connection.escrow import Found
from godwitrudder.connection.peer import Handlers, PeerLinks
from godwitrudder.connection.runner import Broken, RunnerLinks
from godwitrudder.process.exchanges import ExchangeManager
from godwitrudder.process.homes import Homes
from godwitrudder.process.ledger import Ledger
from godwitrudder.process.members import Members
from godwitrudder.process.witness import WitnessService
from godwitrudder.request.admission import Reservation
from godwitrudder.request.answer import Call, Chunk, Piece, Usage
from godwitrudder.request.exchange import Exchange
from godwitrudder.request.outcome import (
    Completed,
    Failed,
    Ran,
    Reason,
    Refused,
    fail,
    refuse,
)
from godwitrudder.version import records

READ_WAIT_SECONDS: Final = 1.0
READ_TIMEOUT_SECONDS: Final = 2.5
# Consecutive reads without an answer after which a router counts as gone.
MAX_TRIES: Final = 2

StartAnswer = Callable[[Call, Exchange], Iterator[Piece]]


class Takeover:
    """Relays answers that other routers started, or resumes them at the engines.

    Parameters
    ----------
    exchanges : ExchangeManager
        Answers of this router, which the other routers read.
    """

    def __init__(
        self,
        exchanges: ExchangeManager,
        homes: Homes,
        peers: PeerLinks,
        links: RunnerLinks,
        members: Members,
        ledger: Ledger,
        witness: WitnessService,
    ) -> None:
        self._exchanges = exchanges
        self._homes = homes
        self._peers = peers
        self._links = links
        self._members = members
        self._ledger = ledger
        self._witness = witness

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages from other routers."""
        self._homes.register(handlers)
        handlers.register(ReadAnswer, self.handle_read)

    def record_dispatch(
        self, call: Call, runner: str, attempt: str, start: int, reserved: Reservation
    ) -> None:
        """Record the dispatch and its payer at the home daemons of the request."""
        self._homes.record_dispatch(
            call.request, call.fingerprint, runner, attempt, start, reserved
        )

    def answer(
        self, call: Call, exchange: Exchange, start_answer: StartAnswer
    ) -> Iterator[Piece]:
        """Yield the answer that another router started, or start a new one.

        Parameters
        ----------
        start_answer : callable
            Yields the missing pieces of an answer that this router produces.
        """
        location = self._homes.enroll(call.request, call.fingerprint)
        if location is not None and location.fingerprint != call.fingerprint:
            yield refuse(Reason.KEY_REUSED)
            return
        if location is not None:
            yield from self._relay(call, location, exchange)
            if exchange.tail:
                return
            self._homes.enroll(call.request, call.fingerprint, location.holder)
            yield from self._resume(call, location, exchange)
            if exchange.tail:
                return
        yield from start_answer(call, exchange)

    def handle_read(self, message: ReadAnswer) -> AnswerPart:
        """Return the available part of an answer.

        Waits up to ``READ_WAIT_SECONDS`` for more pieces.
        """
        exchange = self._exchanges.find(message.request, message.fingerprint)
        if exchange is None:
            return AnswerPart(False)
        if isinstance(exchange, Refused | Failed):
            return AnswerPart(True, (), _answer_end(exchange, Usage(0, 0)))
        return _answer_part(exchange, message.index)

    def _relay(
        self, call: Call, location: AnswerLocation, exchange: Exchange
    ) -> Iterator[Piece]:
        """Yield another router's answer; stop without an outcome if it is gone."""
        tries = 0
        while tries < MAX_TRIES:
            message = ReadAnswer(call.request, call.fingerprint, exchange.next)
            part = self._peers.ask(location.host, message, READ_TIMEOUT_SECONDS)
            if not isinstance(part, AnswerPart):
                tries += 1
                continue
            if not part.known:
                return
            tries = 0
            for index, text in enumerate(part.texts, exchange.next):
                yield Chunk(index, text)
            if part.end is not None and _not_run(part.end):
                return
            if part.end is not None:
                yield from _end_pieces(part.end)
                return

    def _resume(
        self, call: Call, location: AnswerLocation, exchange: Exchange
    ) -> Iterator[Piece]:
        """Yield the rest of a dead router's answer from the engine, if available."""
        found = self._locate(call, location)
        runner = self._members.runners_by_id.get(found.runner)
        if runner is None or found.start > exchange.next:
            return
        exchange.dispatched = True
        for event in self._links.resume(runner.address, found.attempt, exchange.next):
            if isinstance(event, Broken):
                return
            yield event
            if isinstance(event, Usage):
                tokens = event.prompt_tokens + event.completion_tokens
                self._bill(call, found, tokens)
                yield Completed(tokens)

    def _locate(self, call: Call, location: AnswerLocation) -> AnswerLocation:
        """Return where a request was dispatched, from its home or a witness."""
        if location.attempt:
            return location
        found: Found = self._witness.find(call.request)
        if not found.intents:
            return location
        intent = found.intents[0]
        return structs.replace(
            location, payer=found.holder, runner=intent.runner, attempt=intent.attempt
        )

    def _bill(self, call: Call, location: AnswerLocation, tokens: int) -> None:
        bill = records.Bill(
            call.request, call.budget, location.payer, tokens, location.isolated
        )
        self._ledger.submit(call.budget, bill)


def _answer_part(exchange: Exchange, index: int) -> AnswerPart:
    exchange.attach_count += 1
    pieces = exchange.read(index, READ_WAIT_SECONDS)
    if exchange.first > index:
        return AnswerPart(
            True, (), _answer_end(fail(Reason.ANSWER_NOT_KEPT, Ran.RAN), Usage(0, 0))
        )
    texts = tuple(piece.text for piece in pieces if isinstance(piece, Chunk))
    outcome = exchange.outcome()
    if outcome is None or index + len(texts) < exchange.next:
        return AnswerPart(True, texts)
    counts = [piece for piece in pieces if isinstance(piece, Usage)]
    return AnswerPart(True, texts, _answer_end(outcome, *counts[:1] or [Usage(0, 0)]))


def _answer_end(outcome: Completed | Failed | Refused, usage: Usage) -> AnswerEnd:
    if isinstance(outcome, Completed):
        return AnswerEnd(usage.prompt_tokens, usage.completion_tokens, outcome.tokens)
    return AnswerEnd(0, 0, 0, outcome.reason, outcome.detail, outcome.ran)


def _not_run(end: AnswerEnd) -> bool:
    """Whether the other router did not run the request, so this router may.

    A reused key is passed on to the caller instead.
    """
    passed_on = ("", Reason.KEY_REUSED)
    return end.reason not in passed_on and end.ran == Ran.NOT_RUN


def _end_pieces(end: AnswerEnd) -> Iterator[Piece]:
    if not end.reason:
        yield Usage(end.prompt_tokens, end.completion_tokens)
        yield Completed(end.tokens)
    else:
        yield Failed(Reason(end.reason), end.detail, Ran(end.ran))
