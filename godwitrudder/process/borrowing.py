"""Borrows tokens for requests that wait longer, also in parts from several hosts."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from random import Random

import gevent
from gevent.event import AsyncResult

from godwitrudder.connection.loans import Loan
from godwitrudder.process.lending import MAX_LENDERS_ASKED, LendingTask
from godwitrudder.request.tokens.lenders import Question, choose_questions
from godwitrudder.request.tokens.shortage import AskTally
from godwitrudder.request.tokens.waiting import ASK_AGAIN_SECONDS


class PartBorrower:
    """Asks lenders in rounds; those of one batch are asked at the same time.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds, on the clock that statements carry.
    """

    def __init__(
        self, lending: LendingTask, clock: Callable[[], float], random: Random
    ) -> None:
        self._lending = lending
        self._clock = clock
        self._random = random

    def borrow(
        self,
        request: str,
        workspace: str,
        missing: Callable[[], int],
        seconds: float,
        again: bool,
    ) -> AskTally:
        """Ask hosts until no token is missing, nobody is left to ask, or time is up.

        Parameters
        ----------
        missing : callable
            Returns the tokens that are missing now.
        seconds : float
            Longest time to wait for answers.
        again : bool
            Whether lenders were asked for the request before.  Then only one batch of
            hosts is asked that are not believed to have enough, which bounds the
            messages of hosts that wait for tokens that nobody has.
        """
        tally = AskTally(MAX_LENDERS_ASKED)
        ends_at = self._clock() + min(seconds, ASK_AGAIN_SECONDS)
        while not tally.lent:
            now = self._clock()
            known = self._lending.lending.known_lenders(workspace, now)
            most = tally.most - tally.asked
            questions = choose_questions(known, missing(), most, self._random)
            if not questions or now >= ends_at:
                break
            self._ask(request, workspace, questions, ends_at - now, tally)
            tally.lent = missing() <= 0
            if again and any(each.believed < each.tokens for each in questions):
                break
        return tally

    def _ask(
        self,
        request: str,
        workspace: str,
        questions: list[Question],
        seconds: float,
        tally: AskTally,
    ) -> None:
        """Ask several hosts at the same time."""
        asked_at = self._clock()
        with ExitStack() as stack:
            answers: list[AsyncResult] = [
                stack.enter_context(self._lending.asking(workspace, question))
                for question in questions
            ]
            gevent.wait(answers, timeout=seconds)
            for question, answer in zip(questions, answers, strict=True):
                loan: Loan | None = answer.value if answer.ready() else None
                self._lending.record_answer(
                    request, workspace, question, loan, asked_at, tally
                )
