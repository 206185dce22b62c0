"""Entry hosts as separate processes, each with a proxy between it and the store."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Final, Self

import gevent
from gevent import subprocess

from bench.loopback import IP
from godwitrudder.platform import names
from godwitrudder.validation import Address
from soak.proxy import Proxy

UNDISTURBED_AFTER_SECONDS: Final = 3.0
"""A host counts as undisturbed this long after its last fault."""
POLL_SECONDS: Final = 0.05
"""Interval between two checks of a process."""
READY_TIMEOUT_SECONDS: Final = 0.5
"""Timeout of a readiness check; a process that SIGSTOP suspended never answers."""


class Host:
    """One host; a context manager that starts its proxy and ends proxy and process.

    The ports of the process stay reserved until it is started, so that no other host
    is given one of them.

    Parameters
    ----------
    directory : Path
        Directory for the settings file and the log of the process.
    store : Address
        Address of the store, which the process reaches through the proxy.

    Attributes
    ----------
    caller_address : Address
        Address for callers.
    ready_port, peer_port : int
        Ports for the readiness check and for messages of other hosts.
    stopping : bool
        Whether the process has received SIGTERM and has not been restarted.
    restarting : bool
        Whether a fault is ending the process and will start another one.
    was_ready : bool
        Whether a readiness check of this process has succeeded.  Before that, a signal
        may end the process with any status, because it has accepted no request.
    process_number : int
        Number of processes started so far.
    """

    def __init__(self, name: str, directory: Path, store: Address) -> None:
        self.name = name
        self.proxy = Proxy(store)
        self.stopping = False
        self.restarting = False
        self.was_ready = False
        self.process_number = 0
        self._started_at = 0.0
        self._last_fault_at = 0.0
        self._settings = directory / f"{name}.json"
        self._log = directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._reserved = ExitStack()

    def __enter__(self) -> Self:
        """Start the proxy and reserve the ports of the process."""
        self.proxy.__enter__()
        self.caller_address = Address(IP, self._reserve(socket.SOCK_STREAM))
        self.ready_port = self._reserve(socket.SOCK_STREAM)
        self.peer_port = self._reserve(socket.SOCK_DGRAM)
        settings = {
            "node": self.name,
            "zone": "magong",
            "ip": IP,
            "internal_ports": [self.peer_port],
            "listen": {
                "front": f"{IP}:{self.caller_address.port}",
                "ready": f"{IP}:{self.ready_port}",
            },
            "platform": {"address": self.proxy.address},
            "bounds": {"grace_s": 8.0},
        }
        self._settings.write_text(json.dumps(settings))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the process and the proxy."""
        self.kill()
        self._reserved.close()
        self.proxy.__exit__()

    def _reserve(self, kind: socket.SocketKind) -> int:
        sock = self._reserved.enter_context(socket.socket(socket.AF_INET, kind))
        sock.bind((IP, 0))
        return int(sock.getsockname()[1])

    @property
    def undisturbed(self) -> bool:
        """Whether the host had no recent fault; a graceful stop is not a fault."""
        return time.monotonic() - self._last_fault_at > UNDISTURBED_AFTER_SECONDS

    @property
    def excused(self) -> bool:
        """Whether a recent fault or restart excuses what runners see of the host."""
        age = time.monotonic() - self._started_at
        return not self.undisturbed or age < UNDISTURBED_AFTER_SECONDS

    def record_fault(self) -> None:
        """Record that a fault affects the host now."""
        self._last_fault_at = time.monotonic()

    def start(self) -> None:
        """Start a new process; other greenlets run meanwhile."""
        self._reserved.close()
        with self._log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "godwitrudder.process.entry_main"],
                stdout=output,
                stderr=output,
                env={**os.environ, names.SETTINGS_VARIABLE: str(self._settings)},
            )
        self._process = process
        self.process_number += 1
        self._started_at = time.monotonic()
        self.stopping = self.restarting = self.was_ready = False

    def wait_ready(self) -> None:
        """Wait until the process is ready for callers."""
        while not self.check_ready():
            gevent.sleep(POLL_SECONDS)

    def check_ready(self) -> bool:
        """Return whether the process reports that it is ready for callers."""
        process = self._process
        connection = http.client.HTTPConnection(
            IP, self.ready_port, timeout=READY_TIMEOUT_SECONDS
        )
        try:
            connection.request("GET", "/")
            ready = connection.getresponse().status == http.HTTPStatus.OK
            self.was_ready |= ready and process is self._process
            return ready
        except OSError:
            return False
        finally:
            connection.close()

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.record_fault()
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        assert self._process is not None
        if self._process.poll() is None:
            self._process.send_signal(number)

    def stop(self) -> int:
        """Stop the process with SIGTERM; return the exit status."""
        assert self._process is not None
        self.stopping = True
        self.signal(signal.SIGTERM)
        while self._process.poll() is None:
            gevent.sleep(POLL_SECONDS)
        return int(self._process.returncode)
