"""Delays after which a refused caller may retry."""

from __future__ import annotations

from random import Random

import pytest

from godwitrudder.request import retry_delay


@pytest.mark.parametrize(
    ("silent", "left", "at_least", "at_most"),
    [
        (0.2, 12.0, 0.1, 0.2),
        (2.0, 12.0, 0.1, 0.2),
        (5.0, 12.0, 3.5, 3.6),
        (7.0, 10.0, 1.5, 1.8),
        (7.0, 3.0, 0.1, 0.2),
        (30.0, 12.0, 0.1, 0.2),
    ],
)
def test_a_caller_retries_when_an_outage_should_be_over(
    silent: float, left: float, at_least: float, at_most: float
) -> None:
    """Guards against a second refusal: in an outage the next host lacks tokens too."""
    seconds = retry_delay.token_retry_seconds(silent, left, Random(1))
    assert at_least <= seconds <= at_most


def test_a_delay_stays_within_what_a_caller_honours() -> None:
    assert retry_delay.cap_retry_seconds(5.0, 3.0) == pytest.approx(0.9)
    assert retry_delay.cap_retry_seconds(5.0, -1.0) == 0.0
