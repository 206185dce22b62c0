"""Counts the streams that a dead router left at the engines.

An engine goes on with a stream though its reader is gone.  Whoever closed the
dead router reads such a stream to its end, without ending it, and bills the
engine's own count.  A caller's retry may read the same stream meanwhile; both
bills carry the same count and the ledger takes the first.
"""

from __future__ import annotations

from collections.abc import Iterable
from types import TracebackType
from typing import Final, Self

import gevent
from gevent import Greenlet
from gevent.pool import Pool

from godwitrudder.connection.escrow import OpenIntent
from godwitrudder.connection.runner import Broken, RunnerLinks
from godwitrudder.process.ledger import Ledger
from godwitrudder.process.members import Members
from godwitrudder.process.metrics import Metrics
from godwitrudder.request.answer import Usage
from godwitrudder.version import records

READERS_MOST: Final = 16


class OrphanBiller:
    """Reads orphaned streams, so many at a time, as a context manager."""

    def __init__(
        self, links: RunnerLinks, members: Members, ledger: Ledger, metrics: Metrics
    ) -> None:
        self._links = links
        self._members = members
        self._ledger = ledger
        self._metrics = metrics
        self._pool = Pool(READERS_MOST)
        self._tasks: list[Greenlet] = []

    def __enter__(self) -> Self:
        """Nothing to start; readers start with the first closing."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the readers; the witness bills in full what is not counted."""
        gevent.killall(self._tasks)
        self._pool.kill()

    def bill_streams(self, holder: str, intents: Iterable[OpenIntent]) -> None:
        """Bill what a closed holder's dispatches come to, in the background."""
        task = gevent.spawn(self._count, holder, tuple(intents))
        self._tasks.append(task)

    def _count(self, holder: str, intents: tuple[OpenIntent, ...]) -> None:
        """Hand the intents to readers; waits while all are busy."""
        for intent in intents:
            if intent.attempt:
                self._pool.spawn(self._bill, holder, intent)
        self._tasks.remove(gevent.getcurrent())

    def _bill(self, holder: str, intent: OpenIntent) -> None:
        usage = self._read(intent)
        if isinstance(usage, Broken):
            self._metrics.orphans.labels("uncounted").inc()
            return
        tokens = usage.prompt_tokens + usage.completion_tokens
        bill = records.Bill(intent.request, intent.budget, holder, tokens)
        self._ledger.submit(intent.budget, bill)
        self._metrics.orphans.labels("counted").inc()

    def _read(self, intent: OpenIntent) -> Usage | Broken:
        """Read a stream to its end; the text is dropped."""
        runner = self._members.runners_by_id.get(intent.runner)
        if runner is None:
            return Broken(f"{intent.runner} is not in the host list", sent=False)
        for event in self._links.resume(runner.address, intent.attempt, 0):
            if isinstance(event, Usage | Broken):
                return event
        return Broken("the stream ended early", sent=True)
