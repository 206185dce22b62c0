"""A reader gets the whole answer, however late it first looks."""

from __future__ import annotations

import pytest

from godwitrudder.request.answer import Chunk, Piece, Usage
from godwitrudder.request.exchange import Exchange, Reader
from godwitrudder.request.outcome import Completed

PIECES: list[Piece] = [Chunk(0, "a"), Chunk(1, "b"), Usage(1, 2), Completed(3)]


@pytest.mark.parametrize("before", range(1, len(PIECES) + 1))
def test_the_first_look_takes_nothing_away(before: int) -> None:
    """The pieces that were there at the first look are read once, in order."""
    exchange = Exchange("r", "f", kept=False)
    with Reader(exchange) as reader:
        for piece in PIECES[:before]:
            exchange.put(piece)
        assert reader.first() == PIECES[0]
        for piece in PIECES[before:]:
            exchange.put(piece)
        read = [piece for batch in reader.batches() for piece in batch]
    assert read == PIECES
