"""Runner selection of one daemon: choice, prefix index and retry budget."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from godwitrudder.connection.shares import ShareAnswer
from godwitrudder.request.choice import Runner, choose, outliers
from godwitrudder.request.prefix import PrefixIndex
from godwitrudder.request.retry_budget import RetryBudget


class RunnerSelector:
    """Chooses runners, limits retries and ejects outliers.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this daemon.
    """

    def __init__(self, failure_domain: str, random: Random) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self.prefixes = PrefixIndex()
        self._retries_by_target: dict[str, RetryBudget] = {}

    def choose(
        self,
        target: str,
        runners: Collection[Runner],
        names: list[int],
        excluded: Collection[str],
        now: float,
        slots: int,
    ) -> Runner | None:
        """Return the runner for a request, None if there is none left.

        A call with excluded runners is a retry and takes one from the retry budget.

        Parameters
        ----------
        names : list of int
            Names of the prompt's prefixes, shortest first.
        slots : int
            Requests that a runner works on at a time.
        """
        budget = self._retries_by_target.setdefault(target, RetryBudget())
        if excluded and not budget.take():
            return None
        if not excluded:
            budget.request()
        ids = [runner.id for runner in runners if runner.usable(now)]
        matches = self.prefixes.matches(names, ids, now)
        chosen = choose(
            runners, self._failure_domain, excluded, self._random, now, matches, slots
        )
        if chosen is not None:
            self.prefixes.stored(chosen.id, names, now)
        return chosen

    def eject_outliers(self, runners: Collection[Runner], now: float) -> list[Runner]:
        """Eject the runners that are far slower than the median."""
        slow = outliers(runners, now)
        for runner in slow:
            runner.eject(now)
        return slow


def apply_share_answer(
    runners: Collection[Runner], answer: ShareAnswer, whole: bool, now: float
) -> None:
    """Update the runners with the work of others from an aggregator's answer.

    Parameters
    ----------
    runners : collection of Runner
        All runners of the target.
    whole : bool
        Whether it answers a full report, so that its counts start from zero.
    """
    count_by_runner = {flight.runner: flight.count for flight in answer.flights}
    for runner in runners:
        if whole:
            runner.reported_others = 0
        runner.reported_others = count_by_runner.get(runner.id, runner.reported_others)
        if answer.current or runner.id in count_by_runner:
            runner.update_others(runner.reported_others, now)
