"""Choice of a runner: two random ones among the usable, the less loaded wins."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from godwitrudder.sections import Address


@dataclass(slots=True)
class Runner:
    """One instance of a target, as this daemon knows it.

    Attributes
    ----------
    in_flight : int
        Requests of this daemon that it works on.
    reported : int
        Requests that it reported last.
    leaving : bool
        Gets no new work.
    """

    id: str
    target: str
    address: Address
    failure_domain: str
    in_flight: int = 0
    reported: int = 0
    leaving: bool = False


def choose(
    runners: Collection[Runner], home: str, excluded: Collection[str], random: Random
) -> Runner | None:
    """Return the runner for a new request, None where there is none.

    Parameters
    ----------
    runners : collection of Runner
        All runners of the target.
    home : str
        Failure domain of this daemon.
    excluded : collection of str
        Runners that failed this request.
    """
    usable = [
        runner for runner in runners if not runner.leaving and runner.id not in excluded
    ]
    if not usable:
        return None
    pair = random.sample(usable, min(2, len(usable)))
    return min(pair, key=lambda runner: score(runner, home))


def score(runner: Runner, home: str) -> float:
    """Return the load of a runner; less is better."""
    distance = 0.0 if runner.failure_domain == home else 0.5
    return runner.in_flight + runner.reported + distance
