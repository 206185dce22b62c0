"""Exchanges of one daemon: each answer is produced in a greenlet and kept for retries.

A caller that disconnects detaches from its exchange.  A run without readers is
stopped at once, unless the caller chose the request id and the call may have reached
a runner.  Such a run continues for ``UNREAD_RUN_SECONDS``, because the caller is
likely to retry.  Ended answers are kept for ``KEPT_ANSWER_SECONDS`` within a
bounded amount of memory.  If an answer is dropped earlier, a record of its request
remains, so that a request is never run again under an id that is already billed.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import closing
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import Greenlet

from godwitrudder.clock import Clock
from godwitrudder.request.answer import Piece
from godwitrudder.request.exchange import Exchange, Reader
from godwitrudder.request.outcome import (
    Failed,
    Ran,
    Reason,
    Refused,
    fail,
    refuse,
)

KEPT_ANSWER_SECONDS: Final = 600.0
MAX_KEPT_BYTES: Final = 4 * 1024 * 1024
MAX_ENDED_REQUESTS: Final = 10_000
UNREAD_RUN_SECONDS: Final = 20.0
ANSWER_OVERHEAD_BYTES: Final = 400
CHUNK_OVERHEAD_BYTES: Final = 64

logger = logging.getLogger(__name__)
AnswerSource = Callable[[Exchange], Iterator[Piece]]


class RunStopped(gevent.GreenletExit):  # type: ignore[misc]
    """Stops a run before its answer is complete."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True)
class EndedRequest:
    """A request that ended: its time in clock seconds, and the hash of its content."""

    ended_at: float
    fingerprint: str


class ExchangeManager:
    """Starts, finds, keeps and stops the exchanges of one daemon."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tasks_by_request: dict[str, Greenlet] = {}
        self._running_by_request: dict[str, Exchange] = {}
        self._ended_by_request: OrderedDict[str, EndedRequest] = OrderedDict()
        self._kept_by_request: OrderedDict[str, Exchange] = OrderedDict()
        self._kept_bytes = 0

    @property
    def in_flight(self) -> int:
        """Number of answers that are being produced."""
        return len(self._running_by_request)

    def open(
        self, request: str, fingerprint: str, keyed: bool, run: AnswerSource
    ) -> Reader | Refused | Failed:
        """Attach a reader to the run of a request; start the run if there is none.

        Parameters
        ----------
        request, fingerprint : str
            The id of the request, and the hash of what it asks.
        keyed : bool
            Whether the caller chose the id and may therefore retry the request.
        run : callable
            Yields the pieces of the answer.

        Returns
        -------
        Reader, Refused or Failed
            A refusal if the id was used for another request, a failure if the start
            of the answer is no longer kept.
        """
        found = self.find(request, fingerprint)
        if found is None:
            found = self._start(request, fingerprint, keyed, run)
        if isinstance(found, Exchange):
            return NotifyingReader(found, self._reader_left)
        return found

    def find(
        self, request: str, fingerprint: str
    ) -> Exchange | Refused | Failed | None:
        """Return the exchange of a request, or None if this daemon has none.

        Returns a refusal or a failure under the same conditions as ``open``.
        """
        self._evict()
        exchange = self._running_by_request.get(request)
        known = exchange or self._ended_by_request.get(request)
        if known is None:
            return None
        if known.fingerprint != fingerprint:
            return refuse(Reason.KEY_REUSED)
        exchange = exchange or self._kept_by_request.get(request)
        if exchange is None or exchange.first > 0:
            return fail(Reason.ANSWER_NOT_KEPT, Ran.RAN)
        return exchange

    def stop_all(self) -> list[str]:
        """Stop every run, also those without readers; return their request ids."""
        requests = list(self._tasks_by_request)
        for task in list(self._tasks_by_request.values()):
            task.kill(RunStopped(Reason.DRAINING), block=False)
        return requests

    def _start(
        self, request: str, fingerprint: str, keyed: bool, run: AnswerSource
    ) -> Exchange:
        exchange = Exchange(request, fingerprint, kept=keyed)
        self._running_by_request[request] = exchange
        task = gevent.spawn(self._run, exchange, run)
        self._tasks_by_request[request] = task
        return exchange

    def _run(self, exchange: Exchange, run: AnswerSource) -> None:
        """Copy the pieces of a run to its exchange; runs in its own greenlet."""
        try:
            with closing(run(exchange)) as pieces:  # type: ignore[type-var]
                for piece in pieces:
                    exchange.put(piece)
        except RunStopped as stopped:
            exchange.end(fail(stopped.reason, _ran_if_incomplete(exchange)))
        except Exception:
            logger.exception("run raised an exception; its request fails")
            exchange.end(fail(Reason.INTERNAL, _ran_if_incomplete(exchange)))
        finally:
            self._record_end(exchange)

    def _record_end(self, exchange: Exchange) -> None:
        del self._running_by_request[exchange.request]
        del self._tasks_by_request[exchange.request]
        outcome = exchange.outcome()
        if not exchange.keyed or isinstance(outcome, Refused):
            return
        if outcome is not None and outcome.ran is Ran.NOT_RUN:
            return
        request = exchange.request
        self._ended_by_request[request] = EndedRequest(
            self._clock.now(), exchange.fingerprint
        )
        if exchange.kept:
            self._kept_by_request[request] = exchange
            self._kept_bytes += answer_bytes(exchange)
        self._evict()

    def _evict(self) -> None:
        """Drop requests beyond the age and count limits, then answers beyond memory."""
        before = self._clock.now() - KEPT_ANSWER_SECONDS
        while self._ended_by_request:
            request, ended = next(iter(self._ended_by_request.items()))
            within_count = len(self._ended_by_request) <= MAX_ENDED_REQUESTS
            if ended.ended_at >= before and within_count:
                break
            del self._ended_by_request[request]
            self._drop_answer(request)
        while self._kept_bytes > MAX_KEPT_BYTES:
            self._drop_answer(next(iter(self._kept_by_request)))

    def _drop_answer(self, request: str) -> None:
        exchange = self._kept_by_request.pop(request, None)
        if exchange is not None:
            self._kept_bytes -= answer_bytes(exchange)

    def _reader_left(self, exchange: Exchange) -> None:
        """Stop a run that has no readers left, now or after a delay.

        Also called in the hub, where nothing may block.
        """
        if exchange.readers or exchange.ended or exchange.runs_unattended:
            return
        if exchange.keyed and exchange.dispatched:
            gevent.spawn_later(
                UNREAD_RUN_SECONDS,
                self._stop_if_unread,
                exchange,
                exchange.attach_count,
            )
        else:
            self._stop(exchange)

    def _stop_if_unread(self, exchange: Exchange, attach_count: int) -> None:
        if exchange.attach_count == attach_count and not exchange.ended:
            self._stop(exchange)

    def _stop(self, exchange: Exchange) -> None:
        task = self._tasks_by_request.get(exchange.request)
        if task is not None and not exchange.runs_unattended:
            task.kill(RunStopped(Reason.CALLER_GONE), block=False)


class NotifyingReader(Reader):
    """A reader that calls ``on_close`` when it detaches from its exchange."""

    def __init__(
        self, exchange: Exchange, on_close: Callable[[Exchange], None]
    ) -> None:
        super().__init__(exchange)
        self._on_close = on_close
        self.__enter__()

    def close(self) -> None:
        """Detach from the exchange; a second call does nothing."""
        if not self.gone:
            super().close()
            self._on_close(self._exchange)


def answer_bytes(exchange: Exchange) -> int:
    """Return the approximate memory of an ended answer, in bytes."""
    chunks = CHUNK_OVERHEAD_BYTES * len(exchange.texts)
    return ANSWER_OVERHEAD_BYTES + exchange.bytes + chunks


def _ran_if_incomplete(exchange: Exchange) -> Ran:
    return Ran.UNKNOWN if exchange.dispatched else Ran.NOT_RUN
