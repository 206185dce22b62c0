"""The caller port with the public client, and its errors for bad input."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import gevent
import openai
import pytest
from gevent import socket

from bench.fleet import Fleet
from godwitrudder.process.daemon import Daemon
from standins.batch import answer_length, token_text

PROMPT = "How do I tag a stray pot"
CHAT: dict[str, Any] = {
    "model": "rudder-llm",
    "messages": [{"role": "user", "content": PROMPT}],
}
KEY = "penghu-registry-key"


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """Return a fleet with one daemon."""
    with Fleet(daemons=1, engines=2, services=1) as fleet:
        yield fleet


def client(fleet: Fleet, key: str = KEY) -> openai.OpenAI:
    """Return the public client with the daemon as its base URL."""
    url = f"http://{fleet.daemons[0].settings.caller}/v1"
    return openai.OpenAI(base_url=url, api_key=key, max_retries=0)


def expected_text(limit: int) -> str:
    """Return the expected answer to ``PROMPT`` for a token limit."""
    return "".join(token_text(PROMPT, i) for i in range(answer_length(PROMPT, limit)))


def send_raw(daemon: Daemon, data: bytes) -> tuple[int, dict[str, str], bytes]:
    """Send bytes and return status, headers and body of the response."""
    address = (daemon.settings.caller.ip, daemon.settings.caller.port)
    with socket.create_connection(address) as sock:
        sock.sendall(data)
        answer = sock.makefile("rb")
        status = int(answer.readline().split()[1])
        headers: dict[str, str] = {}
        for line in iter(answer.readline, b"\r\n"):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        return status, headers, answer.read(int(headers.get("content-length", 0)))


def build_request(
    body: bytes,
    path: str = "/v1/chat/completions",
    method: str = "POST",
    extra_headers: str = "",
) -> bytes:
    """Return an encoded HTTP request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"{extra_headers}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def test_client_chats_and_streams(fleet: Fleet) -> None:
    """The public client gets the same answer and usage with and without streaming."""
    public = client(fleet)
    whole = public.chat.completions.create(**CHAT, max_tokens=64)
    chunks = list(
        public.chat.completions.create(
            **CHAT, max_tokens=64, stream=True, stream_options={"include_usage": True}
        )
    )
    streamed = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    assert whole.choices[0].message.content == streamed == expected_text(64)
    assert whole.choices[0].finish_reason == "stop"
    assert chunks[-1].usage == whole.usage
    short = public.completions.create(model="rudder-llm", prompt=PROMPT, max_tokens=2)
    assert short.choices[0].text == expected_text(2)
    assert short.choices[0].finish_reason == "length"
    assert [model.id for model in public.models.list()] == ["rudder-llm"]
    assert public.models.retrieve("rudder-llm").id == "rudder-llm"


def test_client_sends_parts(fleet: Fleet) -> None:
    """The text parts of a message are joined."""
    parts = [{"type": "text", "text": PROMPT[:9]}, {"type": "text", "text": PROMPT[9:]}]
    message: Any = {"role": "user", "content": parts}
    answer = client(fleet).chat.completions.create(
        model="rudder-llm", messages=[message], max_tokens=64
    )
    assert answer.choices[0].message.content == expected_text(64)


CLIENT_ERRORS: list[tuple[str, dict[str, Any], type[openai.APIStatusError], str]] = [
    ("wrong", {}, openai.AuthenticationError, "invalid_api_key"),
    (KEY, {"model": "nothing"}, openai.NotFoundError, "model_not_found"),
    (KEY, {"max_tokens": -1}, openai.BadRequestError, "bad_request"),
    (
        "penghu-harbour-key",
        {"max_tokens": 4000},
        openai.RateLimitError,
        "insufficient_quota",
    ),
]


@pytest.mark.parametrize(("key", "change", "kind", "code"), CLIENT_ERRORS)
def test_client_raises_its_typed_errors(
    fleet: Fleet,
    key: str,
    change: dict[str, Any],
    kind: type[openai.APIStatusError],
    code: str,
) -> None:
    """Each refusal raises the matching error class of the public client."""
    arguments: dict[str, Any] = {**CHAT, "stream": True, **change}
    with pytest.raises(kind) as caught:
        client(fleet, key).chat.completions.create(**arguments)
    assert caught.value.code == code
    assert isinstance(caught.value.body, dict)
    assert caught.value.body["ran"] == "not_run"


def build_chat_request(**fields: Any) -> bytes:
    """Return an encoded chat request with some fields changed."""
    return build_request(json.dumps({**CHAT, **fields}).encode())


LONG = "x" * 70_000
BAD_REQUESTS: list[tuple[str, bytes, int, str | None]] = [
    ("not JSON", build_request(b"{"), 400, None),
    ("not UTF-8", build_request(b'{"model": "\xff"}'), 400, None),
    ("surrogate", build_request(b'{"model": "\\ud800"}'), 400, None),
    ("deep nesting", build_request(b"[" * 100_000), 400, None),
    (
        "deep in a field",
        build_request(b'{"messages":' + b"[" * 100_000),
        400,
        "messages[0]",
    ),
    ("model missing", build_request(b'{"messages": []}'), 400, None),
    ("no messages", build_chat_request(messages=[]), 400, "messages"),
    ("wrong type", build_chat_request(max_tokens="many"), 400, "max_tokens"),
    ("beyond 64 bits", build_chat_request(max_tokens=10**30), 400, "max_tokens"),
    ("zero tokens", build_chat_request(max_tokens=0), 400, "max_tokens"),
    ("two answers", build_chat_request(n=2), 400, "n"),
    (
        "image part",
        build_chat_request(
            messages=[{"role": "user", "content": [{"type": "image_url"}]}]
        ),
        400,
        "messages[0].content[0].type",
    ),
    (
        "long prompt",
        build_chat_request(messages=[{"role": "u", "content": LONG}]),
        413,
        None,
    ),
    ("long body", build_request(b"x" * 1_000_001), 413, None),
    ("wrong method", build_request(b"", method="GET"), 405, None),
    ("no such path", build_request(b"", path="/v2/chat"), 404, None),
    ("no such call", build_request(b"", path="/services/registry-app/x"), 404, None),
    (
        "call with another method",
        build_request(b"", path="/services/registry-app/transfers", method="DELETE"),
        405,
        None,
    ),
    (
        "path with dot segments",
        build_request(b"", path="/services/registry-app/tags/../x", method="GET"),
        404,
        None,
    ),
    (
        "long key",
        build_request(b"", extra_headers=f"Idempotency-Key: {'k' * 300}\r\n"),
        400,
        "Idempotency-Key",
    ),
    (
        "long headers",
        build_request(b"", extra_headers=f"X: {'y' * 8000}\r\n" * 5),
        431,
        None,
    ),
    ("folded header", build_request(b"", extra_headers="X: a\r\n b\r\n"), 400, None),
    (
        "space in a header name",
        build_request(b"", extra_headers="X : a\r\n"),
        400,
        None,
    ),
    (
        "two lengths",
        build_request(b"", extra_headers="Content-Length: 3\r\n"),
        400,
        None,
    ),
    (
        "length and chunks",
        build_request(b"", extra_headers="Transfer-Encoding: chunked\r\n"),
        400,
        None,
    ),
    ("not HTTP", b"\x16\x03\x01\r\n\r\n", 400, None),
    (
        "bad length",
        b"POST /v1/models HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
        400,
        None,
    ),
]


@pytest.mark.parametrize(("name", "data", "status", "param"), BAD_REQUESTS)
def test_bad_input_is_named(
    fleet: Fleet, name: str, data: bytes, status: int, param: str | None
) -> None:
    """Bad input gets an error that names the field; the daemon keeps serving."""
    got, headers, body = send_raw(fleet.daemons[0], data)
    error = json.loads(body)["error"]
    assert (got, error["param"], error["ran"]) == (status, param, "not_run")
    assert KEY not in body.decode()
    health = b"GET /healthz HTTP/1.1\r\n\r\n"
    assert send_raw(fleet.daemons[0], health)[0] == 200
    if status == 405:
        assert headers["x-should-retry"] == "false"


def test_chunked_body(fleet: Fleet) -> None:
    """A chunked body without a length is read to its end."""
    body = json.dumps({**CHAT, "max_tokens": 64}).encode()
    head = build_request(b"").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    data = head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    status, _, answer = send_raw(fleet.daemons[0], data)
    assert status == 200
    assert json.loads(answer)["choices"][0]["message"]["content"] == expected_text(64)


def test_service_answer_is_passed_on(fleet: Fleet) -> None:
    """Path, query, status and content type are passed through."""
    path = "/services/registry-app/tags/a%20b?lang=zh"
    status, headers, body = send_raw(fleet.daemons[0], build_request(b"", path, "GET"))
    assert (status, headers["content-type"]) == (200, "application/json")
    assert json.loads(body)["path"] == "/tags/a b"


def test_repeated_key_joins_the_run(fleet: Fleet) -> None:
    """Requests with the same key get the answer of one run.

    Another request with this key is refused.
    """
    data = build_request(
        json.dumps({**CHAT, "max_tokens": 64}).encode(),
        extra_headers="Idempotency-Key: k1\r\n",
    )
    calls = [gevent.spawn(send_raw, fleet.daemons[0], data) for _ in range(3)]
    gevent.joinall(calls)
    calls.append(gevent.spawn(send_raw, fleet.daemons[0], data))
    gevent.joinall(calls)
    answers = [json.loads(call.value[2]) for call in calls]
    assert all(a["choices"] == answers[0]["choices"] for a in answers)
    assert answers[0]["choices"][0]["message"]["content"] == expected_text(64)
    other = build_request(
        json.dumps({**CHAT, "max_tokens": 63}).encode(),
        extra_headers="Idempotency-Key: k1\r\n",
    )
    status, _, body = send_raw(fleet.daemons[0], other)
    assert (status, json.loads(body)["error"]["code"]) == (
        422,
        "idempotency_key_reused",
    )


def test_caller_that_hangs_up_frees_everything(fleet: Fleet) -> None:
    """Callers that disconnect, queued or running, hold no resources.

    Their slots, queue entries, reservations and engine streams are freed.
    """
    daemon = fleet.daemons[0]
    for engine in fleet.engines:
        engine.faults.set({"slow": 500.0})
    address = (daemon.settings.caller.ip, daemon.settings.caller.port)
    socks = [socket.create_connection(address) for _ in range(20)]
    for sock in socks:
        sock.sendall(build_request(json.dumps({**CHAT, "max_tokens": 8}).encode()))
    while daemon.router.in_flight < len(socks):
        gevent.sleep(0.01)
    for sock in socks:
        sock.close()
    with gevent.Timeout(20):
        while daemon.router.in_flight:
            gevent.sleep(0.01)
    for engine in fleet.engines:
        engine.faults.set({"slow": 1.0})
    gate = daemon.turns.gate("rudder-llm").slots
    assert (gate.running, len(gate.queue)) == (0, 0)
    assert daemon.budgets.holder.allocator.balances_by_budget["registry"].reserved == 0
    streams = [s for e in fleet.engines for s in e.streams_by_attempt.values()]
    assert all(stream.ended for stream in streams)


LIMITS: list[tuple[str, str, float, bytes, int, str]] = [
    ("headers", "server.HEADER_SECONDS", 0.1, b"GET /healthz HTTP/1.1\r\nX: ", 408, ""),
    (
        "body",
        "body.BODY_TIMEOUT_SECONDS",
        0.1,
        build_request(b"xx")[:-1],
        408,
        "request_timeout",
    ),
    ("many", "server.MAX_CONNECTIONS", 0, b"", 503, "too_many_connections"),
]


@pytest.mark.parametrize(("name", "limit", "value", "data", "status", "code"), LIMITS)
def test_slow_and_too_many_callers(
    fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    name: str,
    limit: str,
    value: float,
    data: bytes,
    status: int,
    code: str,
) -> None:
    """The error names the limit that was exceeded, and the connection is closed."""
    monkeypatch.setattr(f"godwitrudder.connection.{limit}", value)
    got, headers, body = send_raw(fleet.daemons[0], data)
    assert (got, headers["connection"]) == (status, "close")
    assert code in json.loads(body)["error"]["code"]


def test_idle_caller_is_closed(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection that sends nothing is closed without a response."""
    monkeypatch.setattr("godwitrudder.connection.server.IDLE_SECONDS", 0.1)
    caller = fleet.daemons[0].settings.caller
    with socket.create_connection((caller.ip, caller.port)) as sock:
        assert sock.recv(1) == b""


def test_metrics_and_time_line_hold_no_key(fleet: Fleet) -> None:
    """Metrics and timeline events contain no API keys and no prompts."""
    daemon = fleet.daemons[0]
    shown = daemon.metrics.render().decode() + str(list(daemon.timeline.events))
    assert KEY not in shown
    assert PROMPT not in shown
