"""Metrics of one daemon; 5,000 workspaces do not increase the number of label sets."""

from __future__ import annotations

from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

IN_FORCE_BUCKETS_SECONDS: Final = (0.05, 0.2, 0.5, 1.0, 2.0, 4.0, 7.0, 15.0, 60.0)


class Metrics:
    """All metrics of one daemon, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by outcome.", ["target", "outcome"]
        )
        self.tokens_billed = self._counter("tokens_billed", "Tokens billed.", [])
        self.overspend = self._counter(
            "overspend_tokens", "Tokens served beyond a paid budget.", []
        )
        self.false_refusals = self._counter(
            "false_refusals", "Refusals for budget though budget remained.", []
        )
        self.violations = self._counter(
            "invariant_violations", "Broken invariants.", ["invariant"]
        )
        self.appends = self._counter("log_appends", "Appends to the log.", ["result"])
        self.void_records = self._counter(
            "void_records", "Records of this daemon that the fold voided.", ["reason"]
        )
        self.snapshots = self._counter(
            "ledger_snapshots", "Snapshots of ledger partitions.", ["result"]
        )
        self.offers = self._counter(
            "ledger_offers", "Batches sent to partition owners.", ["result"]
        )
        self.relayed_records = self._counter(
            "relayed_records", "Ledger records taken from peers.", []
        )
        self.dropped_records = self._counter(
            "dropped_records", "Records dropped, the outbox being full.", ["kind"]
        )
        self.closings = self._counter(
            "closings", "Silent holders that this witness closed.", []
        )
        self.orphans = self._counter(
            "orphaned_streams", "Streams of closed routers.", ["result"]
        )
        self.attempts = self._counter("attempts", "Attempts at runners.", ["result"])
        self.bad_frames = self._counter("bad_frames", "Malformed peer frames.", [])
        self.lost_frames = self._counter(
            "peer_frames_lost", "Frames dropped, the outgoing queue being full.", []
        )
        self.links = self._counter("peer_links", "Links to peers.", ["result"])
        self.share_reports = self._counter(
            "share_reports", "Demand reports sent to aggregators.", []
        )
        self.ejections = self._counter(
            "runner_ejections", "Runners taken out for a while.", ["target", "cause"]
        )
        self.polls = self._counter("runner_polls", "Polls of runners.", ["result"])
        self.config_records = self._counter(
            "config_records",
            "Configuration records by result and source.",
            ["result", "source"],
        )
        self.config_snapshots = self._counter(
            "config_snapshots", "Configuration snapshots written.", []
        )
        self.config_in_force = Histogram(
            "godwitrudder_config_in_force_seconds",
            "From the log's time of an accepted record to its being in force.",
            buckets=IN_FORCE_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.config_version = Gauge(
            "godwitrudder_config_version",
            "Offset of the configuration in force.",
            registry=self.registry,
        )

    def _counter(self, name: str, help_text: str, labels: list[str]) -> Counter:
        return Counter(
            f"godwitrudder_{name}", help_text, labels, registry=self.registry
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
