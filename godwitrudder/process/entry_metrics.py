"""Metrics of an entry process."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from godwitrudder.request.tokens.reservation import Reservation, ReservationRefused

LATENCY_BUCKETS_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class EntryMetrics:
    """The metrics that an entry process serves, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = Counter(
            "godwitrudder_answers",
            "Answers by target and status",
            ["target", "status"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "godwitrudder_refusals",
            "Refused requests by reason",
            ["reason"],
            registry=self.registry,
        )
        self.failures = Counter(
            "godwitrudder_failures",
            "Failed requests by reason",
            ["reason"],
            registry=self.registry,
        )
        self.first_event_seconds = Histogram(
            "godwitrudder_first_event_seconds",
            "Time to a stream's first event",
            ["target"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.answer_seconds = Histogram(
            "godwitrudder_answer_seconds",
            "Time to the end of an answer",
            ["target"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.second_attempts = Counter(
            "godwitrudder_second_attempts",
            "Second attempts of slow requests that started, won, lost or failed",
            ["target", "outcome"],
            registry=self.registry,
        )
        self.second_attempts_not_started = Counter(
            "godwitrudder_second_attempts_not_started",
            "Slow requests without a second attempt by the rule against it",
            ["target", "reason"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "godwitrudder_in_flight", "Requests under way", registry=self.registry
        )
        self.store_silent = Gauge(
            "godwitrudder_store_silent_seconds",
            "Time since the store last answered",
            registry=self.registry,
        )
        self.link_part = Gauge(
            "godwitrudder_link_part",
            "Mean part of the machine's link in use, 0 to 1",
            registry=self.registry,
        )
        self.lines_left_out = Gauge(
            "godwitrudder_lines_left_out",
            "Log lines that were not written",
            registry=self.registry,
        )
        self.connections_opened = Gauge(
            "godwitrudder_runner_connections_opened",
            "Connections opened to runners",
            registry=self.registry,
        )

        self.store_calls = Gauge(
            "godwitrudder_store_calls",
            "Calls of the store by path and status since the start",
            ["path", "status"],
            registry=self.registry,
        )
        self.tokens_held = Gauge(
            "godwitrudder_tokens_held",
            "Tokens of all workspaces that may be spent without the store",
            registry=self.registry,
        )

        self.loans = Gauge(
            "godwitrudder_loans",
            "Loans since the start by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.evacuations = Gauge(
            "godwitrudder_evacuations",
            "Failure domains that are evacuated",
            registry=self.registry,
        )
        self.cold_runners = Gauge(
            "godwitrudder_cold_runners",
            "Runners that are cold now",
            registry=self.registry,
        )
        self.cold_requests = Counter(
            "godwitrudder_cold_requests",
            "Requests sent to cold runners",
            ["target"],
            registry=self.registry,
        )
        self.constrained = Counter(
            "godwitrudder_constrained",
            "Choices without a runner, by each constraint that excluded some",
            ["constraint"],
            registry=self.registry,
        )
        self.peer_refused = Gauge(
            "godwitrudder_peer_refused",
            "Messages at the peers' port that were not accepted",
            registry=self.registry,
        )
        self.processor_late = Gauge(
            "godwitrudder_processor_late_seconds",
            "Mean time by which tasks run later than they were due",
            registry=self.registry,
        )
        self._add_queue()
        self.headroom = Gauge(
            "godwitrudder_headroom",
            "Further requests that the target's runners can work on",
            ["target"],
            registry=self.registry,
        )
        self.headroom_share = Gauge(
            "godwitrudder_headroom_share",
            "This host's part of the demand for a target, 0 to 1",
            ["target"],
            registry=self.registry,
        )
        self.headroom_reports = Counter(
            "godwitrudder_headroom_reports",
            "Headroom reports exchanged with other hosts",
            ["direction"],
            registry=self.registry,
        )

    def _add_queue(self) -> None:
        """Add the metrics of the queues for runners."""
        self.queue_length = Gauge(
            "godwitrudder_queue_length",
            "Requests that wait for a runner with headroom",
            ["target"],
            registry=self.registry,
        )
        self.queue_outcomes = Counter(
            "godwitrudder_queue_outcomes",
            "Requests that left or were refused a queue, by outcome",
            ["target", "outcome"],
            registry=self.registry,
        )
        self.queue_seconds = Histogram(
            "godwitrudder_queue_seconds",
            "Time that requests waited for a runner with headroom",
            ["target"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )

        self.token_waits = Counter(
            "godwitrudder_token_waits",
            "Requests of prepaid workspaces that waited for tokens, by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.token_wait_seconds = Histogram(
            "godwitrudder_token_wait_seconds",
            "Time that requests waited for tokens, by outcome",
            ["outcome"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.token_shortages = Counter(
            "godwitrudder_token_shortages",
            "Requests without tokens, by the reason and the answer of lenders",
            ["shortage", "lenders"],
            registry=self.registry,
        )

    def record_token_wait(self, reservation: Reservation | ReservationRefused) -> None:
        """Record how a reservation ended, if it was not made at once."""
        waited = reservation.waited_seconds
        if isinstance(reservation, ReservationRefused):
            self.token_shortages.labels(reservation.shortage, reservation.lenders).inc()
            outcome = "refused"
        elif waited:
            outcome = "served"
        else:
            return
        self.token_waits.labels(outcome).inc()
        self.token_wait_seconds.labels(outcome).observe(waited)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return bytes(generate_latest(self.registry))
