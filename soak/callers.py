"""Callers: each keeps a connection until its host is gone, and tells what it got."""

from __future__ import annotations

import http.client
from random import Random
from typing import Final

import gevent

from soak.hosts import Host
from soak.site import Site
from soak.truth import ReceivedResponse, SentRequest

KINDS: Final = ("safe", "unsafe", "stream", "stream", "fixed")
MAX_EVENTS: Final = 20
MAX_PROMPT_TOKENS: Final = 120
DEADLINE_SECONDS: Final = 2.5
MEAN_PAUSE_SECONDS: Final = 0.05
"""Mean rest between two requests of a caller."""


class Caller:
    """One caller; runs until it is killed."""

    def __init__(self, name: str, site: Site, random: Random) -> None:
        self._name = name
        self._site = site
        self._random = random
        self._count = 0

    def run(self) -> None:
        """Ask and judge, on a new connection wherever one has ended."""
        while True:
            host = self._random.choice(self._site.hosts)
            ip, port = host.caller_address.ip, host.caller_address.port
            link = http.client.HTTPConnection(ip, port, timeout=2 * DEADLINE_SECONDS)
            try:
                link.connect()
                while self._send_one(link, host):
                    gevent.sleep(self._random.expovariate(1 / MEAN_PAUSE_SECONDS))
            except OSError:
                gevent.sleep(MEAN_PAUSE_SECONDS)
            finally:
                link.close()

    def _send_one(self, link: http.client.HTTPConnection, host: Host) -> bool:
        """Make one request; False where the connection is over."""
        asked = self._next_request()
        self._site.oracle.requests_by_id[asked.id] = asked
        got = self._exchange(link, host, asked)
        self._site.oracle.check_response(asked, got)
        return bool(got.status) and got.complete and link.sock is not None

    def _next_request(self) -> SentRequest:
        self._count += 1
        kind = self._random.choice(KINDS)
        streams = kind in ("stream", "fixed")
        return SentRequest(
            f"{self._name}-{self._count}",
            self._random.choice(sorted(self._site.oracle.prepaid_by_workspace)),
            kind,
            self._random.randint(1, MAX_PROMPT_TOKENS) if streams else 0,
            self._random.randint(1, MAX_EVENTS) if streams else 0,
        )

    def _exchange(
        self, link: http.client.HTTPConnection, host: Host, asked: SentRequest
    ) -> ReceivedResponse:
        status, body, whole = 0, b"", False
        calm = host.undisturbed
        try:
            link.request("POST", f"/{asked.kind}/x", b"", _headers(asked))
            response = link.getresponse()
            status = response.status
            body, whole = response.read(), True
        except http.client.IncompleteRead as error:
            body = error.partial
        except (OSError, http.client.HTTPException):
            whole = False
        graceful = host.stopping and calm and host.undisturbed
        return ReceivedResponse(status, body, whole, host.name, graceful)


def _headers(asked: SentRequest) -> dict[str, str]:
    headers = {
        "Host": "soak.example",
        "X-Godwitrudder-Request-Id": asked.id,
        "X-Godwitrudder-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        "Authorization": f"Bearer key-{asked.workspace}",
    }
    if asked.events:
        tokens = f"{asked.prompt_tokens},{asked.events * 2}"
        headers["X-Godwitrudder-Token-Count"] = tokens
    return headers
