"""Client of the platform's host list: live and leaving hosts, with a lag."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final, Literal

import msgspec

from godwitrudder import codec
from godwitrudder.connection.bounded_pool import bounded_client
from godwitrudder.validation import Address

# Timeout of connecting, and of an answer.
TIMEOUT_SECONDS: Final = 3.0
# Several times the answer at the size that the fleet is built towards.
MAX_ANSWER_BYTES: Final = 4_194_304


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One host.

    Attributes
    ----------
    id : str
        Id of the host.
    role : str
        ``router`` for a daemon of the fleet, ``runner`` for a target's host.
    address : str
        ``ip:port`` of a runner's service, or of a daemon's port for peers.
    failure_domain : str
        Failure domain of the host.
    target : str
        Target that a runner serves.
    state : str
        ``live`` or ``leaving``.
    """

    id: str
    role: Literal["router", "runner"]
    address: str
    failure_domain: str
    target: str = ""
    state: Literal["live", "leaving"] = "live"


class HostList(ABC):
    """Source of the host list."""

    @abstractmethod
    def fetch(self) -> list[HostEntry] | codec.Malformed:
        """Return the hosts, or the error if the list could not be fetched."""


class HttpHostList(HostList):
    """The host list over HTTP."""

    def __init__(self, address: Address) -> None:
        self._client = bounded_client(address, MAX_ANSWER_BYTES, TIMEOUT_SECONDS)

    def fetch(self) -> list[HostEntry] | codec.Malformed:
        """Return the hosts, or the error if the list could not be fetched."""
        try:
            data = bytes(self._client.get("/hosts").read())
        except Exception as error:  # the client raises many unrelated types
            return codec.Malformed(f"{type(error).__name__}: {error}")
        return codec.decode(data, list[HostEntry])

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
