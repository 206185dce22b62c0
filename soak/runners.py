"""Runners that answer, break answers, crash, and ask hosts for less."""

from __future__ import annotations

import time
from random import Random
from typing import Final

from bench.loopback import IP
from soak.oracle import Oracle
from soak.runner_rules import Process, RunnerRules
from standins.platform_runner import (
    Crash,
    PlatformRunner,
    ReceivedRequest,
    Step,
    build_response,
    encode_chunk,
    stream_head,
)

BREAK_SHARE: Final = 0.05
"""Fraction of the answers with a fault, for each of the three faults of a runner."""
EVENT_INTERVAL_SECONDS: Final = 0.01
RESPONSE_DELAY_SECONDS: Final = 0.02
RUNNER_HEADER: Final = "X-Soak-Runner"
LIMIT_HEADER: Final = "Server-Limit"
COLD_HEADER: Final = "X-Godwitrudder-Cold-Ms"
LEAVING_HEADER: Final = "Server-Leaving"
DOWN_SECONDS: Final = 0.6
"""Time until a crashed runner listens again."""


class SoakRunner(PlatformRunner):
    """One runner of a soak.

    Attributes
    ----------
    limit : float or None
        Requests per second that it names in its answers.
    leaving : bool
        Whether it says in its answers that it leaves.
    backoff_seconds : float
        Time that it names when it rejects requests; 0 while it accepts them.
    cold_until : float
        Monotonic seconds until which it says that it is cold.
    born : int
        Number of its instance.
    """

    def __init__(
        self, name: str, oracle: Oracle, rules: RunnerRules, random: Random
    ) -> None:
        super().__init__(self._script, IP)
        self.name = name
        self.limit: float | None = None
        self.leaving = False
        self.backoff_seconds = 0.0
        self.cold_until = 0.0
        self.born = 1
        self._oracle = oracle
        self._rules = rules
        self._random = random

    def crash(self, down_seconds: float) -> None:
        """End all answers in progress; listen again after a while."""
        self._oracle.broken_by_runner.update(self._oracle.started_lately(self.name))
        super().crash(down_seconds)

    def _script(self, received: ReceivedRequest, _number: int) -> list[Step]:
        """Record a request, check it, and return the steps of its answer."""
        request_id = received.headers["x-godwitrudder-request-id"]
        request = self._oracle.requests_by_id[request_id]
        process = request.process
        self._rules.arrived(self.name, process, self.limit)
        extra = self._extra_headers()
        if self.backoff_seconds:
            extra += ("X-Godwitrudder-Not-Executed: 1",)
            extra += (f"Retry-After: {self.backoff_seconds}",)
            self._rules.backoff_asked(self.name, process, self.backoff_seconds)
            return [build_response(received, "503 Full", b"", *extra, signed=False)]
        self._oracle.record_run(request_id, self.name)
        if request.poison_part:
            self._rules.poison_arrived(request.poison_part, process)
            self._rules.crashed(request.poison_part)
            return [RESPONSE_DELAY_SECONDS, Crash(DOWN_SECONDS)]
        steps: list[Step] = [
            RESPONSE_DELAY_SECONDS,
            build_response(received, "200 OK", request_id.encode(), *extra),
        ]
        if request.events:
            first = int(received.headers.get("last-event-id", "0")) + 1
            head = stream_head(received)
            lines = "".join(f"{line}\r\n" for line in extra).encode()
            steps = [RESPONSE_DELAY_SECONDS, head[:-2] + lines + b"\r\n"]
            for number in range(first, request.events + 1):
                event = f"id: {number}\ndata: {request_id}\n\n".encode()
                steps += [EVENT_INTERVAL_SECONDS, encode_chunk(event)]
            steps.append(encode_chunk(b""))
        return self._maybe_break(request_id, steps)

    def _extra_headers(self) -> tuple[str, ...]:
        """Return what the runner asks for in this answer, with its name."""
        extra: tuple[str, ...] = (f"{RUNNER_HEADER}: {self.name}",)
        if self.limit is not None:
            extra += (f"{LIMIT_HEADER}: {self.limit}",)
        if self.leaving:
            extra += (f"{LEAVING_HEADER}: 1",)
        cold_seconds = self.cold_until - time.monotonic()
        if cold_seconds > 0:
            extra += (f"{COLD_HEADER}: {round(cold_seconds * 1000)}",)
        return extra

    def passed_on(
        self, process: Process, limited: bool, leaving: bool, cold: bool
    ) -> None:
        """Record that a host has passed on an answer of this runner."""
        if limited and self.limit is not None:
            self._rules.limit_named(self.name, process)
        if leaving and self.leaving:
            self._rules.leaving_said(self.name, process)
        if cold and time.monotonic() < self.cold_until:
            self._rules.cold_said(self.name, process)

    def _maybe_break(self, request_id: str, steps: list[Step]) -> list[Step]:
        """Inject a fault into some answers.

        The connection is reset after some steps or in the middle of the last one, or
        an answer to another request follows the complete answer.
        """
        draw = self._random.random()
        if draw < BREAK_SHARE:
            self._oracle.broken_by_runner.add(request_id)
            return [*steps[: self._random.randrange(len(steps))], None]
        if draw < 2 * BREAK_SHARE:
            self._oracle.broken_by_runner.add(request_id)
            last = steps[-1]
            assert isinstance(last, bytes)
            return [*steps[:-1], last[: len(last) // 2], None]
        if draw < 3 * BREAK_SHARE:
            other = ReceivedRequest("", {"x-godwitrudder-request-id": "another"}, b"")
            return [*steps, build_response(other, "200 OK", b"another's answer")]
        return steps
