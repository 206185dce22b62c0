"""Simulated routers: the daemon's decision modules and messages on a virtual clock."""

from __future__ import annotations

from random import Random
from typing import Final

from bench.engines import SLOTS, STREAMS_DOUBLING_STEP, Engine, Job
from bench.simulation import Network, World
from godwitrudder.connection.liveness import Liveness
from godwitrudder.connection.runner import LinkTimeouts
from godwitrudder.connection.shares import ShareAnswer, ShareReport
from godwitrudder.process.members import MAX_PROBES, PROBE_SECONDS
from godwitrudder.process.runners import POLLS_PER_SECOND
from godwitrudder.request.choice import REPORT_LAG_SECONDS, Runner
from godwitrudder.request.runner_selector import RunnerSelector, apply_share_answer
from godwitrudder.request.share import (
    STALE_PERIODS,
    ShareAggregator,
    aggregator,
    period_seconds,
)
from godwitrudder.request.share_reporter import ShareReporter
from godwitrudder.request.slots import Slots
from godwitrudder.request.turn import Ticket
from godwitrudder.validation import Address

TARGET: Final = "t"
POLL_LAG_SECONDS: Final = 1.0
MAX_ATTEMPTS: Final = 3
FAR_SECONDS: Final = 1e9


class Router:
    """One simulated router.

    Parameters
    ----------
    name, domain : str
        Host and failure domain.
    policy : str
        ``fleet`` for the daemon's own policy, ``ideal`` for one central router with
        perfect knowledge, or a baseline: ``round_robin`` or ``least_connections``.
    unit : str
        What turns count: ``tokens`` or ``requests``.
    """

    def __init__(
        self,
        world: World,
        network: Network,
        name: str,
        domain: str,
        engines: list[Engine],
        policy: str,
        unit: str = "tokens",
    ) -> None:
        self.world = world
        self.network = network
        self.name = name
        self.policy = policy
        self.unit = unit
        self.engines_by_name = {engine.name: engine for engine in engines}
        address = Address("127.0.0.1", 1)
        self.runners_by_id = {
            engine.name: Runner(engine.name, TARGET, address, engine.domain)
            for engine in engines
        }
        self.selector = RunnerSelector(domain, Random(name))
        self.slots = Slots(TARGET)
        self.reporter = ShareReporter(self.slots, name)
        self.share_aggregator = ShareAggregator()
        self.liveness = Liveness(name)
        self.peers: dict[str, Router] = {}
        self.jobs_by_name: dict[str, Job] = {}
        self.jobs: list[Job] = []
        self.retries = 0
        self._turn = 0
        self._aggregator_host = name
        self._answered_at = 0.0
        self._period = 0.0
        self._polled_to_by_engine: dict[str, float] = {}

    def join(self, peers: dict[str, Router]) -> None:
        """Set the peers and start the periodic tasks of a daemon."""
        self.peers = peers
        self.liveness.update_hosts(dict.fromkeys(peers, False), self.world.clock.now())
        self._use_own_share()
        if self.policy != "fleet":
            self.slots.set_slots(
                FAR_SECONDS if self.policy != "ideal" else self._total_slots()
            )
            return
        jitter = self.world.random.random()
        period = period_seconds(len(peers))
        self.world.after(jitter * period, self._report_periodically)
        self.world.after(
            jitter, lambda: self.world.every(PROBE_SECONDS, self._probe_due_hosts)
        )
        self.world.every(1.0 / POLLS_PER_SECOND, self._poll)

    def arrive(self, job: Job) -> None:
        """Queue a request."""
        self.jobs.append(job)
        cost = float(job.tokens) if self.unit == "tokens" else 1.0
        job.ticket = Ticket(job.name, job.workspace, cost, FAR_SECONDS)
        self.jobs_by_name[job.name] = job
        self.slots.queue.push(job.ticket, 1.0, self.world.clock.now())
        self._start()

    def on_first_token(self, job: Job, engine: str) -> None:
        """Record the time to first token of the runner's oldest unanswered request.

        The token is counted for that request, whichever job it belongs to.
        """
        now = self.world.clock.now()
        runner = self.runners_by_id[engine]
        if runner.unanswered:
            runner.first_token(now - min(runner.unanswered), now)

    def on_completed(self, job: Job, engine: str) -> None:
        """Handle the end of a job's answer."""
        now = self.world.clock.now()
        job.ended_at = now
        self.runners_by_id[engine].ended(True, now)
        self._end(job)

    def on_failed(self, job: Job, attempt: int, engine: str) -> None:
        """Handle the failure of an attempt; retry at another runner."""
        if attempt != job.attempt or job.ended_at >= 0:
            return
        job.attempt += 1
        self.runners_by_id[engine].ended(False, self.world.clock.now())
        job.excluded.add(engine)
        self.retries += 1
        self._dispatch(job)

    def _start(self) -> None:
        for ticket in list(self.slots.start(self.world.clock.now())):
            self._dispatch(self.jobs_by_name[ticket.request])

    def _end(self, job: Job) -> None:
        assert job.ticket is not None
        del self.jobs_by_name[job.name]
        self.slots.end(job.ticket, job.ticket.cost, self.world.clock.now())
        self._start()

    def _dispatch(self, job: Job) -> None:
        now = self.world.clock.now()
        runner = self._choose(job, now) if job.attempt < MAX_ATTEMPTS else None
        if runner is None:
            job.failed = True
            job.ended_at = now
            self._end(job)
            return
        runner.started(now)
        engine = self.engines_by_name[runner.id]
        priority = 0.0
        if self.policy in ("fleet", "ideal"):
            priority = self.slots.priority(job.workspace)
        self.network.send(
            self.name, engine.name, lambda: engine.submit(job, priority, self)
        )
        self._watch_progress(job, job.attempt, engine.name, job.generated)

    def _watch_progress(self, job: Job, attempt: int, engine: str, made: int) -> None:
        """Fail an attempt without progress, as the daemon's link does."""

        def check() -> None:
            if attempt != job.attempt or job.ended_at >= 0:
                return
            # Only a silent runner stalls an attempt; waiting in its queue is progress.
            if job.generated == made and self.engines_by_name[engine].mode == "silent":
                self.on_failed(job, attempt, engine)
                return
            self._watch_progress(job, attempt, engine, job.generated)

        self.world.after(LinkTimeouts().stall, check)

    def _choose(self, job: Job, now: float) -> Runner | None:
        runners = [r for r in self.runners_by_id.values() if r.id not in job.excluded]
        if self.policy == "round_robin":
            self._turn += 1
            return runners[self._turn % len(runners)]
        if self.policy == "least_connections":
            return min(runners, key=lambda r: (r.in_flight, self.world.random.random()))
        if self.policy == "ideal":
            return min(runners, key=lambda r: self._true_score(r, job))
        everyone = list(self.runners_by_id.values())
        self.selector.eject_outliers(everyone, now)
        return self.selector.choose(
            TARGET, everyone, job.blocks, job.excluded, now, SLOTS
        )

    def _true_score(self, runner: Runner, job: Job) -> tuple[bool, float]:
        """Return a runner's score from its true state.

        The score is whether the runner is full or faulty, then the steps that the
        job needs, weighted by the time of a step.
        """
        engine = self.engines_by_name[runner.id]
        prefill = len(job.blocks) * (1.0 - engine.cached_prefix_fraction(job.blocks))
        full = engine.load >= SLOTS
        slowness = (1 + engine.load / STREAMS_DOUBLING_STEP) * engine.slowdown
        return full or engine.mode != "up", (prefill + job.tokens) * slowness

    def _total_slots(self) -> float:
        return float(SLOTS * len(self.engines_by_name))

    def _use_own_share(self) -> None:
        share = self.liveness.reachable_fraction(self.world.clock.now())
        routers = len(self.liveness.reachable())
        self.slots.take_shares(
            ShareAnswer(False, self._total_slots() * share / routers)
        )

    def _report_periodically(self) -> None:
        self._report()
        period = max(self._period, period_seconds(len(self.peers)))
        self.world.after(period, self._report_periodically)

    def _report(self) -> None:
        host = aggregator(TARGET, self.liveness.reachable()) or self.name
        if host != self._aggregator_host:
            self.reporter.restart()
            self._aggregator_host = host
            self._period = 0.0
        if self.reporter.idle:
            self._answered_at = self.world.clock.now()
            self._use_own_share()
            return
        in_flight_by_runner = {r.id: r.in_flight for r in self.runners_by_id.values()}
        self._send(host, self.reporter.next(in_flight_by_runner, []))
        late = STALE_PERIODS * period_seconds(len(self.peers))
        if self.world.clock.now() - self._answered_at > late:
            self.reporter.restart()
            self._use_own_share()

    def _send(self, host: str, report: ShareReport) -> None:
        peer = self.peers[host]

        def answer() -> None:
            got = peer.answer_report(report)
            whole = report.number == 0
            self.network.send(host, self.name, lambda: self._apply_answer(got, whole))

        self.network.send(self.name, host, answer)

    def answer_report(self, report: ShareReport) -> ShareAnswer:
        """Answer a report as the aggregator."""
        now = self.world.clock.now()
        slots = self._total_slots() * self.liveness.reachable_fraction(now)
        routers = len(self.liveness.reachable())
        return self.share_aggregator.take(report, slots, {}, routers, now)

    def _apply_answer(self, answer: ShareAnswer, whole: bool) -> None:
        if answer.whole:
            self.reporter.restart()
            return
        now = self.world.clock.now()
        self._answered_at = now
        self._period = answer.period_seconds
        self.slots.take_shares(answer)
        apply_share_answer(self.runners_by_id.values(), answer, whole, now)
        self._start()

    def _probe_due_hosts(self) -> None:
        now = self.world.clock.now()
        random = self.world.random
        for host in self.liveness.to_probe(now, MAX_PROBES, random):
            self._probe(host)

    def _probe(self, host: str) -> None:
        asked = self.world.clock.now()

        def pong() -> None:
            self.liveness.record_contact(host, self.world.clock.now())

        def ping() -> None:
            self.peers[host].liveness.record_contact(self.name, self.world.clock.now())
            self.network.send(host, self.name, pong)

        def check_timeout() -> None:
            if self.liveness.states_by_host[host].heard_at < asked:
                self.liveness.record_failure(host, self.world.clock.now())

        self.network.send(self.name, host, ping)
        self.world.after(1.0, check_timeout)

    def _poll(self) -> None:
        """Poll the next runner for its load and cache events.

        Both are ``POLL_LAG_SECONDS`` old, and some cache events are missing.
        """
        now = self.world.clock.now()
        self._turn += 1
        engine = list(self.engines_by_name.values())[
            self._turn % len(self.engines_by_name)
        ]
        runner = self.runners_by_id[engine.name]
        if engine.mode != "up":
            runner.record_failure(now)
            return
        polled_to = now - POLL_LAG_SECONDS
        older = [load for at, load in engine.loads if at <= polled_to]
        if older:
            reported_at = now - REPORT_LAG_SECONDS
            runner.update_others(older[-1] - runner.in_flight, reported_at)
        since = self._polled_to_by_engine.get(engine.name, -1.0)
        for at, stored, name in engine.events:
            if since < at <= polled_to and stored:
                self.selector.prefixes.record_stored(engine.name, [name], now)
            elif since < at <= polled_to:
                self.selector.prefixes.record_evicted(engine.name, name)
        self._polled_to_by_engine[engine.name] = polled_to
