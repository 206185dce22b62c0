"""Requests that arrive late in the grace period of a planned stop.

Each one ends with an answer or is refused: none that a runner got is cut.
"""

from __future__ import annotations

import gevent
import gevent.socket

from bench.loopback import IP
from standins.platform_runner import ReceivedRequest, Step, build_response
from tests.entry_setup import EntrySetup, read_all, request, run_entry

ANSWER_SECONDS = 0.2
DEADLINE_MS = b"600"


def answer_late(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [ANSWER_SECONDS, build_response(seen, "200 OK", b"hello")]


def ask(setup: EntrySetup, answers: list[bytes]) -> None:
    """Send one request that may not be repeated; keep what comes back."""
    address = setup.entry.settings.callers
    data = request("/unsafe/1", "POST").replace(b"2000", DEADLINE_MS)
    try:
        with gevent.socket.create_connection((IP, address.port)) as sock:
            sock.sendall(data)
            answers.append(read_all(sock))
    except OSError:
        return  # closed before the request was read


def test_no_request_that_a_runner_got_is_cut_at_the_end_of_the_grace() -> None:
    with run_entry(answer_late) as setup:
        answers: list[bytes] = []
        stop = gevent.spawn(setup.entry.stop)
        asking = []
        while not stop.ready():
            asking.append(gevent.spawn(ask, setup, answers))
            gevent.sleep(0.01)
        setup.entry.close()
        gevent.joinall(asking, timeout=3.0)
        statuses = [answer[9:12] for answer in answers if answer]
        ran = len(setup.runners[0].received_requests)
        assert ran > 20
        assert statuses.count(b"200") == ran
        assert statuses.count(b"503") > 20
        assert set(statuses) == {b"200", b"503"}
