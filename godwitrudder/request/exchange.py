"""A running answer that readers attach to.

The run writes pieces, any number of readers take them from any index.  So a
caller's retry joins the run that its first try started, and the answer is made
and billed once.  An exchange that cannot be asked for again keeps only what its
reader has not taken yet, and its run waits while that backlog is full.
"""

from __future__ import annotations

from collections.abc import Iterator
from types import TracebackType
from typing import Final, Self

from gevent.event import Event

from godwitrudder.request.answer import Chunk, Piece, ServiceAnswer
from godwitrudder.request.outcome import Completed, Failed, Refused

BACKLOG_CHUNKS: Final = 256
KEPT_BYTES: Final = 256 * 1024


class Exchange:
    """One answer under way or kept for replay.

    Parameters
    ----------
    request, fingerprint : str
        Which request this answers, and the hash of what it asked.
    kept : bool
        Whether the whole answer is kept for later readers.

    Attributes
    ----------
    keyed : bool
        Whether the caller may ask again under the same id.
    dispatched : bool
        Whether a byte may have reached a runner.
    shielded : bool
        Whether the run goes on though nobody reads.
    visits : int
        How often a reader came, here or at another daemon.
    """

    def __init__(self, request: str, fingerprint: str, kept: bool) -> None:
        self.request = request
        self.fingerprint = fingerprint
        self.kept = kept
        self.first = 0
        self.texts: list[str] = []
        self.tail: list[Piece] = []
        self.bytes = 0
        self.readers: set[Reader] = set()
        self.attach_count = 0
        self.keyed = kept
        self.dispatched = False
        self.runs_unattended = False
        self.ended = False
        self._grown = Event()
        self._taken = Event()

    @property
    def next(self) -> int:
        """Index of the next chunk."""
        return self.first + len(self.texts)

    def put(self, piece: Piece) -> None:
        """Add a piece; waits while the reader is too far behind."""
        if isinstance(piece, Chunk):
            self._put_chunk(piece)
        else:
            self.tail.append(piece)
            if isinstance(piece, ServiceAnswer):
                self.bytes += len(piece.body)
            self.ended = isinstance(piece, Completed | Failed | Refused)
        self.wake()

    def end(self, outcome: Failed | Refused) -> None:
        """End the answer unless it has ended."""
        if not self.ended:
            self.put(outcome)

    def wake(self) -> None:
        """Let the readers look again."""
        self._grown.set()
        self._grown.clear()

    def read(self, start: int, seconds: float | None) -> list[Piece]:
        """Return the pieces from chunk ``start`` on.

        Parameters
        ----------
        start : int
            Index of the first chunk wanted.
        seconds : float or None
            Longest wait for a piece; None waits for ever.
        """
        if not self._has(start):
            self._grown.wait(seconds)
        return list(self._from(start))

    def trim(self) -> None:
        """Drop the chunks that every reader has taken, unless they are kept."""
        index = min((reader.index for reader in self.readers), default=self.first)
        if self.kept or index <= self.first:
            return
        del self.texts[: index - self.first]
        self.first = index
        self._taken.set()

    def outcome(self) -> Completed | Failed | Refused | None:
        """Return how the answer ended, None while it runs."""
        last = self.tail[-1] if self.ended else None
        return last if isinstance(last, Completed | Failed | Refused) else None

    def _put_chunk(self, chunk: Chunk) -> None:
        assert chunk.index == self.next, "a chunk was skipped"
        self.texts.append(chunk.text)
        self.bytes += len(chunk.text)
        if self.bytes > KEPT_BYTES:
            self.kept = False
        while not self.kept and len(self.texts) > BACKLOG_CHUNKS:
            self._taken.clear()
            self.wake()
            self._taken.wait()

    def _has(self, start: int) -> bool:
        return start < self.next or self.ended

    def _from(self, start: int) -> Iterator[Piece]:
        offset = max(0, start - self.first)
        for index, text in enumerate(self.texts[offset:], self.first + offset):
            yield Chunk(index, text)
        if self.ended:
            yield from self.tail


class Reader:
    """One reader of an exchange, as a context manager.

    Parameters
    ----------
    exchange : Exchange
        What to read.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self.index = exchange.first
        self._ahead: list[Piece] = []
        self._done = False
        self.gone = False

    def __enter__(self) -> Self:
        """Count as a reader."""
        self._exchange.readers.add(self)
        self._exchange.attach_count += 1
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Leave."""
        self.close()

    def close(self) -> None:
        """Leave; a second call does nothing."""
        if not self.gone:
            self.gone = True
            self._exchange.readers.discard(self)
            self._exchange.wake()

    def first(self) -> Piece | None:
        """Return the first piece without taking it; None where it left."""
        self._ahead = self._take()
        return self._ahead[0] if self._ahead else None

    def batches(self) -> Iterator[list[Piece]]:
        """Yield what is there, again and again, to the outcome."""
        while self._ahead or not self._done:
            pieces = self._ahead or self._take()
            self._ahead = []
            if not pieces:
                return
            yield pieces

    def _take(self) -> list[Piece]:
        while not self.gone:
            pieces = self._exchange.read(self.index, None)
            if not pieces:
                continue
            self.index = self._exchange.next
            self._exchange.trim()
            self._done = self._exchange.ended
            return pieces
        return []
