"""Entry hosts as processes of their own, each behind a proxy before the store."""

from __future__ import annotations

import http.client
import json
import os
import signal
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Final, Self

import gevent
from gevent import subprocess

from bench.loopback import IP
from godwitrudder.platform import names
from godwitrudder.sections import Address
from soak.proxy import Proxy
from tests.ports import free_datagram_port

FAULT_MEMORY_SECONDS: Final = 3.0
"""A host to which nothing was done for so long is calm."""
POLL_SECONDS: Final = 0.05
"""Between questions about a process."""
READY_TIMEOUT_SECONDS: Final = 0.5
"""Longest wait for an answer; a process that is stopped gives none."""


class Host:
    """One host, as a context manager; its process is started and ended by id.

    Attributes
    ----------
    stopping : bool
        Whether its process got SIGTERM and has not been started again.
    was_ready : bool
        Whether its process was seen ready; one that was not may end at a signal, as it
        has taken nothing.
    """

    def __init__(self, name: str, directory: Path, store: Address, port: int) -> None:
        self.name = name
        self.caller_address = Address(IP, port)
        self.proxy = Proxy(store)
        self.stopping = False
        self.was_ready = False
        self._last_fault_at = 0.0
        self._ready_port = port + 1
        self._peer_port = free_datagram_port()
        self._settings = directory / f"{name}.json"
        self._log = directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> Self:
        """Start proxy and process."""
        self.proxy.__enter__()
        plain = {
            "node": self.name,
            "zone": "magong",
            "ip": IP,
            "internal_ports": [self._peer_port],
            "listen": {
                "front": f"{IP}:{self.caller_address.port}",
                "ready": f"{IP}:{self._ready_port}",
            },
            "platform": {"address": self.proxy.address},
            "bounds": {"grace_s": 8.0},
        }
        self._settings.write_text(json.dumps(plain))
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End process and proxy."""
        self.kill()
        self.proxy.__exit__()

    @property
    def undisturbed(self) -> bool:
        """Whether nothing but a graceful stop befell it of late."""
        return time.monotonic() - self._last_fault_at > FAULT_MEMORY_SECONDS

    def record_fault(self) -> None:
        """Note a fault."""
        self._last_fault_at = time.monotonic()

    def start(self) -> None:
        """Start its process anew."""
        self.stopping = False
        self.was_ready = False
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "godwitrudder.process.entry_main"],
                stdout=output,
                stderr=output,
                env={**os.environ, names.SETTINGS_VARIABLE: str(self._settings)},
            )

    def wait_ready(self) -> None:
        """Wait until it takes callers."""
        while not self.check_ready():
            gevent.sleep(POLL_SECONDS)

    def check_ready(self) -> bool:
        """Whether it says that it takes callers."""
        process = self._process
        link = http.client.HTTPConnection(
            IP, self._ready_port, timeout=READY_TIMEOUT_SECONDS
        )
        try:
            link.request("GET", "/")
            ready = link.getresponse().status == http.HTTPStatus.OK
            self.was_ready |= ready and process is self._process
            return ready
        except OSError:
            return False
        finally:
            link.close()

    def kill(self) -> None:
        """Kill its process and wait for its end."""
        self.record_fault()
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        assert self._process is not None
        if self._process.poll() is None:
            self._process.send_signal(number)

    def stop(self) -> int:
        """Stop gracefully; return the exit status."""
        assert self._process is not None
        self.stopping = True
        self.signal(signal.SIGTERM)
        while self._process.poll() is None:
            gevent.sleep(POLL_SECONDS)
        return int(self._process.returncode)
