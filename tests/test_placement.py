"""Placement of requests, under the load pattern that each rule is for."""

from __future__ import annotations

from random import Random

from godwitrudder.request.placing.candidate import Candidate, Part
from godwitrudder.request.placing.placement import (
    is_usable,
    place,
    trusted,
    usable_runners,
    weigh,
)
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import ListedRunner

PROMPT = (Part("system", 500), Part("document", 5000), Part("own", 900))


def candidates(number: int) -> list[Candidate]:
    return [
        Candidate(
            ListedRunner(
                f"i-{index}", "s", Address("10.0.0.1", 80 + index), "a", False, 8
            )
        )
        for index in range(number)
    ]


def choose_id(
    group: list[Candidate], parts: tuple[Part, ...] = (), **more: object
) -> str:
    options = {"excluded": (), "connections_most": 50, "now": 10.0, **more}
    found = place(group, parts, "a", random=Random(1), **options)  # type: ignore
    return "" if found is None else found.entry.id


def test_hosts_that_know_nothing_send_a_shared_part_to_one_runner() -> None:
    first = choose_id(candidates(9), PROMPT)
    again = (PROMPT[0], PROMPT[1], Part("another", 400))
    assert all(choose_id(candidates(9), again) == first for _ in range(5))


def test_a_hot_part_moves_on_when_its_home_is_busy() -> None:
    group = candidates(9)
    home = choose_id(group, PROMPT)
    for candidate in group:
        if candidate.entry.id == home:
            candidate.in_flight = 12
            candidate.pending_tokens = 20_000
    assert choose_id(group, PROMPT) != home


def test_a_short_question_keeps_away_from_a_long_prompt() -> None:
    group = candidates(2)
    group[0].pending_tokens = 50_000
    group[1].in_flight = 5
    assert choose_id(group, (Part("q", 300),)) == "i-1"


def test_a_report_loses_its_weight() -> None:
    group = candidates(2)
    group[0].reported(8, 2, now=10.0)
    group[1].in_flight = 1
    assert choose_id(group, now=10.1) == "i-1"
    assert choose_id(group, now=30.0) == "i-0"


def test_a_runner_that_fails_in_part_gets_less() -> None:
    group = candidates(2)
    for at in range(4):
        group[0].ended(False, float(at) / 10)
    group[1].in_flight = 10
    assert choose_id(group, now=0.5) == "i-1"
    assert choose_id(group, now=60.0) == "i-0"


def test_leaving_and_tried_runners_get_nothing() -> None:
    group = candidates(2)
    assert choose_id(group, excluded=("i-0",)) == "i-1"
    assert choose_id(group, excluded=("i-0", "i-1")) == ""
    assert choose_id(group, connections_most=0) == ""


def test_an_unreachable_runner_serves_only_where_no_other_does() -> None:
    group = candidates(2)
    group[0].unreachable(10.0)
    assert choose_id(group) == "i-1"
    assert choose_id(group, excluded=("i-1",)) == "i-0"


def test_an_open_connection_is_used_at_similar_cost() -> None:
    """58 hosts in front of 70 runners opened a connection for 4 in 10 requests."""
    group = candidates(70)
    assert choose_id(group, connected=("i-41",)) == "i-41"
    group[41].in_flight = 5
    assert choose_id(group, connected=("i-41",)) != "i-41"
    group[7].record_prompt(PROMPT[:2])
    assert choose_id(group, PROMPT, connected=("i-3",)) == "i-7"


def test_a_runner_that_lost_its_entry_alone_gets_nothing() -> None:
    """A leaving runner got requests, for its entry might only have expired."""
    group = candidates(3)
    group[0].unlisted = True
    assert choose_id(group, excluded=("i-1", "i-2")) == ""


def test_runners_that_lost_their_entries_together_are_used() -> None:
    """An outage of the store lets the entries of live runners expire."""
    group = candidates(3)
    group[0].unlisted = group[1].unlisted = True
    assert choose_id(group, excluded=("i-1", "i-2")) == "i-0"


def test_a_replaced_runner_gets_nothing_though_it_is_empty() -> None:
    """436 attempts in 8 s went to two addresses that only answered 421."""
    group = candidates(3)
    group[0].replaced = True
    for busy in group[1:]:
        busy.in_flight = 40
    assert choose_id(group) != "i-0"


def test_the_usable_runners_are_those_that_weighing_does_not_exclude() -> None:
    """The queue would wait for a runner that placement excludes, or the reverse."""
    random, seen = Random(5), set()
    for _ in range(500):
        group = candidates(6)
        for each in group:
            each.unlisted = random.random() < 0.4
            each.gone = random.random() < 0.2
            each.in_flight = random.choice([0, 0, 0, 2])
            each.ejected_until = random.choice([0.0, 0.0, 20.0])
            each.directives.backoff_until = random.choice([0.0, 0.0, 20.0])
        tried = {group[0].entry.id}
        usable = usable_runners(group, tried, 2, 10.0)
        weighed = weigh(group, PROMPT, "a", tried, 2, 10.0)
        assert [each.candidate for each in weighed] == group
        free = [each.candidate for each in weighed if not each.exclusion]
        assert free == usable
        assert [each.candidate for each in weighed if each.cost is not None] == usable
        left_out = [each for each in group if each not in trusted(group)]
        reasons = {each.candidate.entry.id: each.exclusion for each in weighed}
        assert left_out == [
            each for each in group if reasons[each.entry.id] in ("left", "unlisted")
        ]
        certain = [each for each in group if is_usable(each, tried, 2, 10.0)]
        assert all(each in usable for each in certain)
        seen |= set(reasons.values())
    reasons_known = {"left", "unlisted", "tried", "connections", "backoff", "ejected"}
    assert seen == reasons_known | {""}
