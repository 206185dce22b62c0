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
LOAD_STREAMS: Final = 16
SLOTS: Final = 8
CACHE_BLOCKS: Final = 600
EVENT_GAPS: Final = 0.1


class Owner(Protocol):
    """What a runner tells the router of a request."""

    name: str

    def first(self, job: Job, engine: str) -> None:
        """Hear of a first token."""

    def done(self, job: Job, engine: str) -> None:
        """Hear of the end of an answer."""

    def broken(self, job: Job, attempt: int, engine: str) -> None:
        """Hear that an attempt broke."""


@dataclass(slots=True, eq=False)
class Job:
    """One request and what became of it; times are virtual seconds."""

    name: str
    workspace: str
    names: list[int]
    tokens: int
    arrived: float
    prefill: int = 0
    made: int = 0
    first_at: float = -1.0
    ended_at: float = -1.0
    failed: bool = False
    hit: float = 0.0
    attempt: int = 0
    excluded: set[str] = field(default_factory=set)
    ticket: Ticket | None = None


class Engine:
    """One runner: a batch, its queue, its prefix cache, and its faults."""

    def __init__(self, world: World, name: str, domain: str) -> None:
        self.world = world
        self.name = name
        self.domain = domain
        self.slow = 1.0
        self.mode = "up"
        self.running: list[tuple[Job, int, Owner]] = []
        self.waiting: list[tuple[float, int, Job, int, Owner]] = []
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: deque[tuple[float, bool, int]] = deque(maxlen=4096)
        self.loads: deque[tuple[float, int]] = deque(maxlen=64)
        self.steps: list[tuple[float, int]] = []
        self.made_by_key: dict[tuple[str, str, int], int] = {}
        self._sequence = 0
        self._stepping = False

    @property
    def load(self) -> int:
        """Streams running and waiting."""
        return len(self.running) + len(self.waiting)

    def match(self, names: list[int]) -> float:
        """Return the share of a prompt that is cached."""
        known = 0
        for name in names:
            if name not in self.cache:
                break
            known += 1
        return known / len(names) if names else 0.0

    def submit(self, job: Job, priority: float, router: Owner) -> None:
        """Take a request, unless dead."""
        if self.mode == "dead":
            router.broken(job, job.attempt, self.name)
            return
        self._sequence += 1
        entry = (priority, self._sequence, job, job.attempt, router)
        heapq.heappush(self.waiting, entry)
        self._note()
        if not self._stepping:
            self._stepping = True
            self.world.after(0.0, self._step)

    def die(self) -> None:
        """Lose everything; the routers see resets."""
        self.mode = "dead"
        lost = [(j, a, r) for j, a, r in self.running]
        lost += [(j, a, r) for _, _, j, a, r in self.waiting]
        self.running, self.waiting = [], []
        for job, attempt, router in lost:
            router.broken(job, attempt, self.name)

    def _note(self) -> None:
        self.loads.append((self.world.clock.now(), self.load))

    def _admit(self) -> None:
        while self.waiting and len(self.running) < SLOTS:
            _, _, job, attempt, router = heapq.heappop(self.waiting)
            if attempt != job.attempt:
                continue
            job.hit = self.match(job.names)
            job.prefill = round(len(job.names) * (1.0 - job.hit))
            self._store(job.names)
            self.running.append((job, attempt, router))

    def _store(self, names: list[int]) -> None:
        now = self.world.clock.now()
        for name in names:
            if name not in self.cache:
                self._event(now, True, name)
            self.cache[name] = None
            self.cache.move_to_end(name)
        while len(self.cache) > CACHE_BLOCKS:
            gone, _ = self.cache.popitem(last=False)
            self._event(now, False, gone)

    def _event(self, now: float, stored: bool, name: int) -> None:
        if self.world.random.random() >= EVENT_GAPS:
            self.events.append((now, stored, name))

    def _step(self) -> None:
        if self.mode == "silent":
            self.world.after(1.0, self._step)
            return
        self._admit()
        if not self.running:
            self._stepping = False
            return
        seconds = STEP_SECONDS * (1 + len(self.running) / LOAD_STREAMS) * self.slow
        self.steps.append((seconds, len(self.running)))
        self.world.after(seconds, self._stepped)

    def _stepped(self) -> None:
        if self.mode == "up":
            now = self.world.clock.now()
            kept = []
            for job, attempt, router in self.running:
                if attempt == job.attempt and not self._advance(job, router, now):
                    kept.append((job, attempt, router))
            self.running = kept
            self._note()
        self._step()

    def _advance(self, job: Job, router: Owner, now: float) -> bool:
        """Make a step of one stream; return whether it ended."""
        if job.prefill > 0:
            job.prefill -= 1
            return False
        job.made += 1
        key = (router.name, job.workspace, int(now))
        self.made_by_key[key] = self.made_by_key.get(key, 0) + 1
        if job.first_at < 0:
            job.first_at = now
            router.first(job, self.name)
        if job.made < job.tokens:
            return False
        router.done(job, self.name)
        return True
