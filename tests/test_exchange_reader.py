"""A reader gets the whole answer, however late its first read is."""

from __future__ import annotations

import pytest

from godwitrudder.request.answer import Chunk, Piece, Usage
from godwitrudder.request.exchange import Exchange, Reader
from godwitrudder.request.outcome import Completed

PIECES: list[Piece] = [Chunk(0, "a"), Chunk(1, "b"), Usage(1, 2), Completed(3)]


@pytest.mark.parametrize("before", range(1, len(PIECES) + 1))
def test_the_first_peek_consumes_nothing(before: int) -> None:
    """The pieces present at the first peek are read once and in order."""
    exchange = Exchange("r", "f", kept=False)
    with Reader(exchange) as reader:
        for piece in PIECES[:before]:
            exchange.put(piece)
        assert reader.first() == PIECES[0]
        for piece in PIECES[before:]:
            exchange.put(piece)
        read = [piece for batch in reader.batches() for piece in batch]
    assert read == PIECES
