"""Daemons as processes: killed, paused and stopped with requests in flight."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from bench.callers import post
from bench.fleet import EXAMPLES, PLATFORM
from bench.loopback import IP
from bench.processes import DaemonProcess
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.process.partition import stream_of
from godwitrudder.validation import Address
from godwitrudder.version.document import SECTIONS
from godwitrudder.version.fold import Budget, LedgerFold
from standins.batch import answer_length, count_tokens, token_text
from standins.document import publish_document
from standins.engine import Engine
from standins.platform import Platform
from standins.service import Service

PROMPT = "Draft a claim for the pots lost off Donggang"
BODY: dict[str, Any] = {
    "model": "rudder-llm",
    "messages": [{"role": "user", "content": PROMPT}],
    "max_tokens": 64,
}
LENGTH = answer_length(PROMPT, 64)
ANSWER = "".join(token_text(PROMPT, index) for index in range(LENGTH))
TOKENS = LENGTH + count_tokens(PROMPT)
KEY = "penghu-registry-key"
TRANSFER = "/services/registry-app/transfers"
SLOW = 20.0
MOST_SECONDS = 60.0


class World:
    """Stand-ins in this process, three daemons in their own."""

    def __init__(self, directory: Path) -> None:
        self.daemons = [DaemonProcess(number, directory) for number in (1, 2, 3)]
        self.engine = Engine(Address(IP, 8200))
        self.service = Service(Address(IP, 8300))
        hosts = [
            HostEntry(
                id=daemon.host,
                role="router",
                address=str(daemon.peer),
                failure_domain=daemon.failure_domain,
            )
            for daemon in self.daemons
        ]
        for target, server in (
            ("rudder-llm", self.engine),
            ("registry-app", self.service),
        ):
            hosts.append(
                HostEntry(
                    id=target,
                    role="runner",
                    address=str(server.address),
                    failure_domain="magong",
                    target=target,
                )
            )
        self.platform = Platform(PLATFORM, hosts)

    def ask(self, number: int, stream: bool = False) -> gevent.Greenlet:
        """Send the chat to a daemon under one key."""
        return gevent.spawn(
            post,
            self.daemons[number].caller,
            "/v1/chat/completions",
            KEY,
            {**BODY, "stream": stream},
            {"Idempotency-Key": "claim-1"},
        )

    def transfer(self, number: int) -> gevent.Greenlet:
        """Send the non-idempotent call to a daemon under one key."""
        return gevent.spawn(
            post,
            self.daemons[number].caller,
            TRANSFER,
            KEY,
            {"tag": 7},
            {"Idempotency-Key": "transfer-1"},
        )

    def begun(self) -> None:
        """Wait until the engine has made some tokens."""
        until(
            lambda: any(
                s.generated_tokens > 2 for s in self.engine.streams_by_attempt.values()
            )
        )

    def budget(self) -> Budget:
        """Fold the log anew and return the callers' budget."""
        for partition in range(4):
            fold = LedgerFold()
            for record in self.platform.streams_by_name[stream_of(partition)].records:
                fold.apply(record.offset, record.time, record.data)
            if "registry" in fold.budgets_by_id:
                return fold.budgets_by_id["registry"]
        return Budget()


def until(done: Any) -> None:
    """Wait for a state; a test that hangs fails."""
    with gevent.Timeout(MOST_SECONDS):
        while not done():
            gevent.sleep(0.02)


def text_of(answer: tuple[int, bytes]) -> str:
    """Return the text of a whole answer."""
    status, data = answer
    assert status == 200, data
    return str(json.loads(data)["choices"][0]["message"]["content"])


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """Return three ready daemons before a slow engine."""
    world = World(tmp_path)
    with world.platform, world.engine, world.service:
        files = {section: f"{section}.json5" for section in SECTIONS}
        publish_document(world.platform, EXAMPLES / "penghu", files)
        with world.daemons[0], world.daemons[1], world.daemons[2]:
            for daemon in world.daemons:
                daemon.wait_ready()
            world.engine.faults.set({"slow": SLOW})
            yield world


def test_retry_after_a_kill_gets_the_whole_answer(world: World) -> None:
    """One run at the engine, one bill with its true count."""
    first = world.ask(0)
    world.begun()
    world.daemons[0].signal(signal.SIGKILL)
    retry = world.ask(1)
    assert text_of(retry.get(timeout=MOST_SECONDS)) == ANSWER
    assert len(world.engine.streams_by_attempt) == 1
    until(lambda: world.budget().billed)
    assert world.budget().billed == TOKENS
    with pytest.raises(Exception):  # noqa: B017
        first.get(timeout=MOST_SECONDS)


def test_an_answer_completed_before_a_kill_is_billed(world: World) -> None:
    """The bill was not yet in the log; the witnesses write it, grants come back."""
    world.engine.faults.set({"slow": 1.0})
    world.platform.faults.set({"delay_seconds": 1.0})
    assert text_of(world.ask(0).get(timeout=MOST_SECONDS)) == ANSWER
    world.daemons[0].signal(signal.SIGKILL)
    world.platform.faults.set({"delay_seconds": 0.0})
    until(lambda: world.budget().billed)
    assert world.budget().billed == TOKENS
    until(lambda: world.budget().open < TOKENS)


def test_retry_joins_a_live_router(world: World) -> None:
    """The second router relays; both callers get the whole answer of one run."""
    first = world.ask(0)
    world.begun()
    retry = world.ask(1)
    assert text_of(first.get(timeout=MOST_SECONDS)) == ANSWER
    assert text_of(retry.get(timeout=MOST_SECONDS)) == ANSWER
    late = world.ask(2)
    assert text_of(late.get(timeout=MOST_SECONDS)) == ANSWER
    other = gevent.spawn(
        post,
        world.daemons[1].caller,
        "/v1/chat/completions",
        KEY,
        {**BODY, "max_tokens": 1},
        {"Idempotency-Key": "claim-1"},
    )
    assert other.get(timeout=MOST_SECONDS)[0] == 422
    assert len(world.engine.streams_by_attempt) == 1
    until(lambda: world.budget().billed)
    assert world.budget().billed == TOKENS


def test_paused_router_resumes(world: World) -> None:
    """The retry takes over, the paused one wakes: two whole answers, one bill."""
    first = world.ask(0)
    world.begun()
    world.daemons[0].signal(signal.SIGSTOP)
    retry = world.ask(1)
    assert text_of(retry.get(timeout=MOST_SECONDS)) == ANSWER
    world.daemons[0].signal(signal.SIGCONT)
    assert text_of(first.get(timeout=MOST_SECONDS)) == ANSWER
    assert len(world.engine.streams_by_attempt) == 1
    until(lambda: world.budget().billed)
    assert world.budget().billed == TOKENS


def test_claim_of_a_paused_router_runs_once(world: World) -> None:
    """Paused between claim and dispatch, it wakes after others were asked."""
    world.platform.faults.set({"delay_seconds": 0.3})
    first = world.transfer(0)
    gevent.sleep(0.2)
    world.daemons[0].signal(signal.SIGSTOP)
    world.platform.faults.set({"delay_seconds": 0.0})
    world.transfer(1).get(timeout=MOST_SECONDS)
    world.daemons[0].signal(signal.SIGCONT)
    first.get(timeout=MOST_SECONDS)
    last = world.transfer(2).get(timeout=MOST_SECONDS)
    assert last[0] == 200
    assert sum(world.service.runs_by_request.values()) == 1
    until(lambda: world.budget().billed)
    assert world.budget().billed == 5


def test_drain_breaks_nothing(world: World) -> None:
    """Health turns bad, a late request is served, bills and grants are settled."""
    daemon = world.daemons[0]
    first = world.ask(0)
    world.begun()
    daemon.signal(signal.SIGTERM)
    until(lambda: daemon.health() == 503)
    late = gevent.spawn(
        post, daemon.caller, "/v1/chat/completions", KEY, {**BODY, "max_tokens": 2}
    )
    assert text_of(first.get(timeout=MOST_SECONDS)) == ANSWER
    assert text_of(late.get(timeout=MOST_SECONDS)) == ANSWER[: len(text_of(late.value))]
    assert daemon.wait() == 0
    assert world.budget().billed == TOKENS + 2 + count_tokens(PROMPT)
    assert world.budget().open == 0


def test_second_signal_cuts_and_says_so(world: World) -> None:
    """The process ends at once, names what it cut, and bills the engine's count."""
    daemon = world.daemons[0]
    first = world.ask(0)
    world.begun()
    daemon.signal(signal.SIGTERM)
    until(lambda: daemon.health() == 503)
    daemon.signal(signal.SIGTERM)
    assert daemon.wait() == 1
    assert "1 requests cut: " in daemon.output.read_text()
    status, data = first.get(timeout=MOST_SECONDS)
    assert (status, json.loads(data)["error"]["code"]) == (503, "draining")
    assert json.loads(data)["error"]["ran"] != "not_run"
