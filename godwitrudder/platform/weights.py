"""Client of the platform's weight store: sizes of models, and the store's rate limit.

Engines fetch the weights themselves.  The fleet reads only the catalogue, so that its
load orders stay within the store's rate limit.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import msgspec

from godwitrudder import codec
from godwitrudder.connection.bounded_pool import bounded_client
from godwitrudder.validation import Address

# Timeout of connecting, and of an answer.
TIMEOUT_SECONDS: Final = 3.0
# Several times the answer at the size that the fleet is built towards.
MAX_ANSWER_BYTES: Final = 4_194_304


class WeightCatalogue(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of the store.

    Attributes
    ----------
    bytes_per_second : float
        Rate limit of the whole store.
    bytes_by_model : dict of str to int
        Size of each model or adapter, in bytes.
    """

    bytes_per_second: float
    bytes_by_model: dict[str, int]

    def seconds(self, model: str) -> float:
        """Return the seconds that loading a model takes at the full rate."""
        return self.bytes_by_model.get(model, 0) / self.bytes_per_second


class WeightStore(ABC):
    """The weight store."""

    @abstractmethod
    def catalogue(self) -> WeightCatalogue | codec.Malformed:
        """Return the catalogue, or the error if it could not be fetched."""


class HttpWeightStore(WeightStore):
    """The weight store over HTTP."""

    def __init__(self, address: Address) -> None:
        self._client = bounded_client(address, MAX_ANSWER_BYTES, TIMEOUT_SECONDS)

    def catalogue(self) -> WeightCatalogue | codec.Malformed:
        """Return the catalogue, or the error if it could not be fetched."""
        try:
            data = bytes(self._client.get("/weights").read())
        except Exception as error:  # the client raises many unrelated types
            return codec.Malformed(f"{type(error).__name__}: {error}")
        return codec.decode(data, WeightCatalogue)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
