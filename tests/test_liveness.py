"""Liveness of routers: joining, leaving, silence and partitions."""

from __future__ import annotations

from random import Random

import pytest

from godwitrudder.connection.liveness import Liveness

ALL = {"a": False, "b": False, "c": False}

# Each step: time in seconds, kind of event, host.
HISTORIES: list[tuple[str, list[tuple[float, str, str]], list[str]]] = [
    ("all listed", [], ["a", "b", "c"]),
    ("fails", [(1.0, "failed", "b")], ["a", "c"]),
    ("fails and is heard", [(1.0, "failed", "b"), (2.0, "heard", "b")], [*"abc"]),
    ("leaves, says the list", [(1.0, "leaving", "c")], ["a", "b"]),
    ("unlisted for a moment", [(5.0, "unlisted", "c")], ["a", "b", "c"]),
    (
        "unlisted and silent",
        [(0.0, "unlisted", "c"), (11.0, "unlisted", "c")],
        ["a", "b"],
    ),
    (
        "unlisted and heard",
        [(9.0, "heard", "c"), (11.0, "unlisted", "c")],
        ["a", "b", "c"],
    ),
    ("long unlisted", [(60.0, "heard", "c"), (61.0, "unlisted", "c")], ["a", "b"]),
    ("a stranger", [(1.0, "heard", "x")], ["a", "b", "c"]),
]


@pytest.mark.parametrize(("name", "steps", "expected"), HISTORIES)
def test_reachable(
    name: str, steps: list[tuple[float, str, str]], expected: list[str]
) -> None:
    """The host list defines the members; traffic shows who is reachable."""
    liveness = Liveness("a")
    liveness.update_hosts(ALL, 0.0)
    for now, what, host in steps:
        if what == "heard":
            liveness.record_contact(host, now)
        elif what == "failed":
            liveness.record_failure(host, now)
        elif what == "leaving":
            liveness.update_hosts({**ALL, host: True}, now)
        else:
            liveness.update_hosts({k: v for k, v in ALL.items() if k != host}, now)
    assert liveness.reachable() == expected


def test_a_part_knows_its_share() -> None:
    """A router on one side of a partition knows the fraction of routers it reaches.

    Routers without recent contact are probed again, also those on the other side.
    """
    liveness = Liveness("a")
    liveness.update_hosts(dict.fromkeys("abcd", False), 0.0)
    liveness.record_contact("b", 1.0)
    for host in "cd":
        liveness.record_failure(host, 1.0)
    assert liveness.reachable_fraction(2.0) == 0.5
    assert set(liveness.to_probe(5.0, 3, Random(1))) == {"b", "c", "d"}
