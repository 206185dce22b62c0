"""Connections to runners: streamed attempts at engines, calls of plain services.

Each attempt has its own id and each chunk its index.  A repeated chunk is dropped, and
a broken stream resumes at the next index.  A connection without data for
``LinkTimeouts.progress`` seconds is replaced; the attempt continues on the new one, and
the engine does not generate it again.
Connections are reused, so that a request costs no handshake.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Self

import gevent
from geventhttpclient import HTTPClient

from godwitrudder.clock import Clock
from godwitrudder.connection.bounded_pool import BoundedPool, bounded_client
from godwitrudder.request.answer import Chunk, Prompt, Usage
from godwitrudder.validation import Address

CONNECTIONS_PER_RUNNER: Final = 1024
# Largest response of a plain service.
MAX_REPLY_BYTES: Final = 4_194_304
# Most bytes of an attempt without a chunk.
MAX_EVENT_BYTES: Final = 262_144
# Number of runners whose connections are kept.
MAX_CLIENTS: Final = 1024
# Status with which an engine rejects a new attempt because it is leaving.
LEAVING_STATUS: Final = 503
# Gaps in an attempt's chunks after which it reconnects; one more gap ends it.
MAX_GAPS: Final = 2
# Delay before an attempt reconnects.
RECONNECT_SECONDS: Final = 0.02


@dataclass(frozen=True, slots=True)
class LinkTimeouts:
    """Timeouts of links to runners, in seconds.

    Attributes
    ----------
    connect : float
        For opening a connection.
    progress : float
        For the next bytes, before a new connection is tried.
    stall : float
        For the next token, over all connections of an attempt.
    service : float
        For the response of a plain service.
    """

    connect: float = 1.0
    progress: float = 2.0
    stall: float = 5.0
    service: float = 30.0


@dataclass(frozen=True, slots=True)
class Broken:
    """The attempt or call failed before its end.

    Attributes
    ----------
    sent : bool
        Whether a byte may have reached the runner.
    unresumable : bool
        Whether the attempt can't be resumed: the runner rejected or does not know it,
        or chunks are missing after all retries.
    leaving : bool
        Whether the runner reported that it accepts no new work.
    """

    reason: str
    sent: bool
    unresumable: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """The response of a plain service."""

    status: int
    body: bytes
    content_type: str


class NotConnected(Exception):
    """No connection could be opened, so nothing was sent."""


class RunnerConnectionPool(BoundedPool):
    """Connections to one runner; distinguishes failed connects from failed sends."""

    def get_socket(self) -> Any:
        """Return an open connection."""
        try:
            return super().get_socket()
        except (OSError, RuntimeError) as error:
            raise NotConnected(f"{type(error).__name__}: {error}") from error


class SingleConnectionPool(RunnerConnectionPool):
    """A pool that opens a single connection, so that a request is sent at most once."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._opened = False

    def get_socket(self) -> Any:
        """Return the connection; raise on a second call, as the client would resend."""
        if self._opened:
            raise ConnectionResetError("the connection was lost")
        self._opened = True
        return super().get_socket()


class RunnerLinks:
    """All connections of one daemon to runners, as a context manager."""

    def __init__(self, clock: Clock, timeouts: LinkTimeouts | None = None) -> None:
        self._clock = clock
        self.timeouts = timeouts or LinkTimeouts()
        self._clients_by_address: dict[Address, HTTPClient] = {}

    def __enter__(self) -> Self:
        """Return self; connections open at first use."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the idle connections."""
        for client in self._clients_by_address.values():
            client.close()

    def start(
        self, address: Address, attempt: str, prompt: Prompt, start: int
    ) -> Iterator[Chunk | Usage | Broken]:
        """Start an attempt and yield its chunks from index ``start`` on.

        Parameters
        ----------
        address : Address
            Address of the runner.
        attempt : str
            Id of the attempt.
        prompt : Prompt
            Messages and options of the request.
        start : int
            Index of the first token to generate.
        """
        yield from self._stream_attempt(
            address, attempt, start, _encode_request(prompt, start)
        )

    def resume(
        self, address: Address, attempt: str, start: int
    ) -> Iterator[Chunk | Usage | Broken]:
        """Yield the chunks of an attempt that another daemon started."""
        yield from self._stream_attempt(address, attempt, start, None)

    def cancel(self, address: Address, attempt: str) -> Usage | Broken:
        """Cancel an attempt and return the engine's token counts."""
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
        """Call a plain service once, on a separate connection."""
        client = bounded_client(
            address,
            MAX_REPLY_BYTES,
            self.timeouts.service,
            SingleConnectionPool,
            connect_seconds=self.timeouts.connect,
        )
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

    def _stream_attempt(
        self, address: Address, attempt: str, start: int, body: bytes | None
    ) -> Iterator[Chunk | Usage | Broken]:
        """Yield an attempt's chunks in order; reconnect where a connection fails."""
        index, sent = start, body is None
        progressed_at = self._clock.now()
        gaps = 0
        while True:
            broken = Broken("the stream ended early", sent=True)
            for event in self._stream_connection(address, attempt, index, body):
                if isinstance(event, Broken):
                    broken = event
                    break
                if isinstance(event, Chunk) and event.index < index:
                    continue
                if _follows_gap(event, index):
                    gaps += 1
                    unresumable = gaps > MAX_GAPS
                    broken = Broken(f"chunk {index} is missing", True, unresumable)
                    break
                progressed_at = self._clock.now()
                yield event
                if isinstance(event, Usage):
                    return
                index += 1
            sent = sent or broken.sent
            stalled = self._clock.now() - progressed_at >= self.timeouts.stall
            if broken.unresumable or not broken.sent or stalled:
                yield Broken(broken.reason, sent, broken.unresumable, broken.leaving)
                return
            body = None
            gevent.sleep(RECONNECT_SECONDS)

    def _stream_connection(
        self, address: Address, attempt: str, index: int, body: bytes | None
    ) -> Iterator[Chunk | Usage | Broken]:
        """Yield the events of one connection without checking their order."""
        response = None
        try:
            response = self._request_stream(address, attempt, index, body)
            if body is not None and response.status_code == LEAVING_STATUS:
                yield Broken("the runner takes no new work", False, True, True)
                return
            if response.status_code != 200:
                reason = f"status {response.status_code}"
                yield Broken(reason, sent=True, unresumable=True)
                return
            yield from _parse_stream(response)
        except NotConnected as error:
            yield Broken(str(error), sent=False)
        except Exception as error:  # the client raises many unrelated types
            yield Broken(f"{type(error).__name__}: {error}", sent=True)
        finally:
            if response is not None:
                response.release()

    def _request_stream(
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
            self._evict_oldest_client()
            client = bounded_client(
                address,
                MAX_EVENT_BYTES,
                self.timeouts.progress,
                RunnerConnectionPool,
                size=CONNECTIONS_PER_RUNNER,
                connect_seconds=self.timeouts.connect,
                max_seconds=self.timeouts.stall,
            )
            self._clients_by_address[address] = client
        return client

    def _evict_oldest_client(self) -> None:
        """Close the oldest client at the limit, so that gone runners hold no memory."""
        if len(self._clients_by_address) >= MAX_CLIENTS:
            oldest = next(iter(self._clients_by_address))
            self._clients_by_address.pop(oldest).close()


def _encode_request(prompt: Prompt, start: int) -> bytes:
    fields = {
        **prompt.options,
        "model": prompt.model,
        "messages": list(prompt.messages),
        "max_tokens": prompt.max_tokens,
        "priority": prompt.priority,
        "stream": True,
        "start_index": start,
    }
    return json.dumps(fields).encode()


def _follows_gap(event: Chunk | Usage, index: int) -> bool:
    """Return whether chunks are missing before this event."""
    if isinstance(event, Usage):
        return event.completion_tokens != index
    return event.index != index


def _parse_stream(response: Any) -> Iterator[Chunk | Usage | Broken]:
    """Yield the chunks of a stream, then its usage at the end of the stream."""
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
            event = _parse_event(index, json.loads(line[6:]))
            _note_progress(response)
            if isinstance(event, Chunk):
                yield event
            else:
                usage = event


def _note_progress(response: Any) -> None:
    """Let the limits of an answer count from here on, if there is more to come."""
    if response._sock is not None:
        response._sock.restart()


def _parse_event(index: int, data: dict[str, Any]) -> Chunk | Usage:
    if "usage" in data:
        usage = data["usage"]
        return Usage(usage["prompt_tokens"], usage["completion_tokens"])
    return Chunk(index, data["choices"][0]["delta"]["content"])
