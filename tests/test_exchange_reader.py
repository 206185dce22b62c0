"""``Reader.first`` consumes no piece; ``batches`` then yields every piece once.

The test fails if pieces that are present at the first read get lost or repeated.
"""

from __future__ import annotations

import pytest

from godwitrudder.request.answer import Chunk, Piece, Usage
from godwitrudder.request.exchange import Exchange, Reader
from godwitrudder.request.outcome import Completed

PIECES: list[Piece] = [Chunk(0, "a"), Chunk(1, "b"), Usage(1, 2), Completed(3)]


@pytest.mark.parametrize("pieces_before_peek", range(1, len(PIECES) + 1))
def test_the_first_peek_consumes_nothing(pieces_before_peek: int) -> None:
    """The pieces present at the first peek are read once and in order."""
    exchange = Exchange("r", "f", kept=False)
    with Reader(exchange) as reader:
        for piece in PIECES[:pieces_before_peek]:
            exchange.put(piece)
        assert reader.first() == PIECES[0]
        for piece in PIECES[pieces_before_peek:]:
            exchange.put(piece)
        read = [piece for batch in reader.batches() for piece in batch]
    assert read == PIECES
