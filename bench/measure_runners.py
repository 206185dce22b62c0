"""Choice of runners: latencies, prefix hits and faults, beside two baselines."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Final

from bench.engines import LOAD_STREAMS, SLOTS, STEP_SECONDS, Engine, Job
from bench.report import Row
from bench.routing import Router
from bench.simulation import Network, World

TOKENS: Final = 60
TEMPLATES: Final = 4
TEMPLATE_BLOCKS: Final = (8, 24)
TAIL_BLOCKS: Final = (2, 6)
LOAD: Final = 0.8
SEEDS: Final = (1, 2, 3)
WARM_SECONDS: Final = 30.0
END_SECONDS: Final = 120.0
FAULT_SECONDS: Final = 60.0
RATIO_MOST: Final = 1.2
HITS_LEAST: Final = 0.85
# Demand of the workspaces, a few of them large.
DEMANDS: Final = (8, 6, 4, 1, 1, 1, 1, 1, 1, 1)
BASELINES: Final = ("least_connections", "round_robin")


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment's size, and the delay between its hosts."""

    name: str
    domains: tuple[str, ...]
    routers: int
    runners: int
    delay_seconds: float


PENGHU: Final = Deployment(
    "penghu", ("magong", "budai", "anping", "donggang"), 7, 9, 0.0005
)
SERRA: Final = Deployment("serra", ("caxias", "gramado", "bento"), 6, 5, 0.0015)


class Scene:
    """A deployment under load."""

    def __init__(
        self, deployment: Deployment, policy: str, load: float, seed: int = 1
    ) -> None:
        self.world = World(seed)
        self.network = Network(self.world, deployment.delay_seconds)
        domains = deployment.domains
        self.engines = [
            Engine(self.world, f"e{n}", domains[n % len(domains)])
            for n in range(deployment.runners)
        ]
        # Perfect knowledge needs no second router.
        count = 1 if policy == "ideal" else deployment.routers
        self.routers = {
            f"r{n}": Router(
                self.world,
                self.network,
                f"r{n}",
                domains[n % len(domains)],
                self.engines,
                policy,
            )
            for n in range(count)
        }
        for router in self.routers.values():
            router.join(self.routers)
        self._random = Random(seed)
        self._templates = [
            [_blocks(self._random, TEMPLATE_BLOCKS) for _ in range(TEMPLATES)]
            for _ in DEMANDS
        ]
        self._number = 0
        self._rate = load * _capacity(deployment.runners)
        self._arrive()

    def _arrive(self) -> None:
        random = self._random
        self._number += 1
        which = random.choices(range(len(DEMANDS)), DEMANDS)[0]
        template = random.choice(self._templates[which])
        names = template + _blocks(random, TAIL_BLOCKS)
        tokens = random.randint(TOKENS // 2, TOKENS * 3 // 2)
        now = self.world.clock.now()
        job = Job(f"j{self._number}", f"w{which}", names, tokens, now)
        entry = random.randrange(len(DEMANDS)) % len(self.routers)
        self.routers[f"r{entry}"].arrive(job)
        self.world.after(random.expovariate(self._rate), self._arrive)

    def jobs(self, since: float = WARM_SECONDS) -> list[Job]:
        """Return the requests that arrived after a second, and ended."""
        return [
            job
            for router in self.routers.values()
            for job in router.jobs
            if job.arrived > since and job.ended_at >= 0
        ]


def _blocks(random: Random, size: tuple[int, int]) -> list[int]:
    return [random.getrandbits(63) for _ in range(random.randint(*size))]


def _capacity(runners: int) -> float:
    """Return the requests per second that full batches serve, half cached."""
    steps = TOKENS + (sum(TEMPLATE_BLOCKS) + sum(TAIL_BLOCKS)) / 4
    return runners * SLOTS / (STEP_SECONDS * (1 + SLOTS / LOAD_STREAMS) * steps)


def _run(deployment: Deployment, policy: str) -> list[Scene]:
    scenes = [Scene(deployment, policy, LOAD, seed) for seed in SEEDS]
    for scene in scenes:
        scene.world.run(END_SECONDS)
    return scenes


def _p95(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[int(0.95 * len(ordered))]


def _first_token(scenes: list[Scene], since: float = WARM_SECONDS) -> float:
    return _p95(
        job.first_at - job.arrived for scene in scenes for job in scene.jobs(since)
    )


def _between_tokens(scenes: list[Scene]) -> float:
    """Return the 95th percentile of the steps, each counted per stream."""
    return _p95(
        seconds
        for scene in scenes
        for engine in scene.engines
        for seconds, streams in engine.steps
        for _ in range(streams)
    )


def _hits(scenes: list[Scene]) -> float:
    """Return the share of the prompts' blocks that were cached."""
    jobs = [job for scene in scenes for job in scene.jobs()]
    blocks = sum(len(job.names) for job in jobs)
    return sum(job.hit * len(job.names) for job in jobs) / blocks


def rows() -> Iterator[Row]:
    """Yield all rows."""
    for deployment in (PENGHU, SERRA):
        yield from _at_load(deployment)
    for name, fault in FAULTS.items():
        for policy in ("fleet", *BASELINES):
            yield from _fault(name, fault, policy)


def _at_load(deployment: Deployment) -> Iterator[Row]:
    ideal = _run(deployment, "ideal")
    name = f"runners first token p95 {deployment.name}"
    yield Row(f"{name} ideal", _first_token(ideal), "s")
    for policy in ("fleet", *BASELINES):
        scenes = _run(deployment, policy)
        ours = policy == "fleet"
        tail = f"{deployment.name} {policy}"
        most = RATIO_MOST if ours else None
        least = HITS_LEAST if ours else None
        first = _first_token(scenes) / _first_token(ideal)
        yield Row(f"runners first token p95 over ideal {tail}", first, "ratio", most)
        steps = _between_tokens(scenes) / _between_tokens(ideal)
        yield Row(f"runners between tokens p95 over ideal {tail}", steps, "ratio", most)
        hits = _hits(scenes) / _hits(ideal)
        name = f"runners prefix hits over ideal {tail}"
        yield Row(name, hits, "ratio", least, "higher")


def _slow(engine: Engine) -> None:
    engine.slow = 10.0


def _silent(engine: Engine) -> None:
    engine.mode = "silent"


FAULTS: Final[dict[str, Callable[[Engine], None]]] = {
    "slow": _slow,
    "silent": _silent,
    "dead": Engine.die,
}


def _fault(name: str, fault: Callable[[Engine], None], policy: str) -> Iterator[Row]:
    """One runner of nine falls ill at half load; compare with the same run well."""
    well = Scene(PENGHU, policy, 0.5)
    ill = Scene(PENGHU, policy, 0.5)
    ill.world.after(FAULT_SECONDS, lambda: fault(ill.engines[0]))
    for scene in (well, ill):
        scene.world.run(END_SECONDS + 30.0)
    added = _first_token([ill], FAULT_SECONDS) - _first_token([well], FAULT_SECONDS)
    cut = END_SECONDS
    lost = sum(
        job.failed or job.ended_at < 0
        for router in ill.routers.values()
        for job in router.jobs
        if job.arrived < cut
    )
    bound = 0.0 if policy == "fleet" else None
    yield Row(f"runners one {name} added first token p95 {policy}", added, "s")
    yield Row(
        f"runners one {name} failed requests {policy}", float(lost), "requests", bound
    )
