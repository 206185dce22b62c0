"""One run of a budget scenario: load, the truth beside it, and what was seen.

The run knows what every engine really generated, so overspend and false refusals
are judged by the truth and not by what any router believes.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from bench.budget_fleet import Node, SharedLog
from bench.simulation import Action, Network, SimulatedLog, World
from godwitrudder.request.events import Refuse
from godwitrudder.request.holder import DispatchAllowed, Step
from godwitrudder.version import records

LOAD_SECONDS: Final = 900.0
TOP_UP_SECONDS: Final = 700.0
TOP_UP_ACCEPTED_SECONDS: Final = 0.02
SETTLE_SECONDS: Final = 60.0
PROBE_SECONDS: Final = 30.0
DEADLINE_SECONDS: Final = 30.0
REQUESTS_PER_SECOND: Final = 5.0
MIN_BOUND_TOKENS: Final = 300
MAX_BOUND_TOKENS: Final = 1200
MIN_USED_SHARE: Final = 0.3
MAX_USED_SHARE: Final = 0.9
MIN_SERVICE_SECONDS: Final = 2.0
MAX_SERVICE_SECONDS: Final = 8.0
PLENTY_SHARE: Final = 0.2
NEARLY_SPENT_SHARE: Final = 0.05
TOKENS_PER_SECOND: Final = (
    REQUESTS_PER_SECOND
    * (MIN_BOUND_TOKENS + MAX_BOUND_TOKENS)
    / 2
    * (MIN_USED_SHARE + MAX_USED_SHARE)
    / 2
)
# Share of the load and how many seconds of it each budget pays for.
BUDGETS: Final = (
    (0.35, 200_000.0),
    (0.20, 600.0),
    (0.15, 200_000.0),
    (0.05, 300.0),
    (0.05, 500.0),
    (0.04, 800.0),
    (0.04, 200_000.0),
    (0.04, 200_000.0),
    (0.04, 200_000.0),
    (0.04, 200_000.0),
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size of a fleet; ``delay`` is one way between domains, in seconds."""

    name: str
    routers: int
    domains: tuple[str, ...]
    delay: float


PENGHU: Final = Deployment(
    "penghu", 7, ("magong", "budai", "anping", "donggang"), 0.0005
)
SERRA: Final = Deployment("serra", 6, ("caxias", "gramado", "bento"), 0.0015)


class BudgetRouter(Protocol):
    """What serves requests: a router, or a baseline in its place."""

    dead: bool

    def execute(self, action: Action) -> None:
        """Run an action in the process."""

    def reserve(
        self,
        request: str,
        budget: str,
        tokens: int,
        deadline: float,
        on_step: Callable[[Step], None],
    ) -> None:
        """Reserve tokens."""

    def announce(
        self, request: str, deadline: float, on_step: Callable[[Step], None]
    ) -> None:
        """Announce the dispatch."""

    def end(self, request: str, used: int) -> None:
        """End a request."""

    def pause(self) -> None:
        """Stop the process."""

    def resume(self) -> None:
        """Let it go on."""

    def top_up(self, budget: str, tokens: int) -> None:
        """Learn of a top-up by other ways than the log."""


@dataclass(slots=True)
class ActualUsage:
    """What really happened, in tokens and requests."""

    paid_by_budget: dict[str, int]
    served_by_budget: Counter[str] = field(default_factory=Counter)
    running_by_budget: Counter[str] = field(default_factory=Counter)
    used_by_request: dict[str, int] = field(default_factory=dict)
    router_by_request: dict[str, int] = field(default_factory=dict)
    refused_at_by_budget: dict[str, float] = field(default_factory=dict)
    requests: int = 0
    refused: int = 0
    false_refusals_by_budget: Counter[str] = field(default_factory=Counter)
    false_refusals: int = 0
    false_refusals_with_plenty: int = 0
    overspent: int = 0
    stranded: int = 0

    def remaining(self, budget: str) -> int:
        """Tokens that no request was or is being served from."""
        spent = self.served_by_budget[budget] + self.running_by_budget[budget]
        return self.paid_by_budget[budget] - spent

    def record_refusal(self, budget: str, tokens: int, now: float) -> None:
        """Judge a refusal."""
        self.refused += 1
        self.refused_at_by_budget[budget] = now
        left = self.remaining(budget)
        if tokens <= left:
            self.false_refusals += 1
            self.false_refusals_by_budget[budget] += 1
            if left >= PLENTY_SHARE * self.paid_by_budget[budget]:
                self.false_refusals_with_plenty += 1

    def record_served(self, budget: str, used: int) -> None:
        """Count what an engine generated."""
        self.running_by_budget[budget] -= used
        self.served_by_budget[budget] += used
        over = self.served_by_budget[budget] - self.paid_by_budget[budget]
        self.overspent = max(self.overspent, over)


class Run:
    """A deployment under load, with faults to be set by the scenario."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.world = World(seed)
        self.network = Network(self.world, deployment.delay)
        self.log = SimulatedLog(self.world, self.network)
        self.shared = SharedLog(self.world, self.log)
        self.deployment = deployment
        names = deployment.domains
        self.domain_by_host = {
            f"router-{n}": names[n % len(names)] for n in range(deployment.routers)
        }
        self.truth = ActualUsage(
            {
                f"budget-{n}": int(share * seconds * TOKENS_PER_SECOND)
                for n, (share, seconds) in enumerate(BUDGETS)
            }
        )
        self.budget_routers: list[BudgetRouter] = []
        for number, (budget, paid) in enumerate(self.truth.paid_by_budget.items()):
            self.shared.append_as_operator(records.Base(budget, paid, number))

    def with_nodes(self, endurance: float, witnessed: bool = True) -> Run:
        """Serve by the product's routers."""
        nodes = [
            Node(
                self.world,
                self.network,
                self.shared,
                host,
                self.domain_by_host,
                endurance,
                witnessed,
            )
            for host in self.domain_by_host
        ]
        for node in nodes:
            node.nodes_by_host = {other.host: other for other in nodes}
        self.shared.nodes = nodes
        self.budget_routers = list(nodes)
        return self

    def play(self) -> ActualUsage:
        """Run load, faults and the probes at the end."""
        self.world.after(1.0, self._next_request)
        self.world.after(TOP_UP_SECONDS, self._top_up)
        self.world.run(LOAD_SECONDS + SETTLE_SECONDS)
        for budget in self.truth.refused_at_by_budget:
            self._probe_remainder(budget)
        self.world.run(LOAD_SECONDS + 2 * SETTLE_SECONDS)
        return self.truth

    def billed_wrongly(self) -> tuple[int, int]:
        """Return how many requests were billed twice, and never."""
        bills = [
            self.shared.bills_by_request.get(r, 0) for r in self._served_requests()
        ]
        return sum(1 for n in bills if n > 1), sum(1 for n in bills if n == 0)

    def stranded_share(self, dead: Node) -> float:
        """Return the largest share of a budget that is stuck with a dead router."""
        served: dict[str, int] = defaultdict(int)
        number = self.budget_routers.index(dead)
        for request, desk in self.truth.router_by_request.items():
            if desk == number and request not in self.shared.bills_by_request:
                budget = request.split("/")[0]
                served[budget] += self.truth.used_by_request.get(request, 0)
        shares = [0.0]
        for budget, state in self.shared.fold.budgets_by_id.items():
            stuck = sum(
                holding.remaining
                for holder, holding in state.holdings_by_incarnation.items()
                if holder.startswith(dead.incarnation + "+")
            )
            shares.append((stuck - served[budget]) / state.paid)
        return max(shares)

    def _served_requests(self) -> list[str]:
        return [r for r, used in self.truth.used_by_request.items() if used > 0]

    def _next_request(self) -> None:
        """One caller asks, and the next one after an exponential gap."""
        random = self.world.random
        if self.world.clock.now() < LOAD_SECONDS:
            gap = random.expovariate(REQUESTS_PER_SECOND)
            self.world.after(gap, self._next_request)
        shares = [share for share, _ in BUDGETS]
        number = random.choices(range(len(BUDGETS)), shares)[0]
        bound = random.randint(MIN_BOUND_TOKENS, MAX_BOUND_TOKENS)
        used = int(bound * random.uniform(MIN_USED_SHARE, MAX_USED_SHARE))
        live = [n for n, desk in enumerate(self.budget_routers) if not desk.dead]
        self._send_request(f"budget-{number}", bound, used, random.choice(live))

    def _send_request(self, budget: str, bound: int, used: int, desk: int) -> None:
        self.truth.requests += 1
        request = f"{budget}/{self.truth.requests}"
        router = self.budget_routers[desk]
        deadline = 0.0

        def arrive() -> None:
            nonlocal deadline
            deadline = self.world.clock.now() + DEADLINE_SECONDS
            router.reserve(request, budget, bound, deadline, reserved)

        def reserved(step: Step) -> None:
            if isinstance(step, Refuse):
                self.truth.record_refusal(budget, bound, self.world.clock.now())
            else:
                router.announce(request, deadline, announced)

        def announced(step: Step) -> None:
            if isinstance(step, DispatchAllowed):
                self.truth.router_by_request[request] = desk
                self._dispatch(request, budget, used, router)
            else:
                self.truth.record_refusal(budget, bound, self.world.clock.now())
                router.end(request, 0)

        router.execute(arrive)

    def _dispatch(
        self, request: str, budget: str, used: int, router: BudgetRouter
    ) -> None:
        """The engine generates, whatever becomes of the router."""
        self.truth.running_by_budget[budget] += used
        seconds = self.world.random.uniform(MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS)

        def ended() -> None:
            self.truth.used_by_request[request] = used
            self.truth.record_served(budget, used)
            router.execute(lambda: router.end(request, used))

        self.world.after(seconds, ended)

    def _top_up(self) -> None:
        """Pay more into a budget that has run out."""
        tokens = self.truth.paid_by_budget["budget-1"] // 10
        self.shared.append_as_operator(records.TopUp("op", "budget-1", tokens, "bench"))
        for desk in self.budget_routers:
            desk.top_up("budget-1", tokens)

        def accepted() -> None:
            self.truth.paid_by_budget["budget-1"] += tokens

        self.world.after(TOP_UP_ACCEPTED_SECONDS, accepted)

    def _probe_remainder(self, budget: str) -> None:
        """Ask for all that is left; what can't be had is stranded."""
        left = self.truth.remaining(budget)
        if not 0 < left < NEARLY_SPENT_SHARE * self.truth.paid_by_budget[budget]:
            return
        desk = next(n for n, desk in enumerate(self.budget_routers) if not desk.dead)
        self._send_request(budget, left, left, desk)

        def judge() -> None:
            if self.truth.remaining(budget) > 0:
                self.truth.stranded += left

        self.world.after(PROBE_SECONDS + 1, judge)
