"""The daemon: builds the components of one process and starts and stops them in order.

On a graceful stop the daemon first drains: it finishes the requests in flight, returns
its grants and waits until the log has every record.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from contextlib import ExitStack
from random import Random
from types import TracebackType
from typing import Final, Self
from uuid import uuid4

import gevent
from gevent.pywsgi import WSGIServer

from godwitrudder.clock import HybridClock, SystemClock
from godwitrudder.connection.caller import CallerApplication
from godwitrudder.connection.ledgers import Offer
from godwitrudder.connection.peer import Handlers, PeerLinks, PeerServer
from godwitrudder.connection.queries import Status
from godwitrudder.connection.runner import RunnerLinks
from godwitrudder.connection.server import CallerServer
from godwitrudder.platform.hosts import HttpHostList
from godwitrudder.platform.log import StoreLog
from godwitrudder.process.budgets import BudgetManager
from godwitrudder.process.claims import ClaimManager
from godwitrudder.process.config_sync import ConfigSync
from godwitrudder.process.configuration import Configuration
from godwitrudder.process.console import Console
from godwitrudder.process.exchanges import ExchangeManager
from godwitrudder.process.homes import Homes
from godwitrudder.process.ledger import Ledger
from godwitrudder.process.members import Members
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.monitor import Monitor
from godwitrudder.process.operator import OperatorApplication
from godwitrudder.process.orphans import OrphanBiller
from godwitrudder.process.owners import PartitionOwners
from godwitrudder.process.payments import BaseRecordWriter
from godwitrudder.process.publisher import Publisher
from godwitrudder.process.recorder import Recorder
from godwitrudder.process.relay import Relay
from godwitrudder.process.router import Router
from godwitrudder.process.runners import RunnerManager
from godwitrudder.process.settings import Settings
from godwitrudder.process.takeover import Takeover
from godwitrudder.process.timeline import Timeline
from godwitrudder.process.turns import TurnManager
from godwitrudder.process.witness import WitnessService
from godwitrudder.request.choice import SLOTS_DEFAULT, Runner
from godwitrudder.version.document import BudgetModel

WITNESS_WAIT_SECONDS: Final = 10.0
WAIT_STEP_SECONDS: Final = 0.05
# Longest wait for stopped requests to end, and for their bills to reach the log.
CUT_WAIT_SECONDS: Final = 3.0

logger = logging.getLogger(__name__)


class Daemon:
    """One process of the fleet, as a context manager.

    Parameters
    ----------
    settings : Settings
        Identity, addresses and limits of the daemon.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = f"{settings.host}/{uuid4().hex[:12]}"
        self.clock = SystemClock()
        self.random = Random()
        self.metrics = Metrics()
        self.hybrid_clock = HybridClock(self.clock)
        self.timeline = Timeline(settings.host, self.hybrid_clock, self.incarnation)
        self.started_at = self.clock.now()
        self.draining = False
        self._stack = ExitStack()
        self._build()

    def _build(self) -> None:
        settings = self.settings
        self.log = StoreLog(settings.log)
        self.configuration = Configuration(
            self.log,
            self.metrics,
            self.clock,
            self.random,
            settings.log_retention_seconds,
        )
        self.members = Members(HttpHostList(settings.hosts), settings.host, self.clock)
        self.handlers = Handlers(self.hybrid_clock, self.metrics)
        self.handlers.on_peer_alive = self.members.record_contact
        self.handlers.on_peer_unreachable = self.members.lost
        self.peers = PeerLinks(
            self.incarnation,
            settings.peer_key,
            self.handlers,
            self.members.peer_address,
            self.clock,
            self.random,
        )
        self._peer_server = PeerServer(
            settings.peer,
            settings.peer_key,
            self.handlers,
            lambda host: self.members.peer_address(host) is not None,
        )
        self._config_sync = ConfigSync(
            settings.host,
            self.configuration,
            self.peers,
            self.handlers,
            lambda: list(self.members.routers_by_id),
            self.random,
        )
        self.ledger = Ledger(
            self.log,
            self.incarnation,
            settings.ledger_partitions,
            self.metrics,
            self.random,
            self.clock,
            lambda: len(self.members.routers_by_id),
            settings.log_retention_seconds,
            PartitionOwners(
                settings.host,
                self.peers,
                self.members.reachable_routers,
                self.clock,
                self.metrics,
            ),
        )
        self.handlers.register(Offer, self.ledger.append_offered)
        self._relay = Relay(
            self.ledger,
            self.peers,
            self.handlers,
            self._reachable_others,
            self.metrics,
            self.random,
        )
        self.budgets = BudgetManager(
            self.ledger,
            self.incarnation,
            self.clock,
            self.metrics,
            self.peers,
            self._endurance,
            lambda: list(self.members.routers_by_id),
        )
        self.budgets.register(self.handlers)
        self.witness = WitnessService(
            self.incarnation,
            settings.host,
            settings.failure_domain,
            self.ledger,
            self.members,
            self.peers,
            self.clock,
            self.metrics,
            self.budgets.holder.witness_set,
        )
        self.witness.register(self.handlers)
        self.links = RunnerLinks(self.clock)
        self._orphan_biller = OrphanBiller(
            self.links, self.members, self.ledger, self.metrics
        )
        self.witness.listen(self._orphan_biller.bill_streams)
        self.runners = RunnerManager(
            self.members,
            self.metrics,
            self.clock,
            self.random,
            settings.failure_domain,
            self._slots_per_runner,
        )
        self.turns = TurnManager(
            self.incarnation,
            self.configuration,
            self.members,
            self.peers,
            self.handlers,
            self.metrics,
            self.clock,
            self.runners,
        )
        self.exchanges = ExchangeManager(self.clock)
        self.takeover = Takeover(
            self.exchanges,
            Homes(settings.host, self.incarnation, self.members, self.peers),
            self.peers,
            self.links,
            self.members,
            self.ledger,
            self.witness,
        )
        self.takeover.register(self.handlers)
        self.router = Router(
            self.configuration,
            self.turns,
            self.runners,
            self.budgets,
            ClaimManager(self.ledger, self.incarnation),
            self.links,
            self.exchanges,
            self.takeover,
            self.timeline,
            self.metrics,
            self.clock,
        )
        self._payments = BaseRecordWriter(
            settings.host,
            self.ledger,
            settings.ledger_partitions,
            self._listed_routers,
            self.clock,
            self.metrics,
        )
        self.configuration.listen(self._payments.set_document)
        application = CallerApplication(
            self.router,
            lambda: self.configuration.document,
            lambda: not self.draining,
            self.metrics.render,
        )
        self._caller_server = CallerServer(
            settings.caller, application, lambda: self.draining
        )
        self._operator_server = self._build_operator_server()
        self.monitor = Monitor(self.metrics, self.incarnation, self.ledger.budget)
        self._attach_observers()

    def _attach_observers(self) -> None:
        """Record frames, records and configuration on the timeline and monitor them."""
        self.timeline.listeners.append(self.monitor.check_event)
        self.ledger.listen(self.monitor.check_effect)
        self.configuration.listen(self.monitor.check_version)
        self.configuration.diverged = self.monitor.report_divergence
        recorder = Recorder(self.timeline, self.incarnation)
        self.handlers.on_frame_sent = recorder.sent
        self.handlers.on_frame_received = recorder.received
        self.ledger.listen(recorder.record_effect)
        self.configuration.add_result_listener(recorder.record_config)

    def _build_operator_server(self) -> WSGIServer:
        settings = self.settings
        console = Console(
            self.configuration,
            self.ledger,
            self.members,
            self.peers,
            self.handlers,
            self.timeline,
            self.status,
        )
        publisher = Publisher(
            self.log, self.configuration, self.ledger, console, self.clock
        )
        application = OperatorApplication(
            settings.operator_keys_by_team, console, publisher
        )
        address = (settings.operator.ip, settings.operator.port)
        return WSGIServer(
            address,
            application,
            log=None,
            error_log=logger,
            spawn=application.MAX_CONCURRENT_REQUESTS,
        )

    def _listed_routers(self) -> list[str]:
        """Return the reachable routers, or none before the first host list."""
        return self.members.reachable_routers() if self.members.routers_by_id else []

    def _is_drained(self, runner: Runner) -> bool:
        """Return whether operators drained a runner, its target or failure domain."""
        drained = self.configuration.document.drained
        return (
            drained("runner", runner.id)
            or drained("target", runner.target)
            or drained("failure_domain", runner.failure_domain)
        )

    def status(self) -> Status:
        """Return the status that this daemon reports to operators."""
        configuration = self.configuration
        return Status(
            self.settings.host,
            self.incarnation,
            self.settings.failure_domain,
            configuration.document.version,
            configuration.fold.next_offset,
            round(configuration.in_force_seconds, 3),
            round(self.clock.now() - self.started_at, 3),
            self.router.in_flight,
            self.draining,
        )

    def _slots_per_runner(self, target: str) -> int:
        """Return a target's slots per runner.

        A target that the document no longer has gets ``SLOTS_DEFAULT``.
        """
        model = self.configuration.document.targets_by_id.get(target)
        return SLOTS_DEFAULT if model is None else model.slots_per_runner

    def __enter__(self) -> Self:
        """Start all tasks; open the caller port once the daemon is ready.

        It is ready when a document is in force and witnesses are selected (see
        ``_await_witnesses``).
        """
        self._stack.callback(self.log.close)
        self._stack.enter_context(self.links)
        self._stack.enter_context(self.peers)
        self._stack.enter_context(self._peer_server)
        self._stack.enter_context(self.ledger)
        self._stack.enter_context(self._relay)
        self._stack.enter_context(self.members)
        self.members.set_drain_check(self._is_drained)
        self._stack.enter_context(self.budgets)
        self._stack.enter_context(self._orphan_biller)
        self._stack.enter_context(self.witness)
        self.members.start_probes(self.peers.probe, self.random)
        self._stack.enter_context(self.configuration)
        self._stack.enter_context(self.runners)
        self._stack.enter_context(self.turns)
        self._stack.enter_context(self._config_sync)
        self._stack.enter_context(self._payments)
        self._operator_server.start()
        self._stack.callback(self._operator_server.stop, 0)
        self.configuration.loaded.wait()
        self._await_witnesses()
        self._caller_server.start()
        self._stack.callback(self._caller_server.stop, 0)
        logger.info(
            "%s listens for callers on %s", self.incarnation, self.settings.caller
        )
        return self

    def _await_witnesses(self) -> None:
        """Wait until witnesses are selected, up to ``WITNESS_WAIT_SECONDS``.

        A daemon that is alone in the host list continues without witnesses.

        If a request is dispatched from a grant without witnesses and this process
        dies, no other daemon knows of the request.  It is then served but never
        billed, and the tokens of its grant are not returned.
        """
        deadline = self.clock.now() + WITNESS_WAIT_SECONDS
        while not self.budgets.has_witnesses and self.clock.now() < deadline:
            if self.members.listed and len(self.members.routers_by_id) <= 1:
                return
            gevent.sleep(WAIT_STEP_SECONDS)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all tasks at once; call ``drain`` before for a graceful stop."""
        self._stack.close()

    def drain(self, grace_seconds: float | None = None) -> int:
        """Finish the requests in flight, return the grants and settle the bills.

        The health check fails at once.  The load balancer notices this with a delay,
        so new requests are accepted for the grace period.  After it they are refused
        as not run.

        Parameters
        ----------
        grace_seconds : float, optional
            Replaces the grace period of the settings.

        Returns
        -------
        int
            Number of requests that were cut at the deadline.
        """
        grace = self.settings.drain_grace_seconds
        grace = grace if grace_seconds is None else grace_seconds
        self.draining = True
        deadline = self.clock.now() + self.settings.drain_seconds
        gevent.sleep(min(grace, self.settings.drain_seconds))
        self.router.closed = True
        self._wait_until(lambda: not self.router.in_flight, deadline)
        cut = self.cut()
        self._wait_until(
            self._settle, max(deadline, self.clock.now() + CUT_WAIT_SECONDS)
        )
        if not self.router.in_flight and self.ledger.settled():
            self.budgets.leave()
        self.monitor.check_drain(cut)
        return cut

    def cut(self) -> int:
        """Stop the requests in flight, log their ids and wait until they have ended.

        Returns
        -------
        int
            Number of requests stopped.
        """
        self.router.closed = True
        requests = self.exchanges.stop_all()
        if requests:
            logger.warning("%d requests cut: %s", len(requests), ", ".join(requests))
        deadline = self.clock.now() + CUT_WAIT_SECONDS
        self._wait_until(lambda: not self.router.in_flight, deadline)
        return len(requests)

    def _settle(self) -> bool:
        """Return idle grants; True if none is left and the log has every record."""
        self.budgets.return_idle()
        return self.budgets.holder.allocator.empty and self.ledger.settled()

    def _wait_until(self, done: Callable[[], bool], deadline: float) -> None:
        while not done() and self.clock.now() < deadline:
            gevent.sleep(WAIT_STEP_SECONDS)

    def _reachable_others(self) -> list[str]:
        hosts = self.members.reachable_routers()
        return [host for host in hosts if host != self.settings.host]

    def _endurance(self, budget: str) -> float:
        model = self.configuration.document.budgets_by_id.get(budget)
        return (model or BudgetModel(0)).endurance
