"""The entry: one process before the runners, on the users' platform."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from random import Random
from typing import Any, Final

import gevent
from gevent import Greenlet, socket
from gevent.server import StreamServer

from godwitrudder.connection.http import CallerDisconnected, CallerLink, Malformed
from godwitrudder.connection.runner_pool import LinkPool
from godwitrudder.connection.traffic import Traffic
from godwitrudder.platform import names
from godwitrudder.platform.settings import EntrySettings
from godwitrudder.platform.store import Store
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarder import Forwarder
from godwitrudder.process.reservations import PurseTask
from godwitrudder.process.sender import Sender
from godwitrudder.request.holding import Policy
from godwitrudder.request.intake import Intake
from godwitrudder.request.retry_window import RetryWindow
from godwitrudder.version.catalogue import CallerLimits

BACKLOG: Final = 512
"""Connections that wait to be accepted."""
LATE_SECONDS: Final = 3.0
"""How long new connections come after a stop began: two misses of the balancer's
question, one a second, and a margin."""
MARGIN_SECONDS: Final = 0.5
"""Left of the grace period when the process ends: what is open then is closed by the
platform anyway."""
STEP_SECONDS: Final = 0.05
"""Between looks at what is still in flight in a stop."""
LINK_SECONDS: Final = 0.05
"""Between readings of the link's use: a twentieth of the balancer's question's."""

logger = logging.getLogger(__name__)


class Entry:
    """Owns the tasks of one entry process.

    Parameters
    ----------
    settings : EntrySettings
        Who it is and where it listens.
    metrics_port : int or None
        Where it shows its metrics.
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
        self.pool = LinkPool(names.REQUEST_ID, self._traffic)
        self.directory = Directory(
            self._store, log, self.pool.forget, settings.leave_seconds
        )
        self.purse = PurseTask(
            self._store,
            settings.host,
            self.directory.current,
            log,
            Policy(),
            settings.peers,
            Random(),
        )
        self.forwarder = Forwarder(
            settings.failure_domain,
            self.directory,
            self.purse,
            Sender(self.pool, log, self._metrics),
            log,
            self._metrics,
            Random(),
            self._window,
        )
        self.forwarder.hosts = self.purse.hosts
        self.draining = False
        self._links: set[CallerLink] = set()
        self._tasks: list[Greenlet] = []
        self._servers = [
            StreamServer(
                (settings.callers.ip, settings.callers.port),
                self._caller,
                backlog=BACKLOG,
            ),
            StreamServer((settings.ready.ip, settings.ready.port), self._probe),
        ]
        if metrics_port is not None:
            address = (settings.ready.ip, metrics_port)
            self._servers.append(StreamServer(address, self._show))

    def start(self) -> None:
        """Start all tasks and open the ports."""
        lending = self.purse.lending
        if lending is not None:
            self._tasks.append(self._spawn(lending.run))
            self._tasks.append(self._spawn(lending.repeat))
        for task in (
            self.directory.follow_configuration,
            self.directory.follow_runners,
            self.purse.run,
            self._begin,
            self._watch_link,
        ):
            self._tasks.append(self._spawn(task))
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Stop gracefully: finish what is in flight within the grace period."""
        began = time.monotonic()
        self.draining = True
        self._log.note("stop_begins", in_flight=self.forwarder.in_flight)
        for link in self._links:
            link.closing = True
        self.purse.leave()
        until = began + self.settings.grace_seconds - MARGIN_SECONDS
        self.forwarder.ends_at = until
        while time.monotonic() < until:
            late = time.monotonic() - began < LATE_SECONDS
            if not late and not self.forwarder.in_flight and self.purse.settled():
                break
            gevent.sleep(STEP_SECONDS)
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
        self.purse.close()
        self._store.close()

    @property
    def ready(self) -> bool:
        """Whether new callers should come."""
        return self.forwarder.begun.is_set() and not self.draining and self.intake.open

    def _begin(self) -> None:
        """Let requests in once all that they need is known."""
        self.directory.known.wait()
        self.purse.opened.wait()
        self.forwarder.begun.set()

    def _watch_link(self) -> None:
        """Read how much of the link is in use."""
        traffic = self._traffic
        read_at = time.monotonic()
        received, sent = traffic.received, traffic.sent
        while True:
            gevent.sleep(LINK_SECONDS)
            now = time.monotonic()
            passed = max(traffic.received - received, traffic.sent - sent)
            capacity = self.settings.link_bytes_per_second * (now - read_at)
            changed = self.intake.read(passed / capacity if capacity else 0.0)
            read_at, received, sent = now, traffic.received, traffic.sent
            if changed:
                self._log.note(
                    "intake",
                    open=self.intake.open,
                    link=round(self.intake.part, 3),
                    in_flight=self.forwarder.in_flight,
                )

    def _spawn(self, task: Callable[[], None]) -> Greenlet:
        """Run a task; an error in it is a broken invariant and ends the process."""

        def guarded() -> None:
            try:
                task()
            except Exception as error:
                logger.critical("task %s crashed", task.__qualname__, exc_info=error)
                raise SystemExit(1) from error

        return gevent.spawn(guarded)

    def _window(self) -> RetryWindow:
        settings = self.settings
        return RetryWindow(
            settings.retry_share, settings.retry_slack, settings.retry_window_seconds
        )

    def _caller(self, sock: socket.socket, _address: Any) -> None:
        """Serve one connection of a caller."""
        catalogue = self.directory.current()
        limits = CallerLimits() if catalogue is None else catalogue.limits
        link = CallerLink(sock, limits, self._traffic)
        link.closing = self.draining
        self._links.add(link)
        try:
            while self._request(link):
                pass
            if link.problem:
                self._log.note("caller_lost", why=link.problem)
        except CallerDisconnected:
            pass  # noted with its request by the forwarder
        except OSError as error:
            self._log.note("caller_lost", why=f"{type(error).__name__}: {error}")
        finally:
            self._links.discard(link)
            link.close()

    def _request(self, link: CallerLink) -> bool:
        """Serve one request; False where the connection is over."""
        request = link.receive()
        if request is None:
            return False
        if isinstance(request, Malformed):
            self._log.note("malformed", status=request.status, why=request.reason)
            link.reject(request.status)
            return False
        served = gevent.getcurrent()
        watch = gevent.spawn(link.wait_until_closed)
        watch.link(lambda _: gevent.kill(served, CallerDisconnected))
        try:
            keep = self.forwarder.serve(link, request)
        finally:
            watch.unlink_all()
            watch.kill()
        return keep and link.next()

    def _probe(self, sock: socket.socket, _address: Any) -> None:
        """Tell the balancer whether to send callers here."""
        self._plain(sock, lambda: (200, b"ok\n") if self.ready else (503, b"no\n"))

    def metrics(self) -> bytes:
        """Return the metrics as text."""
        shown = self._metrics
        shown.in_flight.set(self.forwarder.in_flight)
        shown.link_part.set(self.intake.part)
        shown.store_silent.set(self.purse.silent_seconds)
        shown.tokens_held.set(self.purse.purse.held)
        for (path, status), count in self._store.calls.items():
            shown.store_calls.labels(path, status).set(count)
        lending = self.purse.lending
        if lending is not None:
            for outcome, loans in lending.loans.items():
                shown.loans.labels(outcome).set(loans)
            shown.peer_refused.set(lending.refused)
        shown.lines_left_out.set(self._log.left_out)
        shown.connections_opened.set(self.pool.opened)
        return shown.render()

    def _show(self, sock: socket.socket, _address: Any) -> None:
        """Show the metrics."""
        self._plain(sock, lambda: (200, self.metrics()))

    def _plain(
        self, sock: socket.socket, answer: Callable[[], tuple[int, bytes]]
    ) -> None:
        link = CallerLink(sock, CallerLimits(), self._traffic)
        try:
            while True:
                request = link.receive()
                if request is None or isinstance(request, Malformed):
                    return
                status, body = answer()
                link.answer(status, [(b"content-type", b"text/plain")], body)
                if not link.next():
                    return
        except OSError as error:
            self._log.note("probe_lost", why=str(error))
        finally:
            link.close()
