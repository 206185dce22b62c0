"""Choice of runners: latencies, prefix hits and faults, compared with baselines.

The policy ``fleet`` is the product's. ``ideal`` has perfect knowledge and gives the
reference; ``least_connections`` and ``round_robin`` are the baselines.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Final

from bench.engines import SLOTS, STEP_SECONDS, STREAMS_DOUBLING_STEP, Engine, Job
from bench.report import Row
from bench.routing import Router
from bench.simulation import Network, World

TOKENS: Final = 60
TEMPLATES: Final = 4
TEMPLATE_BLOCKS: Final = (8, 24)
TAIL_BLOCKS: Final = (2, 6)
LOAD: Final = 0.8
SEEDS: Final = (1, 2, 3)
WARM_UP_SECONDS: Final = 30.0
END_SECONDS: Final = 120.0
FAULT_SECONDS: Final = 60.0
MAX_RATIO: Final = 1.2
MIN_HIT_RATIO: Final = 0.85
# Relative demand of each workspace; a few are large.
DEMAND_WEIGHTS: Final = (8, 6, 4, 1, 1, 1, 1, 1, 1, 1)
BASELINES: Final = ("least_connections", "round_robin")


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size of a deployment; ``delay_seconds`` is the one-way delay between hosts."""

    name: str
    domains: tuple[str, ...]
    routers: int
    runners: int
    delay_seconds: float


PENGHU: Final = Deployment(
    "penghu", ("magong", "budai", "anping", "donggang"), 7, 9, 0.0005
)
SERRA: Final = Deployment("serra", ("caxias", "gramado", "bento"), 6, 5, 0.0015)


class LoadedDeployment:
    """A simulated deployment under load.

    Parameters
    ----------
    policy : str
        Policy of the routers, see ``Router``.
    load : float
        Fraction of the capacity at which requests arrive.
    """

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
        # The ideal policy is one central router.
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
            [_random_blocks(self._random, TEMPLATE_BLOCKS) for _ in range(TEMPLATES)]
            for _ in DEMAND_WEIGHTS
        ]
        self._number = 0
        self._rate = load * _capacity(deployment.runners)
        self._arrive()

    def _arrive(self) -> None:
        random = self._random
        self._number += 1
        which = random.choices(range(len(DEMAND_WEIGHTS)), DEMAND_WEIGHTS)[0]
        template = random.choice(self._templates[which])
        blocks = template + _random_blocks(random, TAIL_BLOCKS)
        tokens = random.randint(TOKENS // 2, TOKENS * 3 // 2)
        now = self.world.clock.now()
        job = Job(f"j{self._number}", f"w{which}", blocks, tokens, now)
        entry = random.randrange(len(DEMAND_WEIGHTS)) % len(self.routers)
        self.routers[f"r{entry}"].arrive(job)
        self.world.after(random.expovariate(self._rate), self._arrive)

    def ended_jobs(self, since: float = WARM_UP_SECONDS) -> list[Job]:
        """Return the ended requests that arrived after ``since`` (seconds)."""
        return [
            job
            for router in self.routers.values()
            for job in router.jobs
            if job.arrived > since and job.ended_at >= 0
        ]


def _random_blocks(random: Random, size: tuple[int, int]) -> list[int]:
    return [random.getrandbits(63) for _ in range(random.randint(*size))]


def _capacity(runners: int) -> float:
    """Return the requests per second of full batches with half of a prompt cached."""
    steps = TOKENS + (sum(TEMPLATE_BLOCKS) + sum(TAIL_BLOCKS)) / 4
    return (
        runners * SLOTS / (STEP_SECONDS * (1 + SLOTS / STREAMS_DOUBLING_STEP) * steps)
    )


def _run(deployment: Deployment, policy: str) -> list[LoadedDeployment]:
    scenes = [LoadedDeployment(deployment, policy, LOAD, seed) for seed in SEEDS]
    for scene in scenes:
        scene.world.run(END_SECONDS)
    return scenes


def _p95(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[int(0.95 * len(ordered))]


def _first_token_p95(
    scenes: list[LoadedDeployment], since: float = WARM_UP_SECONDS
) -> float:
    return _p95(
        job.first_at - job.arrived
        for scene in scenes
        for job in scene.ended_jobs(since)
    )


def _between_tokens_p95(scenes: list[LoadedDeployment]) -> float:
    """Return the 95th percentile of step times, each weighted by its streams."""
    return _p95(
        seconds
        for scene in scenes
        for engine in scene.engines
        for seconds, streams in engine.steps
        for _ in range(streams)
    )


def _hit_fraction(scenes: list[LoadedDeployment]) -> float:
    """Return the fraction of the prompts' blocks that was cached."""
    jobs = [job for scene in scenes for job in scene.ended_jobs()]
    blocks = sum(len(job.blocks) for job in jobs)
    return sum(job.cached_fraction * len(job.blocks) for job in jobs) / blocks


def rows() -> Iterator[Row]:
    """Yield all rows."""
    for deployment in (PENGHU, SERRA):
        yield from _load_rows(deployment)
    for name, fault in FAULTS.items():
        for policy in ("fleet", *BASELINES):
            yield from _fault(name, fault, policy)


def _load_rows(deployment: Deployment) -> Iterator[Row]:
    ideal = _run(deployment, "ideal")
    name = f"runners first token p95 {deployment.name}"
    yield Row(f"{name} ideal", _first_token_p95(ideal), "s")
    for policy in ("fleet", *BASELINES):
        scenes = _run(deployment, policy)
        ours = policy == "fleet"
        tail = f"{deployment.name} {policy}"
        max_ratio = MAX_RATIO if ours else None
        min_hit_ratio = MIN_HIT_RATIO if ours else None
        first = _first_token_p95(scenes) / _first_token_p95(ideal)
        yield Row(
            f"runners first token p95 over ideal {tail}", first, "ratio", max_ratio
        )
        steps = _between_tokens_p95(scenes) / _between_tokens_p95(ideal)
        yield Row(
            f"runners between tokens p95 over ideal {tail}", steps, "ratio", max_ratio
        )
        hits = _hit_fraction(scenes) / _hit_fraction(ideal)
        name = f"runners prefix hits over ideal {tail}"
        yield Row(name, hits, "ratio", min_hit_ratio, "higher")


def _slow(engine: Engine) -> None:
    engine.slowdown = 10.0


def _silent(engine: Engine) -> None:
    engine.mode = "silent"


FAULTS: Final[dict[str, Callable[[Engine], None]]] = {
    "slow": _slow,
    "silent": _silent,
    "dead": Engine.crash,
}


def _fault(name: str, fault: Callable[[Engine], None], policy: str) -> Iterator[Row]:
    """Make one of nine runners fail at half load; compare with a run without fault."""
    healthy = LoadedDeployment(PENGHU, policy, 0.5)
    faulty = LoadedDeployment(PENGHU, policy, 0.5)
    faulty.world.after(FAULT_SECONDS, lambda: fault(faulty.engines[0]))
    for scene in (healthy, faulty):
        scene.world.run(END_SECONDS + 30.0)
    added = _first_token_p95([faulty], FAULT_SECONDS) - _first_token_p95(
        [healthy], FAULT_SECONDS
    )
    arrival_limit = END_SECONDS
    lost = sum(
        job.failed or job.ended_at < 0
        for router in faulty.routers.values()
        for job in router.jobs
        if job.arrived < arrival_limit
    )
    bound = 0.0 if policy == "fleet" else None
    yield Row(f"runners one {name} added first token p95 {policy}", added, "s")
    yield Row(
        f"runners one {name} failed requests {policy}", float(lost), "requests", bound
    )
