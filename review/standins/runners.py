"""Stand-ins of the runners: model runners that stream, and plain services."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from platform_store import Store

HEARTBEAT_SECONDS = 1.2
ENTRY_EXPIRES_SECONDS = 3 * HEARTBEAT_SECONDS


@dataclass
class Service:
    """What all runners of a service share.

    Attributes
    ----------
    first_event_seconds : float
        Time to the first event, or the time of the whole work of a plain service.
    events : int
        Events of an answer; 0 for a plain service.
    """

    name: str
    slots: int
    first_event_seconds: float
    events: int = 0
    event_seconds: float = 0.02


@dataclass
class Runner:
    """One runner: its address stays, its incarnations have ids of their own."""

    service: Service
    store: Store
    ip: str
    zone: str
    record: Callable[[str], None]
    port: int = 0
    id: str = ""
    running: int = 0
    runs: dict[str, int] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Start a new incarnation and list it."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.id = "i-" + secrets.token_hex(5)
        self.store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service.name,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": 1,
                "slots": self.service.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": 1,
                "born": int(time.time() * 1000),
            },
        )
        self.record(f"runner {self.id} of {self.service.name} starts")

    async def crash(self, down_seconds: float) -> None:
        """End the process: reset all connections; start anew after a while."""
        assert self._server is not None
        ended = self.id
        self.record(f"runner {ended} crashes with {self.running} requests")
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(
            ENTRY_EXPIRES_SECONDS, self.store.put, "keyed.servers", ended, None
        )
        await asyncio.sleep(down_seconds)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers: dict[str, str] = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                if head.startswith("GET /api/report "):
                    await self._report(writer)
                    continue
                work = asyncio.ensure_future(self._work(headers, writer))
                closed = asyncio.ensure_future(self._closed(reader))
                await asyncio.wait({work, closed}, return_when="FIRST_COMPLETED")
                if not work.done():
                    work.cancel()
                    return
                closed.cancel()
                work.result()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        """Answer what a model runner reports of itself."""
        said = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 1,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 475_519,
            "handles": 0,
        }
        body = json.dumps(said).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

    async def _closed(self, reader: asyncio.StreamReader) -> None:
        """Return when the caller has closed; the runner then drops the request."""
        while not reader.at_eof():
            if reader.exception() is not None:
                return
            await asyncio.sleep(0.05)

    async def _work(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request = headers["x-godwitrudder-request-id"]
        common = f"X-Godwitrudder-Request-Id: {request}\r\n"
        common += f"X-Godwitrudder-Instance-Id: {self.id}\r\n"
        if headers.get("x-godwitrudder-expect-instance", self.id) != self.id:
            refusal = f"HTTP/1.1 421 X\r\n{common}Content-Length: 0\r\n\r\n"
            writer.write(refusal.encode())
            await writer.drain()
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        self.running += 1
        load = f"X-Godwitrudder-Server-Load: {self.running},0,{self.service.slots}\r\n"
        common += f"X-Godwitrudder-Response-Signature: {secrets.token_hex(6)}\r\n"
        try:
            await asyncio.sleep(self.service.first_event_seconds)
            if not self.service.events:
                body = request.encode()
                writer.write(
                    f"HTTP/1.1 200 OK\r\n{common}{load}"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
                return
            writer.write(
                f"HTTP/1.1 200 OK\r\n{common}{load}Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, self.service.events + 1):
                event = f"id: {number}\ndata: {request}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.service.event_seconds)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
