"""Bills the streams that a dead router left at the engines.

An engine continues a stream even if its reader is gone.  The witness that closed the
dead router reads such a stream to its end, without cancelling it, and bills the
engine's token count.  A caller's retry may read the same stream at the same time;
both bills carry the same count, and the ledger applies only the first.
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

MAX_READERS: Final = 16


class OrphanBiller:
    """Context manager that reads up to ``MAX_READERS`` orphaned streams at a time."""

    def __init__(
        self, links: RunnerLinks, members: Members, ledger: Ledger, metrics: Metrics
    ) -> None:
        self._links = links
        self._members = members
        self._ledger = ledger
        self._metrics = metrics
        self._pool = Pool(MAX_READERS)
        self._tasks: list[Greenlet] = []

    def __enter__(self) -> Self:
        """Start nothing; readers start when the first holder is closed."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the readers; the witness bills uncounted streams in full."""
        gevent.killall(self._tasks)
        self._pool.kill()

    def bill_streams(self, holder: str, intents: Iterable[OpenIntent]) -> None:
        """Bill the open dispatches of a closed holder in the background."""
        task = gevent.spawn(self._bill_intents, holder, tuple(intents))
        self._tasks.append(task)

    def _bill_intents(self, holder: str, intents: tuple[OpenIntent, ...]) -> None:
        """Start a reader for each intent; waits while all readers are busy."""
        for intent in intents:
            if intent.attempt:
                self._pool.spawn(self._bill_intent, holder, intent)
        self._tasks.remove(gevent.getcurrent())

    def _bill_intent(self, holder: str, intent: OpenIntent) -> None:
        usage = self._read_usage(intent)
        if isinstance(usage, Broken):
            self._metrics.orphans.labels("uncounted").inc()
            return
        tokens = usage.prompt_tokens + usage.completion_tokens
        bill = records.Bill(intent.request, intent.budget, holder, tokens)
        self._ledger.submit(intent.budget, bill)
        self._metrics.orphans.labels("counted").inc()

    def _read_usage(self, intent: OpenIntent) -> Usage | Broken:
        """Read a stream to its end, discard the text and return the token usage."""
        runner = self._members.runners_by_id.get(intent.runner)
        if runner is None:
            return Broken(f"{intent.runner} is not in the host list", sent=False)
        for event in self._links.resume(runner.address, intent.attempt, 0):
            if isinstance(event, Usage | Broken):
                return event
        return Broken("the stream ended early", sent=True)
