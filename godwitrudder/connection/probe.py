"""Polls of a runner: its load, and the changes of its prefix cache."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from godwitrudder import codec
from godwitrudder.connection.bounded_pool import bounded_client
from godwitrudder.validation import Address

# Timeout of connecting, and of waiting for the next bytes.
TIMEOUT_SECONDS: Final = 1.0
# Cache events of some minutes.
MAX_ANSWER_BYTES: Final = 4_194_304

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class PollFailed:
    """The poll returned no valid data.

    Attributes
    ----------
    silent : bool
        Whether no complete HTTP response arrived.
    """

    reason: str
    silent: bool


class Load(msgspec.Struct, frozen=True):
    """Number of requests in the batch and waiting for it; may be out of date."""

    running: int
    waiting: int


class CacheEventModel(msgspec.Struct, frozen=True):
    """A prefix, named by its hash in hex, was stored or evicted."""

    kind: str
    prefix: str


class CachePage(msgspec.Struct, frozen=True):
    """Cache events before number ``next``; dropped events leave no visible gap."""

    next: int
    events: tuple[CacheEventModel, ...]


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Changes of a runner's prefix cache.

    Attributes
    ----------
    next : int
        Number of the first event of the next poll.
    changes : tuple of (bool, int)
        Whether the prefix was stored (else evicted), and the hash of the prefix.
    size_bytes : int
        Size of the response.
    """

    next: int
    changes: tuple[tuple[bool, int], ...]
    size_bytes: int


def load(address: Address) -> Load | PollFailed:
    """Return the load that a runner reports."""
    answer = _get(address, "/load", Load)
    return answer if isinstance(answer, PollFailed) else answer[0]


def cache_events(address: Address, start: int) -> CacheEvents | PollFailed:
    """Return a runner's cache events from number ``start`` on."""
    answer = _get(address, f"/cache-events?from={start}", CachePage)
    if isinstance(answer, PollFailed):
        return answer
    page, size = answer
    try:
        changes = tuple((e.kind == "stored", int(e.prefix, 16)) for e in page.events)
    except ValueError as error:
        return PollFailed(str(error), silent=False)
    return CacheEvents(page.next, changes, size)


def _get(address: Address, path: str, model: type[T]) -> tuple[T, int] | PollFailed:
    client = bounded_client(address, MAX_ANSWER_BYTES, TIMEOUT_SECONDS)
    try:
        response = client.get(path)
        data = bytes(response.read())
    except Exception as error:  # the client raises many unrelated types
        return PollFailed(f"{type(error).__name__}: {error}", silent=True)
    finally:
        client.close()
    if response.status_code != 200:
        return PollFailed(f"status {response.status_code}", silent=False)
    value: T | codec.Malformed = codec.decode_json(data, model)
    if isinstance(value, codec.Malformed):
        return PollFailed(value.reason, silent=False)
    return value, len(data)
