"""Callers: each keeps a connection until its host is gone, and tells what it got."""

from __future__ import annotations

import http.client
from random import Random
from typing import Final

import gevent

from soak.hosts import Host
from soak.site import Site
from soak.truth import Asked, Got

KINDS: Final = ("safe", "unsafe", "stream", "stream", "fixed")
EVENTS_MOST: Final = 20
PROMPT_TOKENS_MOST: Final = 120
DEADLINE_SECONDS: Final = 2.5
REST_SECONDS: Final = 0.05
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
            ip, port = host.callers.ip, host.callers.port
            link = http.client.HTTPConnection(ip, port, timeout=2 * DEADLINE_SECONDS)
            try:
                link.connect()
                while self._ask(link, host):
                    gevent.sleep(self._random.expovariate(1 / REST_SECONDS))
            except OSError:
                gevent.sleep(REST_SECONDS)
            finally:
                link.close()

    def _ask(self, link: http.client.HTTPConnection, host: Host) -> bool:
        """Make one request; False where the connection is over."""
        asked = self._next()
        self._site.truth.asked_by_id[asked.id] = asked
        got = self._exchange(link, host, asked)
        self._site.truth.got(asked, got)
        return bool(got.status) and got.whole and link.sock is not None

    def _next(self) -> Asked:
        self._count += 1
        kind = self._random.choice(KINDS)
        streams = kind in ("stream", "fixed")
        return Asked(
            f"{self._name}-{self._count}",
            self._random.choice(sorted(self._site.truth.prepaid_by_workspace)),
            kind,
            self._random.randint(1, PROMPT_TOKENS_MOST) if streams else 0,
            self._random.randint(1, EVENTS_MOST) if streams else 0,
        )

    def _exchange(
        self, link: http.client.HTTPConnection, host: Host, asked: Asked
    ) -> Got:
        status, body, whole = 0, b"", False
        calm = host.calm
        try:
            link.request("POST", f"/{asked.kind}/x", b"", _headers(asked))
            response = link.getresponse()
            status = response.status
            body, whole = response.read(), True
        except http.client.IncompleteRead as error:
            body = error.partial
        except (OSError, http.client.HTTPException):
            whole = False
        graceful = host.stopping and calm and host.calm
        return Got(status, body, whole, host.name, graceful)


def _headers(asked: Asked) -> dict[str, str]:
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
