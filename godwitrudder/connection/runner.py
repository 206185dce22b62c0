"""Links to runners: attempts at engines, calls of plain services.

Each attempt carries its own id and each chunk its index, so that a late or
foreign chunk is dropped and a broken stream is taken up again where it ended.
A connection that brings nothing for a while is given up for a new one, on which
the same attempt goes on at the next index: the engine made it once.
Connections are kept open and used again, so that a request costs no handshake.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Self

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from godwitrudder.clock import Clock
from godwitrudder.request.answer import Chunk, Prompt, Usage
from godwitrudder.sections import Address

CONNECTIONS_PER_RUNNER: Final = 1024
ADDRESSES_KEPT: Final = 1024
LEAVING_STATUS: Final = 503
GAPS_MOST: Final = 2
RECONNECT_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class LinkTimeouts:
    """How long a link waits, in seconds.

    Attributes
    ----------
    connect : float
        For a connection to open.
    progress : float
        For the next bytes, before a new connection is tried.
    stall : float
        For the next token, over all connections.
    service : float
        For the answer of a plain service.
    """

    connect: float = 1.0
    progress: float = 2.0
    stall: float = 5.0
    service: float = 30.0


@dataclass(frozen=True, slots=True)
class Broken:
    """The attempt ended early.

    Attributes
    ----------
    sent : bool
        Whether a byte may have reached the runner.
    lost : bool
        Whether the runner does not know the attempt.
    leaving : bool
        Whether the runner says that it takes no new work.
    """

    reason: str
    sent: bool
    unresumable: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer of a plain service."""

    status: int
    body: bytes
    content_type: str


class NotConnected(Exception):
    """No connection could be opened, so nothing was sent."""


class Pool(ConnectionPool):
    """Connections to one runner; tells a failed connect from a failed send."""

    def get_socket(self) -> Any:
        """Return an open connection."""
        try:
            return super().get_socket()
        except (OSError, RuntimeError) as error:
            raise NotConnected(f"{type(error).__name__}: {error}") from error


class SingleUse(Pool):
    """A pool that opens one connection and no second one."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._opened = False

    def get_socket(self) -> Any:
        """Return a connection; asked again, the request may have been sent."""
        if self._opened:
            raise ConnectionResetError("the connection was lost")
        self._opened = True
        return super().get_socket()


class RunnerLinks:
    """All links of one daemon, as a context manager."""

    def __init__(self, clock: Clock, patience: LinkTimeouts | None = None) -> None:
        self._clock = clock
        self.timeouts = patience or LinkTimeouts()
        self._clients_by_address: dict[Address, HTTPClient] = {}

    def __enter__(self) -> Self:
        """Nothing to start; connections open at first use."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connections that are not in use."""
        for client in self._clients_by_address.values():
            client.close()

    def start(
        self, address: Address, attempt: str, prompt: Prompt, start: int
    ) -> Iterator[Chunk | Usage | Broken]:
        """Start an attempt and yield its chunks from index ``start`` on.

        Parameters
        ----------
        address : Address
            Of the runner.
        attempt : str
            Id of the attempt.
        prompt : Prompt
            The question.
        start : int
            Index of the first token wanted.
        """
        yield from self._follow(address, attempt, start, _body(prompt, start))

    def resume(
        self, address: Address, attempt: str, start: int
    ) -> Iterator[Chunk | Usage | Broken]:
        """Take over an attempt that another daemon started."""
        yield from self._follow(address, attempt, start, None)

    def cancel(self, address: Address, attempt: str) -> Usage | Broken:
        """End an attempt and return the engine's own count."""
        try:
            with gevent.Timeout(self.timeouts.progress, TimeoutError()):
                client = self._client(address)
                response = client.request("DELETE", f"/v1/streams/{attempt}")
                data = json.loads(response.read())
                return Usage(data["prompt_tokens"], data["completion_tokens"])
        except NotConnected as error:
            return Broken(str(error), sent=False)
        except Exception as error:  # the client raises many unrelated types
            return Broken(f"{type(error).__name__}: {error}", sent=True)

    def call(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Reply | Broken:
        """Call a plain service once, on a connection of its own."""
        client = self._new_client(address, SingleUse, 1, self.timeouts.service)
        try:
            response = client.request(method, path, body=body, headers=headers)
            content = bytes(response.read())
            kind = str(response.get("content-type", "application/octet-stream"))
            return Reply(response.status_code, content, kind)
        except NotConnected as error:
            return Broken(str(error), sent=False)
        except Exception as error:  # the client raises many unrelated types
            return Broken(f"{type(error).__name__}: {error}", sent=True)
        finally:
            client.close()

    def _follow(
        self, address: Address, attempt: str, start: int, body: bytes | None
    ) -> Iterator[Chunk | Usage | Broken]:
        """Yield an attempt's chunks in order, over as many connections as needed."""
        index, sent = start, body is None
        moved_at = self._clock.now()
        gaps = 0
        while True:
            broken = Broken("the stream ended early", sent=True)
            for event in self._connection(address, attempt, index, body):
                if isinstance(event, Broken):
                    broken = event
                    break
                if isinstance(event, Chunk) and event.index < index:
                    continue
                if _gap(event, index):
                    gaps += 1
                    lost = gaps > GAPS_MOST
                    broken = Broken(f"chunk {index} is missing", True, lost)
                    break
                moved_at = self._clock.now()
                yield event
                if isinstance(event, Usage):
                    return
                index += 1
            sent = sent or broken.sent
            stalled = self._clock.now() - moved_at >= self.timeouts.stall
            if broken.unresumable or not broken.sent or stalled:
                yield Broken(broken.reason, sent, broken.unresumable, broken.leaving)
                return
            body = None
            gevent.sleep(RECONNECT_SECONDS)

    def _connection(
        self, address: Address, attempt: str, index: int, body: bytes | None
    ) -> Iterator[Chunk | Usage | Broken]:
        """Yield what one connection brings, unchecked."""
        response = None
        try:
            response = self._ask(address, attempt, index, body)
            if body is not None and response.status_code == LEAVING_STATUS:
                yield Broken("the runner takes no new work", False, True, True)
                return
            if response.status_code != 200:
                reason = f"status {response.status_code}"
                yield Broken(reason, sent=True, unresumable=True)
                return
            yield from _events(response)
        except NotConnected as error:
            yield Broken(str(error), sent=False)
        except Exception as error:  # the client raises many unrelated types
            yield Broken(f"{type(error).__name__}: {error}", sent=True)
        finally:
            if response is not None:
                response.release()

    def _ask(
        self, address: Address, attempt: str, index: int, body: bytes | None
    ) -> Any:
        client = self._client(address)
        headers = {"X-Request-Id": attempt}
        if body is None:
            headers["Last-Event-ID"] = str(index - 1)
            return client.request("GET", f"/v1/streams/{attempt}", headers=headers)
        headers["Content-Type"] = "application/json"
        return client.request("POST", "/v1/chat/completions", body, headers)

    def _client(self, address: Address) -> HTTPClient:
        client = self._clients_by_address.get(address)
        if client is None:
            self._make_room()
            most = CONNECTIONS_PER_RUNNER
            client = self._new_client(address, Pool, most, self.timeouts.progress)
            self._clients_by_address[address] = client
        return client

    def _make_room(self) -> None:
        """Forget the address that came first, so that gone runners cost nothing."""
        if len(self._clients_by_address) >= ADDRESSES_KEPT:
            oldest = next(iter(self._clients_by_address))
            self._clients_by_address.pop(oldest).close()

    def _new_client(
        self, address: Address, kind: type[Pool], size: int, seconds: float
    ) -> HTTPClient:
        client = HTTPClient(address.ip, address.port)
        client._connection_pool = kind(
            address.ip,
            address.port,
            address.ip,
            address.port,
            size=size,
            connection_timeout=self.timeouts.connect,
            network_timeout=seconds,
        )
        return client


def _body(prompt: Prompt, start: int) -> bytes:
    plain = {
        **prompt.options,
        "model": prompt.model,
        "messages": list(prompt.messages),
        "max_tokens": prompt.max_tokens,
        "priority": prompt.priority,
        "stream": True,
        "start_index": start,
    }
    return json.dumps(plain).encode()


def _gap(event: Chunk | Usage, index: int) -> bool:
    """Whether chunks are missing before this event."""
    if isinstance(event, Usage):
        return event.completion_tokens != index
    return event.index != index


def _events(response: Any) -> Iterator[Chunk | Usage | Broken]:
    """Yield the events of a stream; the usage once the stream is at its end."""
    index = -1
    usage: Usage | None = None
    while True:
        line = bytes(response.readline(b"\n"))
        if not line:
            yield Broken("the stream ended early", sent=True)
            return
        if line.startswith(b"id: "):
            index = int(line[4:])
        elif line.startswith(b"data: [DONE]"):
            response.read()
            yield usage or Broken("the stream has no usage", sent=True)
            return
        elif line.startswith(b"data: "):
            event = _event(index, json.loads(line[6:]))
            if isinstance(event, Chunk):
                yield event
            else:
                usage = event


def _event(index: int, data: dict[str, Any]) -> Chunk | Usage:
    if "usage" in data:
        usage = data["usage"]
        return Usage(usage["prompt_tokens"], usage["completion_tokens"])
    return Chunk(index, data["choices"][0]["delta"]["content"])
