"""What the end of an attempt tells about the parts of its prompt."""

from __future__ import annotations

import pytest

from godwitrudder.request.evidence import AttemptEnd, Evidence, evidence_of


@pytest.mark.parametrize(
    ("end", "events", "framed", "expected"),
    [
        (AttemptEnd.WHOLE, 0, True, Evidence.SOUND),
        (AttemptEnd.WHOLE, 0, False, Evidence.SOUND),
        (AttemptEnd.STREAMED, 1, True, Evidence.SOUND),
        (AttemptEnd.STREAMED, 2, False, Evidence.CRASH),
        (AttemptEnd.STREAMED, 3, False, Evidence.SOUND),
        (AttemptEnd.LOST, 0, True, Evidence.CRASH),
        (AttemptEnd.LOST, 2, False, Evidence.CRASH),
        (AttemptEnd.LOST, 3, True, Evidence.NONE),
        (AttemptEnd.FAILED, 0, True, Evidence.NONE),
    ],
)
def test_what_an_attempt_tells(
    end: AttemptEnd, events: int, framed: bool, expected: Evidence
) -> None:
    assert evidence_of(end, events, framed) is expected
