"""The platform's weight store: what models weigh, and how fast they can be had.

Engines fetch weights themselves; the fleet only reads the catalogue, so that its
orders to load stay within the store's rate.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import msgspec
from geventhttpclient import HTTPClient

from godwitrudder import codec
from godwitrudder.sections import Address

TIMEOUT_SECONDS: Final = 3.0


class WeightCatalogue(msgspec.Struct, frozen=True, kw_only=True):
    """What the store holds.

    Attributes
    ----------
    bytes_per_second : float
        Rate limit of the whole store.
    bytes_by_model : dict
        Size of each model or adapter.
    """

    bytes_per_second: float
    bytes_by_model: dict[str, int]

    def seconds(self, model: str) -> float:
        """Return the seconds that one load takes at the full rate."""
        return self.bytes_by_model.get(model, 0) / self.bytes_per_second


class WeightStore(ABC):
    """The weight store."""

    @abstractmethod
    def catalogue(self) -> WeightCatalogue | codec.Malformed:
        """Return the catalogue, or why it could not be had."""


class HttpWeightStore(WeightStore):
    """The weight store over HTTP."""

    def __init__(self, address: Address) -> None:
        self._client = HTTPClient(
            address.ip,
            address.port,
            connection_timeout=TIMEOUT_SECONDS,
            network_timeout=TIMEOUT_SECONDS,
        )

    def catalogue(self) -> WeightCatalogue | codec.Malformed:
        """Return the catalogue, or why it could not be had."""
        try:
            data = bytes(self._client.get("/weights").read())
        except Exception as error:  # the client raises many unrelated types
            return codec.Malformed(f"{type(error).__name__}: {error}")
        return codec.decode(data, WeightCatalogue)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
