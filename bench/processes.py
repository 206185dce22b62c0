"""Daemons in separate processes, for benches and for tests that send signals."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import gevent
import pyjson5
from geventhttpclient import HTTPClient

from bench.fleet import EXAMPLES
from bench.loopback import IP
from godwitrudder.validation import Address

START_TIMEOUT_SECONDS: Final = 30.0
HEALTH_POLL_SECONDS: Final = 0.05


class DaemonProcess:
    """One daemon of the Penghu example as a process, as a context manager.

    Parameters
    ----------
    number : int
        Number of the daemon in the example, from 1.
    directory : Path
        Directory for its settings and its output.
    changes : Any
        Settings that differ from the example.
    """

    def __init__(self, number: int, directory: Path, **changes: Any) -> None:
        path = EXAMPLES / "penghu" / f"router-{number}.json5"
        text = path.read_text(encoding="utf-8").replace("127.0.0.1", IP)
        plain = {**pyjson5.decode(text), **changes}
        self.host: str = plain["host"]
        self.caller = _address(plain["caller_address"])
        self.peer = _address(plain["peer_address"])
        self.failure_domain: str = plain["failure_domain"]
        self.output = directory / f"{self.host}.log"
        self._settings = directory / f"{self.host}.json5"
        self._settings.write_text(json.dumps(plain))
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> Self:
        """Start the process; ``wait_ready`` waits until it is healthy."""
        command = [sys.executable, "-m", "godwitrudder.process.main"]
        with self.output.open("wb") as output:
            self._process = subprocess.Popen(
                [*command, "--settings", str(self._settings)],
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill the process if it still runs, and wait for its end."""
        self.signal(signal.SIGKILL)
        self.wait()

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        assert self._process is not None
        if self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        assert self._process is not None
        return self._process.wait()

    def wait_ready(self) -> None:
        """Wait until the health check answers 200.

        Raises
        ------
        gevent.Timeout
            The daemon is not healthy after ``START_TIMEOUT_SECONDS``.
        """
        with gevent.Timeout(START_TIMEOUT_SECONDS):
            while self.health() != 200:
                gevent.sleep(HEALTH_POLL_SECONDS)

    def health(self) -> int:
        """Return the HTTP status of the health check; 0 if the connection fails."""
        client = HTTPClient(self.caller.ip, self.caller.port)
        try:
            return int(client.get("/healthz").status_code)
        except OSError:
            return 0
        finally:
            client.close()


def _address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))
