"""Runner selection of one daemon: combines choice, prefix index and retry budgets."""

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
        self._retry_budget_by_target: dict[str, RetryBudget] = {}

    def choose(
        self,
        target: str,
        runners: Collection[Runner],
        prefix_hashes: list[int],
        excluded: Collection[str],
        now: float,
        slots: int,
    ) -> Runner | None:
        """Return the runner for a request.

        None if no runner is eligible or the retry budget is exhausted. A call with
        excluded runners is a retry and takes one from the target's retry budget.

        Parameters
        ----------
        prefix_hashes : list of int
            Hashes of the prompt's prefixes, shortest first; see ``prefix_names``.
        excluded : collection of str
            Ids of the runners that failed this request; empty for its first attempt.
        now : float
            Clock reading in seconds.
        slots : int
            Requests that one runner works on at a time.
        """
        retry_budget = self._retry_budget_by_target.setdefault(target, RetryBudget())
        if excluded and not retry_budget.take():
            return None
        if not excluded:
            retry_budget.record_request()
        ids = [runner.id for runner in runners if runner.usable(now)]
        match_by_runner = self.prefixes.matches(prefix_hashes, ids, now)
        chosen = choose(
            runners,
            self._failure_domain,
            excluded,
            self._random,
            now,
            match_by_runner,
            slots,
        )
        if chosen is not None:
            self.prefixes.record_stored(chosen.id, prefix_hashes, now)
        return chosen

    def eject_outliers(self, runners: Collection[Runner], now: float) -> list[Runner]:
        """Eject the runners far slower than the median; return the ejected ones."""
        slow = outliers(runners, now)
        for runner in slow:
            runner.eject(now)
        return slow


def apply_share_answer(
    runners: Collection[Runner],
    answer: ShareAnswer,
    answers_full_report: bool,
    now: float,
) -> None:
    """Update each runner's count of other routers' requests in flight.

    Parameters
    ----------
    runners : collection of Runner
        All runners of the target.
    answer : ShareAnswer
        The aggregator's answer to a report of this router.
    answers_full_report : bool
        Whether ``answer`` replies to a full report. A runner that it does not list then
        has a count of 0; otherwise the runner keeps its earlier count.
    now : float
        Clock reading in seconds.
    """
    count_by_runner = {flight.runner: flight.count for flight in answer.flights}
    for runner in runners:
        if answers_full_report:
            runner.reported_others = 0
        runner.reported_others = count_by_runner.get(runner.id, runner.reported_others)
        if answer.current or runner.id in count_by_runner:
            runner.update_others(runner.reported_others, now)
