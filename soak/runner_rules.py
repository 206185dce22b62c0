"""Checks what runners get after they have asked hosts for less.

A host counts as told by an answer that its current process has got; a process that was
disturbed since then is excused.
"""

from __future__ import annotations

import time
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Final

STABLE_SECONDS: Final = 3.0
"""Time after a runner's first word, or the fifth crash, in which hosts may adapt."""
TOLD_AFTER_SECONDS: Final = 0.5
"""Time after an answer at which its host must have applied it."""
WINDOW_SECONDS: Final = 4.0
LIMIT_FACTOR: Final = 1.5
"""Requests that are allowed, as a multiple of what the limit allows."""
LIMIT_SLACK_REQUESTS: Final = 5
MAX_REQUESTS_IN_BACKOFF: Final = 2
COLD_PER_SECOND: Final = 4.0
"""Requests per second that a cold runner tolerates."""
MAX_COLD_REQUESTS: Final = COLD_PER_SECOND * 1.5 + 5
"""Requests in any second that it may get, with the platform's default bounds."""
EVACUATION_SECONDS: Final = 5.0
"""Time within which an evacuation must be in force."""
FREE_CRASHES: Final = 5
MAX_POISON_REQUESTS: Final = 3

Process = tuple[str, int]
"""Name of a host and number of its process."""


class RunnerRules:
    """Collects violations of what runners have asked for.

    Parameters
    ----------
    report : callable
        Called with a line for each violation.
    excused : callable
        Whether a fault affects a host now or did so a short time ago.
    """

    def __init__(
        self, report: Callable[[str], None], excused: Callable[[str], bool]
    ) -> None:
        self._report = report
        self._excused = excused
        self._limited_since: dict[str, float] = {}
        self._told_limit_at: dict[tuple[str, Process], float] = {}
        self._arrivals: dict[str, deque[float]] = defaultdict(deque)
        self._leaving_at: dict[tuple[str, Process], float] = {}
        self._backoffs: dict[tuple[str, Process], tuple[float, float]] = {}
        self._sent_in_backoff: dict[tuple[str, Process], int] = {}
        self._crash_times: dict[str, list[float]] = defaultdict(list)
        self._poison_requests: dict[str, int] = defaultdict(int)
        self._told_cold_at: dict[tuple[str, Process], float] = {}
        self._cold_arrivals: dict[str, deque[float]] = defaultdict(deque)
        self._evacuated_at: dict[str, float] = {}

    def limit_named(self, runner: str, process: Process) -> None:
        """Record an answer that names a limit."""
        now = time.monotonic()
        self._limited_since.setdefault(runner, now)
        self._told_limit_at.setdefault((runner, process), now)

    def limit_ended(self, runner: str) -> None:
        """Record that a runner names no limit any more."""
        self._limited_since.pop(runner, None)
        self._arrivals.pop(runner, None)
        for key in [key for key in self._told_limit_at if key[0] == runner]:
            del self._told_limit_at[key]

    def cold_said(self, runner: str, process: Process) -> None:
        """Record an answer that says that the runner is cold."""
        self._told_cold_at.setdefault((runner, process), time.monotonic())

    def cold_ended(self, runner: str) -> None:
        """Record that a runner is not cold any more."""
        self._cold_arrivals.pop(runner, None)
        for key in [key for key in self._told_cold_at if key[0] == runner]:
            del self._told_cold_at[key]

    def evacuation_begun(self, runner: str) -> None:
        """Record that the store has the evacuation of a runner's failure domain."""
        self._evacuated_at[runner] = time.monotonic()

    def evacuation_ended(self, runner: str) -> None:
        """Record that the evacuation is about to end."""
        del self._evacuated_at[runner]

    def leaving_said(self, runner: str, process: Process) -> None:
        """Record an answer that says that the runner leaves."""
        self._leaving_at.setdefault((runner, process), time.monotonic())

    def instance_replaced(self, runner: str) -> None:
        """Record that a new instance has the runner's id."""
        for key in [key for key in self._leaving_at if key[0] == runner]:
            del self._leaving_at[key]
        for key in [key for key in self._backoffs if key[0] == runner]:
            del self._backoffs[key]

    def backoff_asked(self, runner: str, process: Process, seconds: float) -> None:
        """Record a rejection that names a time."""
        now = time.monotonic()
        self._backoffs[runner, process] = (now + TOLD_AFTER_SECONDS, now + seconds)
        self._sent_in_backoff[runner, process] = 0

    def crashed(self, part: str) -> None:
        """Record that a prompt part has ended a runner."""
        self._crash_times[part].append(time.monotonic())

    def arrived(self, runner: str, process: Process, limit: float | None) -> None:
        """Check a request that a runner has got."""
        if self._excused(process[0]):
            return
        now, key = time.monotonic(), (runner, process)
        if now - self._leaving_at.get(key, now) > TOLD_AFTER_SECONDS:
            self._report(
                f"{runner}: got a request of {process} after it said it leaves"
            )
        begin, end = self._backoffs.get(key, (now, now))
        if begin < now < end:
            self._sent_in_backoff[key] += 1
            if self._sent_in_backoff[key] > MAX_REQUESTS_IN_BACKOFF:
                self._report(f"{runner}: got requests of {process} during its backoff")
        told = now - self._told_limit_at.get(key, now) > TOLD_AFTER_SECONDS
        if limit is not None and told:
            self._check_limit(runner, limit, now)
        if now - self._told_cold_at.get(key, now) > TOLD_AFTER_SECONDS:
            self._check_cold(runner, now)
        if now - self._evacuated_at.get(runner, now) > EVACUATION_SECONDS:
            self._report(f"{runner}: got a request of {process} while evacuated")

    def poison_arrived(self, part: str, process: Process) -> None:
        """Check a request whose prompt part ends runners."""
        times = self._crash_times[part]
        if len(times) < FREE_CRASHES or self._excused(process[0]):
            return
        if time.monotonic() - times[FREE_CRASHES - 1] > STABLE_SECONDS:
            self._poison_requests[part] += 1
            if self._poison_requests[part] > MAX_POISON_REQUESTS:
                self._report(f"{part}: sent again after {len(times)} crashes")

    def _check_limit(self, runner: str, limit: float, now: float) -> None:
        if now - self._limited_since.get(runner, now) < STABLE_SECONDS:
            return
        arrivals = self._arrivals[runner]
        arrivals.append(now)
        while arrivals[0] <= now - WINDOW_SECONDS:
            arrivals.popleft()
        if len(arrivals) > LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_SLACK_REQUESTS:
            self._report(f"{runner}: {len(arrivals)} requests in 4 s, limit {limit}/s")

    def _check_cold(self, runner: str, now: float) -> None:
        arrivals = self._cold_arrivals[runner]
        arrivals.append(now)
        while arrivals[0] <= now - 1.0:
            arrivals.popleft()
        if len(arrivals) > MAX_COLD_REQUESTS:
            self._report(f"{runner}: {len(arrivals)} requests in 1 s while cold")
