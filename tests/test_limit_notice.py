"""Limits that hosts tell each other directly."""

from __future__ import annotations

from godwitrudder.connection.loans import LimitNotice, seal, unseal

KEY = bytes(16)


def test_the_negative_limit_of_a_net_borrower_is_accepted() -> None:
    """Hosts refused 8,551 notices in 19 s, and their senders waited for the store."""
    notice = LimitNotice("front-1", 3, 0, 12.5, {"w": -400, "v": 7})
    assert unseal(seal(notice, KEY), KEY) == notice
