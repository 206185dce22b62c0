"""Fairness of turns over the fleet: shares, waits, partitions and recovery."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from random import Random
from typing import Final

from bench.engines import SLOTS, STEP_SECONDS, Engine, Job
from bench.report import Row
from bench.routing import Router
from bench.simulation import Network, World

DOMAINS: Final = ("magong", "budai", "anping", "donggang")
ROUTERS: Final = 7
ENGINES: Final = 9
TOKENS: Final = 60
WARM_UP_SECONDS: Final = 20
SEEDS: Final = (2, 3, 4)
WINDOW_SECONDS: Final = 10
BIG_WORKSPACE: Final = "big"
SMALL_WORKSPACES: Final = tuple(f"small-{number}" for number in range(6))
MIN_JAIN_INDEX: Final = 0.98
MAX_WAIT_RATIO: Final = 2.0
MAX_RECOVERY_SECONDS: Final = 5.0
PARTITION_SECONDS: Final = 600


class LoadedFleet:
    """Simulated routers and engines that serve the requests of some workspaces.

    Parameters
    ----------
    policy : str
        Policy of the routers, see ``Router``.
    unit : str
        What turns count: ``tokens`` or ``requests``.
    """

    def __init__(self, policy: str, seed: int, unit: str = "tokens") -> None:
        self.world = World(seed)
        self.network = Network(self.world)
        self.engines = [
            Engine(self.world, f"e{n}", DOMAINS[n % len(DOMAINS)])
            for n in range(ENGINES)
        ]
        self.routers = {
            f"r{n}": Router(
                self.world,
                self.network,
                f"r{n}",
                DOMAINS[n % len(DOMAINS)],
                self.engines,
                policy,
                unit,
            )
            for n in range(ROUTERS)
        }
        for router in self.routers.values():
            router.join(self.routers)
        self._number = 0
        self._seed = seed

    def add_load(
        self, workspace: str, rate: float, entries: list[str], tokens: int = TOKENS
    ) -> None:
        """Send requests of a workspace through some routers at random times.

        Parameters
        ----------
        rate : float
            Mean requests per second.
        entries : list of str
            Routers that get the requests.
        tokens : int
            Mean length of an answer.
        """
        random = Random(f"{workspace} {self._seed}")

        def arrive() -> None:
            self._number += 1
            name = f"{workspace}/{self._number}"
            length = random.randint(tokens // 2, tokens * 3 // 2)
            now = self.world.clock.now()
            job = Job(name, workspace, [], length, now)
            self.routers[random.choice(entries)].arrive(job)
            self.world.after(random.expovariate(rate), arrive)

        self.world.after(random.expovariate(rate), arrive)

    def jain(self, start: int, workspaces: tuple[str, ...], routers: set[str]) -> float:
        """Return the Jain index of the tokens generated in one window.

        Parameters
        ----------
        start : int
            Second at which the window of ``WINDOW_SECONDS`` starts.
        workspaces : tuple of str
            Workspaces that are compared.
        routers : set of str
            Routers whose requests count.
        """
        totals = dict.fromkeys(workspaces, 0.0)
        for engine in self.engines:
            for (router, workspace, second), made in engine.tokens_by_key.items():
                if start <= second < start + WINDOW_SECONDS and router in routers:
                    totals[workspace] += made
        return jain([*totals.values()])

    def generated_tokens(self) -> int:
        """Return the number of tokens generated after the warm-up."""
        return sum(
            made
            for engine in self.engines
            for (_, _, second), made in engine.tokens_by_key.items()
            if second >= WARM_UP_SECONDS
        )

    def first_token_waits(self, workspaces: tuple[str, ...]) -> list[float]:
        """Return the seconds to the first token of requests after the warm-up."""
        return [
            job.first_at - job.arrived
            for router in self.routers.values()
            for job in router.jobs
            if job.workspace in workspaces
            and job.first_at >= 0
            and job.arrived > WARM_UP_SECONDS
        ]


def capacity() -> float:
    """Return the requests per second that all engines can serve."""
    step = STEP_SECONDS * (1 + SLOTS / 16)
    return ENGINES * SLOTS / (step * TOKENS)


def jain(values: list[float]) -> float:
    """Return Jain's fairness index, which is 1 if all values are equal."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def percentile(values: list[float], share: float) -> float:
    """Return the quantile ``share``, from 0 to 1, of sorted values."""
    return values[min(len(values) - 1, int(share * len(values)))]


def rows() -> Iterator[Row]:
    """Yield all rows."""
    for entry in ("one", "all"):
        for policy in ("fleet", "least_connections", "round_robin"):
            yield from _fairness(policy, entry)
            yield from _wait_rows(policy, entry)
    yield from _request_unit_rows()
    yield from _partition_rows()


def _big_entries(entry: str) -> list[str]:
    return ["r0"] if entry == "one" else [f"r{n}" for n in range(ROUTERS)]


def _fairness(policy: str, entry: str) -> Iterator[Row]:
    """Give every workspace more load than its share, and one 20 times as much."""
    scene = LoadedFleet(policy, 1)
    share = capacity() / (1 + len(SMALL_WORKSPACES))
    for number, name in enumerate(SMALL_WORKSPACES):
        scene.add_load(name, share * 1.3, [f"r{1 + number % (ROUTERS - 1)}"])
    scene.add_load(BIG_WORKSPACE, share * 1.3 * 20, _big_entries(entry))
    end = 80
    scene.world.run(end)
    yield _jain_row(scene, f"turns jain 20x at {entry} {policy}", policy, end)


def _jain_row(scene: LoadedFleet, name: str, policy: str, end: int) -> Row:
    starts = range(WARM_UP_SECONDS, end, WINDOW_SECONDS)
    worst = min(
        scene.jain(at, (BIG_WORKSPACE, *SMALL_WORKSPACES), set(scene.routers))
        for at in starts
    )
    bound = MIN_JAIN_INDEX if policy == "fleet" else None
    return Row(f"{name} worst window", worst, "index", bound, "higher")


def _wait_rows(policy: str, entry: str) -> Iterator[Row]:
    """Load small workspaces at half their share, with and without the big one."""
    share = capacity() / (1 + len(SMALL_WORKSPACES))
    waits: dict[bool, list[float]] = {False: [], True: []}
    made = 0
    for seed in SEEDS:
        for big in (False, True):
            scene = LoadedFleet(policy, seed)
            for number, name in enumerate(SMALL_WORKSPACES):
                scene.add_load(name, share * 0.5, [f"r{1 + number % (ROUTERS - 1)}"])
            if big:
                scene.add_load(BIG_WORKSPACE, share * 0.5 * 20, _big_entries(entry))
            scene.world.run(80)
            waits[big] += scene.first_token_waits(SMALL_WORKSPACES)
        made += scene.generated_tokens()
    beside, alone = (percentile(sorted(waits[big]), 0.95) for big in (True, False))
    bound = MAX_WAIT_RATIO if policy == "fleet" else None
    yield Row(
        f"turns small wait ratio 20x at {entry} {policy}",
        beside / alone,
        "ratio",
        bound,
    )
    full = capacity() * TOKENS * (80 - WARM_UP_SECONDS) * len(SEEDS)
    name = f"turns tokens over full batches 20x at {entry} {policy}"
    yield Row(name, made / full, "ratio")


def _request_unit_rows() -> Iterator[Row]:
    """Count turns in requests; the answers of one workspace are 3 times as long."""
    scene = LoadedFleet("fleet", 3, "requests")
    share = capacity() / 2
    scene.add_load("short", share * 3, ["r1", "r2", "r3"])
    scene.add_load("long", share * 3, ["r4", "r5", "r6"], TOKENS * 3)
    scene.world.run(120)
    ended: dict[str, float] = defaultdict(float)
    for router in scene.routers.values():
        for job in router.jobs:
            if job.ended_at > 40:
                ended[job.workspace] += 1
    yield Row(
        "turns jain unit requests", jain([*ended.values()]), "index", None, "higher"
    )


def _partition_rows() -> Iterator[Row]:
    """Disconnect two groups of routers that both still reach all runners."""
    scene = LoadedFleet("fleet", 4)
    names = list(scene.routers)
    share = capacity() / (1 + len(SMALL_WORKSPACES))
    for number, name in enumerate(SMALL_WORKSPACES):
        scene.add_load(name, share * 1.3, [f"r{1 + number % (ROUTERS - 1)}"])
    scene.add_load(BIG_WORKSPACE, share * 1.3 * 20, names)
    scene.world.run(30)
    scene.network.disconnect(names[:3], names[3:])
    end = 30 + PARTITION_SECONDS
    scene.world.run(end)
    for side, routers in {"left": names[:3], "right": names[3:]}.items():
        smalls = [
            name
            for n, name in enumerate(SMALL_WORKSPACES)
            if f"r{1 + n % 6}" in routers
        ]
        workspaces = (BIG_WORKSPACE, *smalls)
        windows = range(60, end - WINDOW_SECONDS, WINDOW_SECONDS)
        worst = min(scene.jain(at, workspaces, set(routers)) for at in windows)
        name = f"turns jain within side {side} of a partition worst window"
        yield Row(name, worst, "index", MIN_JAIN_INDEX, "higher")
    running = sum(router.slots.slots for router in scene.routers.values())
    total = len(scene.engines) * SLOTS
    yield Row("turns slots over capacity in a partition", running / total, "ratio")
    scene.network.heal()
    yield Row(
        "turns recovery after a partition",
        _recovery_seconds(scene, end),
        "s",
        MAX_RECOVERY_SECONDS,
    )


def _recovery_seconds(scene: LoadedFleet, healed: float) -> float:
    """Return the seconds until all routers see the same peers and slots add up.

    The slots of all routers may differ from the capacity by less than 10 percent.
    Returns 40 if that isn't reached.
    """
    for step in range(1, 400):
        scene.world.run(healed + step * 0.1)
        views = {tuple(r.liveness.reachable()) for r in scene.routers.values()}
        slots = sum(router.slots.slots for router in scene.routers.values())
        over = abs(slots / (len(scene.engines) * SLOTS) - 1.0)
        if len(views) == 1 and over < 0.1:
            return step * 0.1
    return 40.0
