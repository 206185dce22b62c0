"""Sends batches to partition owners, which append them with their own records."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from godwitrudder.clock import Clock
from godwitrudder.connection.ledgers import Offer, Taken
from godwitrudder.connection.peer import PeerLinks
from godwitrudder.process.metrics import Metrics
from godwitrudder.version.ownership import OwnerChoice

OFFER_TIMEOUT_SECONDS: Final = 1.0


class PartitionOwners:
    """Selects partition owners and offers them batches.

    Parameters
    ----------
    host : str
        This daemon's host.
    hosts : callable
        Returns the hosts that this daemon considers live.
    """

    def __init__(
        self,
        host: str,
        peers: PeerLinks,
        hosts: Callable[[], list[str]],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._choice = OwnerChoice(host)
        self._peers = peers
        self._hosts = hosts
        self._clock = clock
        self._metrics = metrics

    def owner(self, partition: int) -> str | None:
        """Return the owner to offer a batch to, or None to append it here."""
        return self._choice.choose(partition, self._hosts(), self._clock.now())

    def owned_share(self, partitions: int) -> float:
        """Return the share of the partitions that this daemon owns, 0 to 1."""
        return self._choice.owned_share(partitions, self._hosts())

    def offer(self, owner: str, partition: int, data: bytes) -> bool:
        """Offer a batch to an owner; return whether the owner appended it."""
        answer = self._peers.ask(owner, Offer(partition, data), OFFER_TIMEOUT_SECONDS)
        accepted = isinstance(answer, Taken) and answer.accepted
        self._metrics.offers.labels("accepted" if accepted else "failed").inc()
        if not accepted:
            self._choice.report_failure(owner, self._clock.now())
        return accepted
