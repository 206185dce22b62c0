"""An answer in progress that readers attach to.

The run writes pieces, and any number of readers read them from any index. A caller's
retry thus joins the run that its first try started, and the answer is produced and
billed once. An exchange that cannot be requested again keeps only the pieces that its
reader has not read yet, and its run blocks while that backlog is full.
"""

from __future__ import annotations

from collections.abc import Iterator
from types import TracebackType
from typing import Final, Self

from gevent.event import Event

from godwitrudder.request.answer import Chunk, Piece, ServiceAnswer
from godwitrudder.request.outcome import Completed, Failed, Refused

# Unread chunks above which a run blocks, unless its answer is kept.
BACKLOG_CHUNKS: Final = 256
# Largest answer that is kept.
KEPT_BYTES: Final = 256 * 1024


class Exchange:
    """One answer that is in progress or kept for replay.

    Parameters
    ----------
    request, fingerprint : str
        Id of the request, and the hash of its body.
    kept : bool
        Whether the whole answer is kept for later readers; False once the answer
        exceeds ``KEPT_BYTES``.

    Attributes
    ----------
    first : int
        Index of the oldest chunk kept.
    texts : list of str
        Texts of the chunks from index ``first`` on.
    tail : list of Piece
        Pieces after the last chunk; the outcome is the last one.
    keyed : bool
        Whether the caller may repeat the request under the same id.
    dispatched : bool
        Whether a byte may have reached a runner.
    runs_unattended : bool
        Whether the run continues without readers.
    attach_count : int
        Number of readers that attached so far, here or at another daemon.
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
        self._piece_added = Event()
        self._trimmed = Event()

    @property
    def next(self) -> int:
        """Index of the next chunk."""
        return self.first + len(self.texts)

    def put(self, piece: Piece) -> None:
        """Add a piece; block while more than ``BACKLOG_CHUNKS`` chunks are unread.

        An exchange whose answer is kept does not block.
        """
        if isinstance(piece, Chunk):
            self._put_chunk(piece)
        else:
            self.tail.append(piece)
            if isinstance(piece, ServiceAnswer):
                self.bytes += len(piece.body)
            self.ended = isinstance(piece, Completed | Failed | Refused)
        self.wake()

    def end(self, outcome: Failed | Refused) -> None:
        """End the answer with an outcome, unless it has ended."""
        if not self.ended:
            self.put(outcome)

    def wake(self) -> None:
        """Wake the readers that wait for a piece."""
        self._piece_added.set()
        self._piece_added.clear()

    def read(self, start: int, seconds: float | None) -> list[Piece]:
        """Return the pieces from chunk ``start`` on.

        Parameters
        ----------
        start : int
            Index of the first chunk to return.
        seconds : float or None
            Longest wait for a piece; None waits without limit.
        """
        if not self._available(start):
            self._piece_added.wait(seconds)
        return list(self._pieces_from(start))

    def trim(self) -> None:
        """Drop the chunks that every reader has read, unless they are kept."""
        index = min((reader.index for reader in self.readers), default=self.first)
        if self.kept or index <= self.first:
            return
        del self.texts[: index - self.first]
        self.first = index
        self._trimmed.set()

    def outcome(self) -> Completed | Failed | Refused | None:
        """Return the outcome of the answer, None while it is in progress."""
        last = self.tail[-1] if self.ended else None
        return last if isinstance(last, Completed | Failed | Refused) else None

    def _put_chunk(self, chunk: Chunk) -> None:
        assert chunk.index == self.next, "chunk index is out of sequence"
        self.texts.append(chunk.text)
        self.bytes += len(chunk.text)
        if self.bytes > KEPT_BYTES:
            self.kept = False
        while not self.kept and len(self.texts) > BACKLOG_CHUNKS:
            self._trimmed.clear()
            self.wake()
            self._trimmed.wait()

    def _available(self, start: int) -> bool:
        return start < self.next or self.ended

    def _pieces_from(self, start: int) -> Iterator[Piece]:
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
        The exchange to read.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self.index = exchange.first
        self._peeked: list[Piece] = []
        self._done = False
        self.gone = False

    def __enter__(self) -> Self:
        """Attach the reader."""
        self._exchange.readers.add(self)
        self._exchange.attach_count += 1
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Detach the reader."""
        self.close()

    def close(self) -> None:
        """Detach the reader; repeated calls have no effect."""
        if not self.gone:
            self.gone = True
            self._exchange.readers.discard(self)
            self._exchange.wake()

    def first(self) -> Piece | None:
        """Return the first piece without consuming it; None if the reader closed."""
        self._peeked = self._take()
        return self._peeked[0] if self._peeked else None

    def batches(self) -> Iterator[list[Piece]]:
        """Yield the available pieces repeatedly, up to the outcome."""
        while self._peeked or not self._done:
            pieces = self._peeked or self._take()
            self._peeked = []
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
