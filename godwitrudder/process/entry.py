"""The entry: the process that forwards callers' requests on the users' platform."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from random import Random
from typing import Any, Final

import gevent
from gevent import Greenlet, socket
from gevent.server import StreamServer

from godwitrudder.connection.http import CallerDisconnected, CallerLink
from godwitrudder.connection.messages import CallerRequest, Malformed
from godwitrudder.connection.runner_pool import LinkPool
from godwitrudder.connection.traffic import Traffic
from godwitrudder.connection.writers import CallerNotReading
from godwitrudder.platform import names
from godwitrudder.platform.settings import EntrySettings
from godwitrudder.platform.store import Store
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.eligibility import Eligibility
from godwitrudder.process.forwarding.forwarder import Forwarder
from godwitrudder.process.forwarding.headroom_gossip import HeadroomGossip
from godwitrudder.process.forwarding.responder import Responder
from godwitrudder.process.forwarding.runner_choice import RunnerChoice
from godwitrudder.process.forwarding.runner_queues import RunnerQueues
from godwitrudder.process.forwarding.second_attempts import SecondAttempts
from godwitrudder.process.forwarding.sender import Sender
from godwitrudder.process.forwarding.token_desk import TokenDesk
from godwitrudder.process.placement_query import PATH, PlacementQuery
from godwitrudder.process.quarantine import FleetQuarantine
from godwitrudder.process.rate_limits import FleetLimits
from godwitrudder.process.reservations import ReservationTask
from godwitrudder.request.holding import Policy
from godwitrudder.request.intake import Intake
from godwitrudder.request.places.cold_slots import ColdSlots
from godwitrudder.request.places.constraints import Bound, Constraints
from godwitrudder.request.places.regions import Regions
from godwitrudder.request.queueing.processor_load import ProcessorLoad
from godwitrudder.request.queueing.wait_queue import QueueBounds
from godwitrudder.request.retry_window import RetryWindow
from godwitrudder.version.catalogue import CallerLimits

BACKLOG: Final = 512
"""Length of the queue of connections that are not yet accepted."""
DRAIN_ACCEPT_SECONDS: Final = 3.0
"""Time for which new connections may arrive after draining began: the load balancer
checks readiness once a second and removes a host after two failures; plus a margin."""
EXIT_MARGIN_SECONDS: Final = 0.5
"""Time by which the process exits before the grace period ends, when the platform would
close what is still open."""
DRAIN_POLL_SECONDS: Final = 0.05
"""Interval between checks for requests in flight while draining."""
LINK_SAMPLE_SECONDS: Final = 0.05
"""Interval between samples of the link's utilization: a twentieth of the load
balancer's check interval."""

TEXT: Final = b"text/plain"
JSON: Final = b"application/json"

logger = logging.getLogger(__name__)


class Entry:
    """Owns the tasks and servers of one entry process.

    Parameters
    ----------
    settings : EntrySettings
        Identity, addresses and limits of the process; may be replaced at run time.
    metrics_port : int or None
        Port that serves the metrics; None for no such port.

    Attributes
    ----------
    draining : bool
        Whether the process is stopping: the readiness check fails, and connections
        close after their current response.
    """

    def __init__(
        self, settings: EntrySettings, metrics_port: int | None, log: DecisionLog
    ) -> None:
        self.settings = settings
        self._log = log
        self._metrics = EntryMetrics()
        self._store = Store(settings.store)
        self._traffic = Traffic()
        self.intake = Intake()
        self.processor = ProcessorLoad()
        self.pool = LinkPool(names.REQUEST_ID, self._traffic)
        self.directory = Directory(
            self._store,
            log,
            self.pool.close_idle,
            settings.leave_seconds,
            settings.recovery_seconds,
            self._traffic,
            settings.evacuation_seconds,
            {settings.failure_domain, *settings.region_by_failure_domain},
        )
        self.reservations = ReservationTask(
            self._store,
            settings.host,
            self.directory.current,
            log,
            Policy(),
            settings.peers,
            Random(),
            settings.first_start,
        )
        self.reservations.host_holdings.record_bytes = settings.record_bytes
        random = Random()
        quarantine = FleetQuarantine(self.reservations, log, random.random())
        limits = FleetLimits(self.reservations, log)
        self.eligibility = Eligibility(
            self._new_constraints(),
            self.directory,
            self.reservations.known_hosts,
            log,
            self._metrics,
        )
        sender = Sender(
            self.pool,
            log,
            self._metrics,
            self.directory.runner_replaced,
            quarantine,
            limits,
            self.eligibility,
        )
        choice = RunnerChoice(
            settings.failure_domain,
            self.directory,
            sender,
            limits,
            self.eligibility,
            log,
            random,
            lambda: self.settings.options,
        )
        choice.host_count = self.reservations.host_count
        queues = RunnerQueues(
            self.directory,
            choice,
            lambda: self.settings.options.queueing,
            QueueBounds.for_memory(settings.memory_bytes),
            log,
            self._metrics,
            random,
        )
        queues.host_count = self.reservations.host_count
        sender.on_load_report = queues.record_load_report
        self._gossip = HeadroomGossip(
            self.directory, self.reservations, queues, log, self._metrics, random
        )
        self.second_attempts = SecondAttempts(
            sender,
            choice,
            self.directory,
            self.reservations,
            quarantine,
            log,
            self._metrics,
            lambda: self.settings.options.second_attempt_share,
        )
        self.second_attempts.queued = queues.queued
        self.forwarder = Forwarder(
            self.directory,
            TokenDesk(self.reservations, queues.is_on, log, self._metrics, random),
            choice,
            sender,
            Responder(log, self._metrics, random),
            log,
            random,
            self._new_retry_window,
            quarantine,
            queues,
            self.processor,
            self.second_attempts,
        )
        self.forwarder.host_count = self.reservations.host_count
        self._placement_query = PlacementQuery(
            settings.host,
            self.directory,
            self.reservations,
            choice,
            quarantine,
            queues,
        )
        self.draining = False
        self._caller_links: set[CallerLink] = set()
        self._tasks: list[Greenlet] = []
        self._servers = [
            StreamServer(
                (settings.callers.ip, settings.callers.port),
                self._serve_caller,
                backlog=BACKLOG,
            ),
            StreamServer((settings.ready.ip, settings.ready.port), self._serve_ready),
        ]
        if metrics_port is not None:
            address = (settings.ready.ip, metrics_port)
            self._servers.append(StreamServer(address, self._serve_metrics))

    def start(self) -> None:
        """Start all tasks and open the ports."""
        lending = self.reservations.lending
        if lending is not None:
            self._tasks.append(self._spawn(lending.run))
            self._tasks.append(self._spawn(lending.resend_loans))
        for task in (
            self.directory.follow_configuration,
            self.directory.follow_runners,
            self.reservations.run,
            self._open_for_requests,
            self._sample_link,
            self.forwarder.queues.run,
            self._gossip.run,
        ):
            self._tasks.append(self._spawn(task))
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Drain: finish the requests in flight within the grace period."""
        began = time.monotonic()
        self.draining = True
        self.second_attempts.draining = True
        self._log.note("stop_begins", in_flight=self.forwarder.in_flight)
        for link in self._caller_links:
            link.closing = True
        self.reservations.stop_holding_ahead()
        deadline = began + self.settings.grace_seconds - EXIT_MARGIN_SECONDS
        self.forwarder.process_ends_at = deadline
        self.forwarder.queues.drain()
        while time.monotonic() < deadline:
            accepting = time.monotonic() - began < DRAIN_ACCEPT_SECONDS
            if (
                not accepting
                and not self.forwarder.in_flight
                and self.reservations.all_released()
            ):
                break
            gevent.sleep(DRAIN_POLL_SECONDS)
        self._log.note(
            "stop_ends",
            in_flight=self.forwarder.in_flight,
            seconds=round(time.monotonic() - began, 3),
        )

    def close(self) -> None:
        """Close the ports and end all tasks at once."""
        for server in self._servers:
            server.stop(timeout=0)
        gevent.killall(self._tasks)
        self.reservations.close()
        self._store.close()

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new callers here."""
        open_for_callers = self.intake.open and not self._processor_full
        return (
            self.forwarder.started.is_set() and not self.draining and open_for_callers
        )

    @property
    def _processor_full(self) -> bool:
        return self.processor.full and self.forwarder.queues.any_on()

    def _open_for_requests(self) -> None:
        """Admit requests once configuration, runners and holdings are known."""
        self.directory.ready.wait()
        self.reservations.opened.wait()
        self.forwarder.started.set()

    def _sample_link(self) -> None:
        """Sample the utilization of the host's link until the task is killed."""
        traffic = self._traffic
        read_at = time.monotonic()
        received, sent = traffic.received, traffic.sent
        while True:
            gevent.sleep(LINK_SAMPLE_SECONDS)
            now = time.monotonic()
            self._read_processor(now - read_at - LINK_SAMPLE_SECONDS)
            transferred = max(traffic.received - received, traffic.sent - sent)
            capacity = self.settings.link_bytes_per_second * (now - read_at)
            changed = self.intake.read(transferred / capacity if capacity else 0.0)
            read_at, received, sent = now, traffic.received, traffic.sent
            if changed:
                self._log.note(
                    "intake",
                    open=self.intake.open,
                    link=round(self.intake.part, 3),
                    in_flight=self.forwarder.in_flight,
                )

    def _read_processor(self, late_seconds: float) -> None:
        """Record by how much a task ran late."""
        if self.processor.read(late_seconds):
            self._log.note(
                "processor",
                full=self.processor.full,
                late=round(self.processor.late_seconds, 3),
                in_flight=self.forwarder.in_flight,
            )

    def _spawn(self, task: Callable[[], None]) -> Greenlet:
        """Run a task; an exception in it is a bug and ends the process."""

        def guarded() -> None:
            try:
                task()
            except Exception as error:
                logger.critical(
                    "task %s crashed; the process exits",
                    task.__qualname__,
                    exc_info=error,
                )
                raise SystemExit(1) from error

        return gevent.spawn(guarded)

    def _new_retry_window(self) -> RetryWindow:
        settings = self.settings
        return RetryWindow(
            settings.retry_share, settings.retry_slack, settings.retry_window_seconds
        )

    def _new_constraints(self) -> Constraints:
        settings = self.settings
        return Constraints(
            self.directory.evacuations,
            Regions(settings.region_by_failure_domain),
            ColdSlots(settings.host),
            Bound(settings.cold_over, settings.cold_slack),
            time.time() - time.monotonic(),
        )

    def _serve_caller(self, sock: socket.socket, _address: Any) -> None:
        """Serve the requests of one caller's connection."""
        catalogue = self.directory.current()
        limits = CallerLimits() if catalogue is None else catalogue.limits
        link = CallerLink(sock, limits, self._traffic)
        link.closing = self.draining
        self._caller_links.add(link)
        try:
            while self._serve_request(link):
                pass
            if link.problem:
                self._log.note("caller_lost", why=link.problem)
        except CallerDisconnected:
            pass  # the forwarder has logged it with its request
        except CallerNotReading as error:
            self._metrics.callers_closed.inc()
            self._log.note("caller_closed", why=str(error))
        except OSError as error:
            self._log.note("caller_lost", why=f"{type(error).__name__}: {error}")
        finally:
            self._caller_links.discard(link)
            link.close()

    def _serve_request(self, link: CallerLink) -> bool:
        """Serve one request; return False if the connection must be closed."""
        request = link.receive()
        if request is None:
            return False
        if isinstance(request, Malformed):
            self._log.note("malformed", status=request.status, why=request.reason)
            link.reject(request.status)
            return False
        served = gevent.getcurrent()
        watcher = gevent.spawn(link.wait_until_closed)
        watcher.link(lambda _: gevent.kill(served, CallerDisconnected))
        try:
            keep = self.forwarder.serve(link, request)
        finally:
            watcher.unlink_all()
            watcher.kill()
        return keep and link.next()

    def _serve_ready(self, sock: socket.socket, _address: Any) -> None:
        """Answer the load balancer's readiness check."""
        self._serve_plain(
            sock, lambda _: (200, TEXT, b"ok\n") if self.ready else (503, TEXT, b"no\n")
        )

    def render_metrics(self) -> bytes:
        """Update the gauges and return the metrics in the text format."""
        metrics = self._metrics
        metrics.in_flight.set(self.forwarder.in_flight)
        self.forwarder.queues.set_gauges()
        metrics.link_part.set(self.intake.part)
        metrics.processor_late.set(self.processor.late_seconds)
        metrics.store_silent.set(self.reservations.silent_seconds)
        metrics.tokens_held.set(self.reservations.host_holdings.held)
        for (path, status), count in self._store.calls.items():
            metrics.store_calls.labels(path, status).set(count)
        lending = self.reservations.lending
        if lending is not None:
            for outcome, loans in lending.loans_by_outcome.items():
                metrics.loans.labels(outcome).set(loans)
            metrics.peer_refused.set(lending.refused_messages)
        metrics.evacuations.set(len(self.directory.evacuations.in_force))
        metrics.cold_runners.set(self.eligibility.cold_runners())
        metrics.lines_left_out.set(self._log.dropped_lines)
        metrics.connections_opened.set(self.pool.opened)
        return metrics.render()

    def _serve_metrics(self, sock: socket.socket, _address: Any) -> None:
        """Serve the metrics and answer placement queries."""
        self._serve_plain(sock, self._answer_operator)

    def _answer_operator(self, request: CallerRequest) -> tuple[int, bytes, bytes]:
        path, _, query = request.path.partition(b"?")
        if path == PATH:
            status, body = self._placement_query.answer(query)
            return status, JSON, body
        return 200, TEXT, self.render_metrics()

    def _serve_plain(
        self,
        sock: socket.socket,
        answer: Callable[[CallerRequest], tuple[int, bytes, bytes]],
    ) -> None:
        """Serve a connection; ``answer`` returns status, content type and body."""
        link = CallerLink(sock, CallerLimits(), self._traffic)
        try:
            while True:
                request = link.receive()
                if request is None or isinstance(request, Malformed):
                    return
                status, content_type, body = answer(request)
                link.answer(status, [(b"content-type", content_type)], body)
                if not link.next():
                    return
        except OSError as error:
            self._log.note("probe_lost", why=str(error))
        finally:
            link.close()
