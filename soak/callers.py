"""Callers of the hosts; each reports what it sent and received to the oracle.

A caller keeps its connection until the host closes it.
"""

from __future__ import annotations

import http.client
import time
from random import Random
from typing import Final

import gevent

from soak.deployment import Deployment
from soak.hosts import Host
from soak.oracle import ReceivedResponse, SentRequest
from soak.runners import COLD_HEADER, LEAVING_HEADER, LIMIT_HEADER, RUNNER_HEADER

REQUEST_KINDS: Final = ("safe", "unsafe", "stream", "stream", "fixed")
# Maximum number of events and of prompt tokens of a streamed request.
MAX_EVENTS: Final = 20
MAX_PROMPT_TOKENS: Final = 120
# Deadline that a caller sends; its socket times out after twice this time.
DEADLINE_SECONDS: Final = 2.5
POISON_SHARE: Final = 0.1
"""Share of the streamed requests with a poison part, while there is one."""
MEAN_PAUSE_SECONDS: Final = 0.05
"""Mean pause between two requests of a caller."""


class Caller:
    """One caller; runs until its greenlet is killed."""

    def __init__(self, name: str, deployment: Deployment, random: Random) -> None:
        self._name = name
        self._deployment = deployment
        self._random = random
        self._count = 0

    def run(self) -> None:
        """Send requests and check the responses; reconnect to a random host."""
        while True:
            host = self._random.choice(self._deployment.hosts)
            ip, port = host.caller_address.ip, host.caller_address.port
            connection = http.client.HTTPConnection(
                ip, port, timeout=2 * DEADLINE_SECONDS
            )
            try:
                connection.connect()
                while self._send_one(connection, host):
                    gevent.sleep(self._random.expovariate(1 / MEAN_PAUSE_SECONDS))
            except OSError:
                gevent.sleep(MEAN_PAUSE_SECONDS)
            finally:
                connection.close()

    def _send_one(self, connection: http.client.HTTPConnection, host: Host) -> bool:
        """Send one request; return False if the connection can't be used again."""
        request = self._next_request(host)
        self._deployment.oracle.requests_by_id[request.id] = request
        received = self._exchange(connection, host, request)
        self._deployment.oracle.check_response(request, received)
        return (
            bool(received.status) and received.complete and connection.sock is not None
        )

    def _next_request(self, host: Host) -> SentRequest:
        self._count += 1
        kind = self._random.choice(REQUEST_KINDS)
        is_stream = kind in ("stream", "fixed")
        poison = self._random.random() < POISON_SHARE
        return SentRequest(
            f"{self._name}-{self._count}",
            self._random.choice(sorted(self._deployment.oracle.prepaid_by_workspace)),
            kind,
            self._random.randint(1, MAX_PROMPT_TOKENS) if is_stream else 0,
            self._random.randint(1, MAX_EVENTS) if is_stream else 0,
            (host.name, host.process_number),
            self._deployment.poison_part if is_stream and poison else "",
        )

    def _exchange(
        self, connection: http.client.HTTPConnection, host: Host, request: SentRequest
    ) -> ReceivedResponse:
        status, body, complete = 0, b"", False
        undisturbed_before = host.undisturbed
        began = time.monotonic()
        try:
            connection.request("POST", f"/{request.kind}/x", b"", _headers(request))
            response = connection.getresponse()
            status = response.status
            self._record_passed_on(request, response)
            body, complete = response.read(), True
        except http.client.IncompleteRead as error:
            body = error.partial
        except (OSError, http.client.HTTPException):
            complete = False
        in_time = time.monotonic() - began < DEADLINE_SECONDS
        undisturbed = undisturbed_before and host.undisturbed
        graceful = host.stopping and undisturbed and in_time
        return ReceivedResponse(status, body, complete, host.name, graceful)

    def _record_passed_on(
        self, request: SentRequest, response: http.client.HTTPResponse
    ) -> None:
        """Record what a runner has asked for in an answer that a host passed on."""
        name = response.getheader(RUNNER_HEADER)
        if name is not None:
            self._deployment.runners_by_name[name].passed_on(
                request.process,
                response.getheader(LIMIT_HEADER) is not None,
                response.getheader(LEAVING_HEADER) is not None,
                response.getheader(COLD_HEADER) is not None,
            )


def _headers(request: SentRequest) -> dict[str, str]:
    headers = {
        "Host": "soak.example",
        "X-Godwitrudder-Request-Id": request.id,
        "X-Godwitrudder-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        "Authorization": f"Bearer key-{request.workspace}",
    }
    if request.events:
        tokens = f"{request.prompt_tokens},{request.events * 2}"
        headers["X-Godwitrudder-Token-Count"] = tokens
        parts = ["all", request.workspace, request.poison_part, request.id]
        headers["X-Godwitrudder-Prefix-Hash"] = ",".join(
            f"{part}:10" for part in parts if part
        )
    return headers
