"""Answers of other routers: relayed while they live, taken over when they die.

A relayed answer is read in parts by index, so that a lost part is asked for
again.  When the router is gone, the stream goes on at the engine under its
attempt id; the engine's own count is billed to the grant that the dead router
reserved from, and the ledger takes the first bill of a request.
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
from godwitrudder.process.exchanges import ExchangeDesk
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

WAIT_SECONDS: Final = 1.0
ANSWER_SECONDS: Final = 2.5
TRIES: Final = 2

Anew = Callable[[Call, Exchange], Iterator[Piece]]


class Takeover:
    """Gets answers that other routers began.

    Parameters
    ----------
    exchanges : ExchangeDesk
        This router's own answers, for the others.
    """

    def __init__(
        self,
        exchanges: ExchangeDesk,
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
        """Answer the other routers."""
        self._homes.register(handlers)
        handlers.register(ReadAnswer, self.read)

    def record_dispatch(
        self, call: Call, runner: str, attempt: str, start: int, reserved: Reservation
    ) -> None:
        """Note at the request's homes where it runs and who pays."""
        self._homes.record_dispatch(
            call.request, call.fingerprint, runner, attempt, start, reserved
        )

    def answer(self, call: Call, exchange: Exchange, anew: Anew) -> Iterator[Piece]:
        """Yield the answer that another router began, or a new one.

        Parameters
        ----------
        anew : callable
            Yields what the exchange lacks of an answer that this router makes.
        """
        place = self._homes.enroll(call.request, call.fingerprint)
        if place is not None and place.fingerprint != call.fingerprint:
            yield refuse(Reason.KEY_REUSED)
            return
        if place is not None:
            yield from self._relay(call, place, exchange)
            if exchange.tail:
                return
            self._homes.enroll(call.request, call.fingerprint, place.holder)
            yield from self._resume(call, place, exchange)
            if exchange.tail:
                return
        yield from anew(call, exchange)

    def read(self, message: ReadAnswer) -> AnswerPart:
        """Return what there is of an answer; waits a while for more."""
        exchange = self._exchanges.find(message.request, message.fingerprint)
        if exchange is None:
            return AnswerPart(False)
        if isinstance(exchange, Refused | Failed):
            return AnswerPart(True, (), _end(exchange, Usage(0, 0)))
        return _part(exchange, message.index)

    def _relay(
        self, call: Call, place: AnswerLocation, exchange: Exchange
    ) -> Iterator[Piece]:
        """Yield another router's answer; ends without an outcome if it is gone."""
        tries = 0
        while tries < TRIES:
            message = ReadAnswer(call.request, call.fingerprint, exchange.next)
            part = self._peers.ask(place.host, message, ANSWER_SECONDS)
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
                yield from _pieces(part.end)
                return

    def _resume(
        self, call: Call, place: AnswerLocation, exchange: Exchange
    ) -> Iterator[Piece]:
        """Yield the rest of a gone router's answer from the engine, if it has it."""
        found = self._found(call, place)
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

    def _found(self, call: Call, place: AnswerLocation) -> AnswerLocation:
        """Return where a request was dispatched, by its home or a witness."""
        if place.attempt:
            return place
        found: Found = self._witness.find(call.request)
        if not found.intents:
            return place
        intent = found.intents[0]
        return structs.replace(
            place, payer=found.holder, runner=intent.runner, attempt=intent.attempt
        )

    def _bill(self, call: Call, place: AnswerLocation, tokens: int) -> None:
        bill = records.Bill(
            call.request, call.budget, place.payer, tokens, place.isolated
        )
        self._ledger.submit(call.budget, bill)


def _part(exchange: Exchange, index: int) -> AnswerPart:
    exchange.attach_count += 1
    pieces = exchange.read(index, WAIT_SECONDS)
    if exchange.first > index:
        return AnswerPart(
            True, (), _end(fail(Reason.ANSWER_NOT_KEPT, Ran.RAN), Usage(0, 0))
        )
    texts = tuple(piece.text for piece in pieces if isinstance(piece, Chunk))
    outcome = exchange.outcome()
    if outcome is None or index + len(texts) < exchange.next:
        return AnswerPart(True, texts)
    counts = [piece for piece in pieces if isinstance(piece, Usage)]
    return AnswerPart(True, texts, _end(outcome, *counts[:1] or [Usage(0, 0)]))


def _end(outcome: Completed | Failed | Refused, usage: Usage) -> AnswerEnd:
    if isinstance(outcome, Completed):
        return AnswerEnd(usage.prompt_tokens, usage.completion_tokens, outcome.tokens)
    return AnswerEnd(0, 0, 0, outcome.reason, outcome.detail, outcome.ran)


def _not_run(end: AnswerEnd) -> bool:
    """Whether the other router never began, so that this one may."""
    own = ("", Reason.KEY_REUSED)
    return end.reason not in own and end.ran == Ran.NOT_RUN


def _pieces(end: AnswerEnd) -> Iterator[Piece]:
    if not end.reason:
        yield Usage(end.prompt_tokens, end.completion_tokens)
        yield Completed(end.tokens)
    else:
        yield Failed(Reason(end.reason), end.detail, Ran(end.ran))
