"""The exchange desk: runs answers in greenlets of their own.

A caller that goes away leaves its exchange.  A run that nobody reads ends at
once, unless its caller chose the id and the runner has begun: then it goes on
for a while, because the caller is likely to ask again.  Ended answers are kept
for the replay window within a bounded memory; what had to be dropped earlier
leaves a mark, so that a request is never run anew under a billed id.
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

REPLAY_WINDOW_SECONDS: Final = 600.0
REPLAY_BYTES: Final = 4 * 1024 * 1024
REPLAY_ANSWERS: Final = 10_000
ABANDON_SECONDS: Final = 20.0
OVERHEAD_BYTES: Final = 400
CHUNK_OVERHEAD_BYTES: Final = 64

logger = logging.getLogger(__name__)
Run = Callable[[Exchange], Iterator[Piece]]


class Stopped(gevent.GreenletExit):  # type: ignore[misc]
    """The run is to end before its answer is whole."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True)
class Mark:
    """That a request ended, and what it asked."""

    ended_at: float
    fingerprint: str


class ExchangeManager:
    """The exchanges of one daemon."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tasks_by_request: dict[str, Greenlet] = {}
        self._running_by_request: dict[str, Exchange] = {}
        self._marks_by_request: OrderedDict[str, Mark] = OrderedDict()
        self._kept_by_request: OrderedDict[str, Exchange] = OrderedDict()
        self._kept_bytes = 0

    @property
    def in_flight(self) -> int:
        """Answers under way."""
        return len(self._running_by_request)

    def open(
        self, request: str, fingerprint: str, keyed: bool, run: Run
    ) -> Reader | Refused | Failed:
        """Join the run of a request, or start it.

        Parameters
        ----------
        request, fingerprint : str
            The request, and the hash of what it asks.
        keyed : bool
            Whether the request may come again.
        run : callable
            Yields the pieces of the answer.
        """
        found = self.find(request, fingerprint)
        if found is None:
            found = self._start(request, fingerprint, keyed, run)
        if isinstance(found, Exchange):
            return OwnReader(found, self._left)
        return found

    def find(
        self, request: str, fingerprint: str
    ) -> Exchange | Refused | Failed | None:
        """Return the exchange of a request, None where there is none here."""
        self._forget()
        exchange = self._running_by_request.get(request)
        stands = exchange or self._marks_by_request.get(request)
        if stands is None:
            return None
        if stands.fingerprint != fingerprint:
            return refuse(Reason.KEY_REUSED)
        exchange = exchange or self._kept_by_request.get(request)
        if exchange is None or exchange.first > 0:
            return fail(Reason.ANSWER_NOT_KEPT, Ran.RAN)
        return exchange

    def stop_all(self) -> list[str]:
        """End every run, shielded ones too; return the ids of their requests."""
        requests = list(self._tasks_by_request)
        for task in list(self._tasks_by_request.values()):
            task.kill(Stopped(Reason.DRAINING), block=False)
        return requests

    def _start(self, request: str, fingerprint: str, keyed: bool, run: Run) -> Exchange:
        exchange = Exchange(request, fingerprint, kept=keyed)
        self._running_by_request[request] = exchange
        task = gevent.spawn(self._run, exchange, run)
        self._tasks_by_request[request] = task
        return exchange

    def _run(self, exchange: Exchange, run: Run) -> None:
        """Carry the pieces over; the body of the run's greenlet."""
        try:
            with closing(run(exchange)) as pieces:  # type: ignore[type-var]
                for piece in pieces:
                    exchange.put(piece)
        except Stopped as stopped:
            exchange.end(fail(stopped.reason, _ran(exchange)))
        except Exception:
            logger.exception("a run ended by an error")
            exchange.end(fail(Reason.INTERNAL, _ran(exchange)))
        finally:
            self._ended(exchange)

    def _ended(self, exchange: Exchange) -> None:
        del self._running_by_request[exchange.request]
        del self._tasks_by_request[exchange.request]
        outcome = exchange.outcome()
        if not exchange.keyed or isinstance(outcome, Refused):
            return
        if outcome is not None and outcome.ran is Ran.NOT_RUN:
            return
        request = exchange.request
        self._marks_by_request[request] = Mark(self._clock.now(), exchange.fingerprint)
        if exchange.kept:
            self._kept_by_request[request] = exchange
            self._kept_bytes += size_of(exchange)
        self._forget()

    def _forget(self) -> None:
        """Drop what is older than the window, then texts beyond the memory."""
        before = self._clock.now() - REPLAY_WINDOW_SECONDS
        while self._marks_by_request:
            request, mark = next(iter(self._marks_by_request.items()))
            few = len(self._marks_by_request) <= REPLAY_ANSWERS
            if mark.ended_at >= before and few:
                break
            del self._marks_by_request[request]
            self._drop(request)
        while self._kept_bytes > REPLAY_BYTES:
            self._drop(next(iter(self._kept_by_request)))

    def _drop(self, request: str) -> None:
        exchange = self._kept_by_request.pop(request, None)
        if exchange is not None:
            self._kept_bytes -= size_of(exchange)

    def _left(self, exchange: Exchange) -> None:
        """Act on a reader that went away; called in the hub as well."""
        if exchange.readers or exchange.ended or exchange.runs_unattended:
            return
        if exchange.keyed and exchange.dispatched:
            gevent.spawn_later(
                ABANDON_SECONDS, self._abandon, exchange, exchange.attach_count
            )
        else:
            self._stop(exchange)

    def _abandon(self, exchange: Exchange, visits: int) -> None:
        if exchange.attach_count == visits and not exchange.ended:
            self._stop(exchange)

    def _stop(self, exchange: Exchange) -> None:
        task = self._tasks_by_request.get(exchange.request)
        if task is not None and not exchange.runs_unattended:
            task.kill(Stopped(Reason.CALLER_GONE), block=False)


class OwnReader(Reader):
    """A reader that tells the desk when it leaves."""

    def __init__(self, exchange: Exchange, left: Callable[[Exchange], None]) -> None:
        super().__init__(exchange)
        self._left = left
        self.__enter__()

    def close(self) -> None:
        """Leave; a second call does nothing."""
        if not self.gone:
            super().close()
            self._left(self._exchange)


def size_of(exchange: Exchange) -> int:
    """Return the memory of an ended answer, in bytes."""
    chunks = CHUNK_OVERHEAD_BYTES * len(exchange.texts)
    return OVERHEAD_BYTES + exchange.bytes + chunks


def _ran(exchange: Exchange) -> Ran:
    return Ran.UNKNOWN if exchange.dispatched else Ran.NOT_RUN
