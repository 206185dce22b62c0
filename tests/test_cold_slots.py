"""How hosts share the requests that a cold runner tolerates, without messages.

The bound must hold for the sum over all hosts in every window of one second.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import pytest

from godwitrudder.request.places.cold_slots import (
    CLOCK_ERROR_SECONDS,
    TRANSIT_SECONDS,
    VALID_SECONDS,
    ColdSlots,
    owner_of,
    slots_per_second,
)

OVER, SLACK = 1.5, 5.0
RUNNER = "i-1"
BEGIN = 1_790_000_000.0
STEP_SECONDS = 0.02
"""Time between two requests that a host wants to send."""


def names_of(count: int) -> tuple[str, ...]:
    return tuple(f"front-{number}" for number in range(count))


def most_in_a_window(times: list[float]) -> int:
    times, first, most = sorted(times), 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def arrivals(
    rate: float,
    lists: Sequence[tuple[str, ...]],
    errors: Sequence[float],
    wake_at: Sequence[float],
    seconds: float = 5.0,
    random: Random | None = None,
) -> list[float]:
    """Return when requests of hosts that always want to send reach the runner.

    Parameters
    ----------
    lists : sequence of tuple of str
        The hosts that each host knows; its own name is that of its number.
    errors, wake_at : sequence of float
        Errors of the hosts' clocks, and when each host begins, in seconds.
    random : Random or None
        Draws the times in transit; None for none.
    """
    reached = []
    for number, hosts in enumerate(lists):
        slots = ColdSlots(f"front-{number}")
        for step in range(int((seconds - wake_at[number]) / STEP_SECONDS)):
            now = BEGIN + wake_at[number] + step * STEP_SECONDS
            own = now + errors[number]
            slot = slots.find(RUNNER, rate, hosts, own, own)
            if slot is not None:
                slots.take(slot)
                reached.append(
                    now + (random.uniform(0, TRANSIT_SECONDS) if random else 0.0)
                )
    return reached


@pytest.mark.parametrize("hosts", [1, 4, 59, 86])
@pytest.mark.parametrize("cold_per_second", [0.5, 2.0, 10.0, 60.0])
def test_hosts_that_all_see_a_new_runner_at_once_stay_within_the_bound(
    hosts: int, cold_per_second: float
) -> None:
    """59 hosts read the record of a new runner at once and would crash it."""
    rate = slots_per_second(cold_per_second, OVER, SLACK)
    bound = cold_per_second * OVER + SLACK
    random = Random(hosts)
    lists = [names_of(hosts)] * hosts
    for error in (0.0, CLOCK_ERROR_SECONDS):
        errors = [random.uniform(-error, error) for _ in lists]
        for wake_at in ([0.0] * hosts, [random.uniform(0, 3) for _ in lists]):
            found = arrivals(rate, lists, errors, wake_at, random=random)
            assert most_in_a_window(found) <= bound


@pytest.mark.parametrize("cold_per_second", [2.0, 10.0, 30.0])
def test_the_worst_errors_of_clocks_stay_within_the_bound(
    cold_per_second: float,
) -> None:
    """Each clock is off by what brings most of its host's slots to one moment."""
    rate = slots_per_second(cold_per_second, OVER, SLACK)
    hosts, moment = names_of(59), 2.5
    reach = CLOCK_ERROR_SECONDS + VALID_SECONDS
    errors = [0.0] * len(hosts)
    for number in range(int((BEGIN + moment - reach) * rate), int(BEGIN * rate) + 999):
        owner = int(owner_of(RUNNER, number, hosts).removeprefix("front-"))
        early = number / rate - (BEGIN + moment)
        if abs(early) <= CLOCK_ERROR_SECONDS and not errors[owner]:
            errors[owner] = early
    found = arrivals(rate, [hosts] * 59, errors, [0.0] * 59)
    most = most_in_a_window(found)
    assert most <= cold_per_second * OVER + SLACK
    assert most > 1.5 * rate  # the errors do bring slots together


@pytest.mark.parametrize("unknown", [1, 3])
def test_hosts_with_different_lists_of_hosts_stay_within_the_bound(
    unknown: int,
) -> None:
    """Half of the hosts have not read the statements of the newest ones."""
    rate = slots_per_second(10.0, OVER, SLACK)
    random = Random(unknown)
    newer, older = names_of(59), names_of(59 - unknown)
    lists = [older if number % 2 else newer for number in range(59 - unknown)]
    lists += [newer] * unknown
    errors = [random.uniform(-1, 1) for _ in lists]
    found = arrivals(rate, lists, errors, [0.0] * 59, 20.0, random)
    assert most_in_a_window(found) <= 10.0 * OVER + SLACK
    assert len(found) <= 1.25 * rate * 20.0


def test_idle_hosts_that_wake_at_once_send_no_burst() -> None:
    """Slots that went by unused for 30 s must not add up."""
    rate = slots_per_second(10.0, OVER, SLACK)
    lists = [names_of(59)] * 59
    found = arrivals(rate, lists, [0.0] * 59, [30.0] * 59, 32.0)
    within = [at for at in found if at < BEGIN + 31.0]
    assert len(within) <= rate * (1.0 + VALID_SECONDS) + 1


def test_hosts_with_enough_requests_use_nearly_all_slots() -> None:
    rate = slots_per_second(4.0, OVER, SLACK)
    found = arrivals(rate, [names_of(8)] * 8, [0.0] * 8, [0.0] * 8, 30.0)
    assert len(found) >= 0.95 * rate * 30.0


def test_a_host_that_does_not_know_the_others_gets_no_slot() -> None:
    assert ColdSlots("front-0").find(RUNNER, 5.0, None, BEGIN, BEGIN + 9.0) is None


def test_a_reserved_slot_is_not_found_again_until_it_is_released() -> None:
    """Two requests that wait would be sent in one slot."""
    slots, hosts = ColdSlots("front-0"), names_of(1)
    first = slots.find(RUNNER, 2.0, hosts, BEGIN, BEGIN + 1.0)
    assert first is not None
    slots.take(first)
    second = slots.find(RUNNER, 2.0, hosts, BEGIN, BEGIN + 1.0)
    assert second is not None
    assert second.number == first.number + 1
    # Another list of hosts must not bring the taken slot back.
    other = slots.find(RUNNER, 2.0, ("front-0",) * 2, BEGIN, BEGIN + 1.0)
    assert other is not None
    assert other.number == second.number
    slots.release(first)
    assert slots.find(RUNNER, 2.0, hosts, BEGIN, BEGIN + 1.0) == first


def test_asking_for_a_free_slot_tells_what_a_search_finds_and_changes_nothing() -> None:
    """A query that moved the slots would change which requests are sent."""
    random, hosts = Random(3), names_of(3)
    slots = ColdSlots("front-0")
    answers = set()
    for step in range(400):
        now = BEGIN + step * 0.11
        if step == 200:
            hosts = names_of(4)
        before = repr(slots._slots_by_runner)
        is_free = slots.has_free(RUNNER, 4.0, hosts, now)
        assert repr(slots._slots_by_runner) == before
        found = slots.find(RUNNER, 4.0, hosts, now, now)
        assert is_free is (found is not None)
        answers.add(is_free)
        if found is not None and random.random() < 0.8:
            slots.take(found)
    assert answers == {True, False}
    assert not ColdSlots("front-0").has_free(RUNNER, 4.0, None, BEGIN)


def test_without_room_for_one_request_there_is_no_slot() -> None:
    assert slots_per_second(0.0, OVER, SLACK) == 0.0
    assert slots_per_second(0.2, OVER, 0.0) == 0.0
