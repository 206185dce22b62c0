"""Runners on the virtual clock, for the benches of turns and runners.

A runner is a batch that makes a token per step for each of its streams, the step
longer with more streams, with a queue ordered by priority and a prefix cache.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final, Protocol

from bench.simulation import World
from godwitrudder.request.turn import Ticket

STEP_SECONDS: Final = 0.02
STREAMS_DOUBLING_STEP: Final = 16
SLOTS: Final = 8
CACHE_BLOCKS: Final = 600
LOST_EVENT_SHARE: Final = 0.1


class JobOwner(Protocol):
    """What a runner tells the router of a request."""

    name: str

    def on_first_token(self, job: Job, engine: str) -> None:
        """Hear of a first token."""

    def on_completed(self, job: Job, engine: str) -> None:
        """Hear of the end of an answer."""

    def on_failed(self, job: Job, attempt: int, engine: str) -> None:
        """Hear that an attempt broke."""


@dataclass(slots=True, eq=False)
class Job:
    """One request and what became of it; times are virtual seconds."""

    name: str
    workspace: str
    blocks: list[int]
    tokens: int
    arrived: float
    prefill_steps: int = 0
    generated: int = 0
    first_at: float = -1.0
    ended_at: float = -1.0
    failed: bool = False
    cached_fraction: float = 0.0
    attempt: int = 0
    excluded: set[str] = field(default_factory=set)
    ticket: Ticket | None = None


class Engine:
    """One runner: a batch, its queue, its prefix cache, and its faults."""

    def __init__(self, world: World, name: str, domain: str) -> None:
        self.world = world
        self.name = name
        self.domain = domain
        self.slowdown = 1.0
        self.mode = "up"
        self.running: list[tuple[Job, int, JobOwner]] = []
        self.waiting: list[tuple[float, int, Job, int, JobOwner]] = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: deque[tuple[float, bool, int]] = deque(maxlen=4096)
        self.loads: deque[tuple[float, int]] = deque(maxlen=64)
        self.steps: list[tuple[float, int]] = []
        self.tokens_by_key: dict[tuple[str, str, int], int] = {}
        self._sequence = 0
        self._stepping = False

    @property
    def load(self) -> int:
        """Streams running and waiting."""
        return len(self.running) + len(self.waiting)

    def cached_prefix_fraction(self, blocks: list[int]) -> float:
        """Return the share of a prompt that is cached."""
        cached = 0
        for block in blocks:
            if block not in self.cache:
                break
            cached += 1
        return cached / len(blocks) if blocks else 0.0

    def submit(self, job: Job, priority: float, router: JobOwner) -> None:
        """Take a request, unless dead."""
        if self.mode == "dead":
            router.on_failed(job, job.attempt, self.name)
            return
        self._sequence += 1
        entry = (priority, self._sequence, job, job.attempt, router)
        heapq.heappush(self.waiting, entry)
        self._record_load()
        if not self._stepping:
            self._stepping = True
            self.world.after(0.0, self._start_step)

    def die(self) -> None:
        """Lose everything; the routers see resets."""
        self.mode = "dead"
        lost = [(j, a, r) for j, a, r in self.running]
        lost += [(j, a, r) for _, _, j, a, r in self.waiting]
        self.running, self.waiting = [], []
        for job, attempt, router in lost:
            router.on_failed(job, attempt, self.name)

    def _record_load(self) -> None:
        self.loads.append((self.world.clock.now(), self.load))

    def _admit(self) -> None:
        while self.waiting and len(self.running) < SLOTS:
            _, _, job, attempt, router = heapq.heappop(self.waiting)
            if attempt != job.attempt:
                continue
            job.cached_fraction = self.cached_prefix_fraction(job.blocks)
            job.prefill_steps = round(len(job.blocks) * (1.0 - job.cached_fraction))
            self._cache_blocks(job.blocks)
            self.running.append((job, attempt, router))

    def _cache_blocks(self, blocks: list[int]) -> None:
        now = self.world.clock.now()
        for block in blocks:
            if block not in self.cache:
                self._report_cache_event(now, True, block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            evicted, _ = self.cache.popitem(last=False)
            self._report_cache_event(now, False, evicted)

    def _report_cache_event(self, now: float, stored: bool, block: int) -> None:
        if self.world.random.random() >= LOST_EVENT_SHARE:
            self.events.append((now, stored, block))

    def _start_step(self) -> None:
        if self.mode == "silent":
            self.world.after(1.0, self._start_step)
            return
        self._admit()
        if not self.running:
            self._stepping = False
            return
        seconds = (
            STEP_SECONDS
            * (1 + len(self.running) / STREAMS_DOUBLING_STEP)
            * self.slowdown
        )
        self.steps.append((seconds, len(self.running)))
        self.world.after(seconds, self._finish_step)

    def _finish_step(self) -> None:
        if self.mode == "up":
            now = self.world.clock.now()
            kept = []
            for job, attempt, router in self.running:
                if attempt == job.attempt and not self._advance(job, router, now):
                    kept.append((job, attempt, router))
            self.running = kept
            self._record_load()
        self._start_step()

    def _advance(self, job: Job, router: JobOwner, now: float) -> bool:
        """Make a step of one stream; return whether it ended."""
        if job.prefill_steps > 0:
            job.prefill_steps -= 1
            return False
        job.generated += 1
        key = (router.name, job.workspace, int(now))
        self.tokens_by_key[key] = self.tokens_by_key.get(key, 0) + 1
        if job.first_at < 0:
            job.first_at = now
            router.on_first_token(job, self.name)
        if job.generated < job.tokens:
            return False
        router.on_completed(job, self.name)
        return True
