"""Sends batches to the owners of partitions, who append them with their own."""

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
    """Finds and asks owners.

    Parameters
    ----------
    host : str
        This daemon's host.
    hosts : callable
        Returns the hosts that are live as far as this daemon knows.
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
        """Return the owner to ask; None to append oneself."""
        return self._choice.choose(partition, self._hosts(), self._clock.now())

    def owned_share(self, partitions: int) -> float:
        """Return the share of the partitions that this daemon owns."""
        return self._choice.owned_share(partitions, self._hosts())

    def offer(self, owner: str, partition: int, data: bytes) -> bool:
        """Return whether the owner had the batch appended."""
        answer = self._peers.ask(owner, Offer(partition, data), OFFER_TIMEOUT_SECONDS)
        accepted = isinstance(answer, Taken) and answer.accepted
        self._metrics.offers.labels("accepted" if accepted else "failed").inc()
        if not accepted:
            self._choice.report_failure(owner, self._clock.now())
        return accepted
