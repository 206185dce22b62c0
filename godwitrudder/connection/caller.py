"""The callers' HTTP interface.

A request is checked here and opened at the router; its answer is read from an
exchange.  A refusal comes with its own status, because nothing is sent before
the first piece.  A caller that hangs up leaves its exchange at once, whatever
it waits for.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final
from urllib.parse import quote
from uuid import uuid4

from godwitrudder.connection import body as bodies
from godwitrudder.connection.body import Question
from godwitrudder.connection.server import SOCKET_KEY, HangUp
from godwitrudder.connection.shape import (
    Shape,
    Start,
    send,
    send_error,
    send_json,
)
from godwitrudder.process.router import Router
from godwitrudder.request.answer import Call, Prompt, ServiceAnswer, ServiceCall
from godwitrudder.request.exchange import Reader
from godwitrudder.request.outcome import Failed, Reason, Refused, refuse
from godwitrudder.version.document import Access, CallModel, Document, TargetModel

METHODS_BY_PATH: Final = {
    "/healthz": ("GET", "HEAD"),
    "/metrics": ("GET", "HEAD"),
    "/v1/models": ("GET", "HEAD"),
    "/v1/chat/completions": ("POST",),
    "/v1/completions": ("POST",),
}


class CallerApplication:
    """The WSGI application of the callers' port.

    Parameters
    ----------
    router : Router
        Serves the calls.
    document : callable
        Returns the configuration in force.
    healthy : callable
        False as soon as a drain begins.
    metrics : callable
        Returns the text exposition.
    """

    def __init__(
        self,
        router: Router,
        document: Callable[[], Document],
        healthy: Callable[[], bool],
        metrics: Callable[[], bytes],
    ) -> None:
        self._router = router
        self._document = document
        self._healthy = healthy
        self._metrics = metrics

    def __call__(self, environ: dict[str, Any], start: Start) -> Iterable[bytes]:
        """Answer one request; while draining, connections are not kept."""
        if self._healthy():
            return self._answer(environ, start)

        def start_and_close(status: str, headers: list[tuple[str, str]]) -> Any:
            return start(status, [*headers, ("Connection", "close")])

        return self._answer(environ, start_and_close)

    def _answer(self, environ: dict[str, Any], start: Start) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        allowed = METHODS_BY_PATH.get(path)
        if allowed is not None and environ["REQUEST_METHOD"] not in allowed:
            words = ", ".join(allowed)
            refused = refuse(Reason.BAD_METHOD, path=path, allowed=words)
            return send_error(start, refused, [("Allow", words)])
        if path == "/healthz":
            return self._health(start)
        if path == "/metrics":
            return send(start, 200, self._metrics(), "text/plain; version=0.0.4")
        access = self._access(environ)
        if access is None:
            return send_error(start, refuse(Reason.UNKNOWN_KEY))
        refused_key = bodies.check_key(environ.get("HTTP_IDEMPOTENCY_KEY", ""))
        if refused_key is not None:
            return send_error(start, refused_key)
        return self._route(path, environ, access, start)

    def _route(
        self, path: str, environ: dict[str, Any], access: Access, start: Start
    ) -> Iterable[bytes]:
        if path == "/v1/models" or path.startswith("/v1/models/"):
            return self._models(path, access, start)
        if path.startswith("/services/"):
            return self._service(path, environ, access, start)
        if path in METHODS_BY_PATH:
            return self._complete(path, environ, access, start)
        return send_error(start, refuse(Reason.UNKNOWN_PATH, path=path))

    def _health(self, start: Start) -> Iterable[bytes]:
        if self._healthy():
            return send(start, 200, b"ok\n", "text/plain")
        return send(start, 503, b"draining\n", "text/plain")

    def _access(self, environ: dict[str, Any]) -> Access | None:
        """Return what the bearer key opens, found and compared by its SHA-256."""
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        access = self._document().access_by_key_hash.get(digest)
        if access is None or not hmac.compare_digest(access.key_sha256, digest):
            return None
        return access

    def _models(self, path: str, access: Access, start: Start) -> Iterable[bytes]:
        document = self._document()
        engines = [
            {"id": name, "object": "model", "created": 0, "owned_by": "guild"}
            for name in document.workspaces_by_id[access.workspace].targets
            if self._target(access, name, "engine") is not None
        ]
        name = path.removeprefix("/v1/models").removeprefix("/")
        if not name:
            return send_json(start, 200, {"object": "list", "data": engines})
        for engine in engines:
            if engine["id"] == name:
                return send_json(start, 200, engine)
        return send_error(start, refuse(Reason.UNKNOWN_MODEL, model=name))

    def _complete(
        self, path: str, environ: dict[str, Any], access: Access, start: Start
    ) -> Iterable[bytes]:
        body = bodies.read_body(environ)
        if isinstance(body, Refused):
            return _close(start, body)
        chat = path.endswith("/chat/completions")
        question = bodies.parse(body, chat)
        if isinstance(question, Refused):
            return send_error(start, question)
        call = self._call(question, environ, access, _digest(path, body))
        if isinstance(call, Refused):
            return send_error(start, call)
        reader = self._router.open(call)
        if isinstance(reader, Refused | Failed):
            return send_error(start, reader)
        most = call.prompt.max_tokens
        shape = Shape(call.request, call.target, chat, question.wants_usage, most)
        if question.stream:
            return _stream(environ, reader, shape, start)
        return _whole(environ, reader, shape, start)

    def _call(
        self,
        question: Question,
        environ: dict[str, Any],
        access: Access,
        fingerprint: str,
    ) -> Call | Refused:
        target = self._target(access, question.model, "engine")
        if target is None:
            return refuse(Reason.UNKNOWN_MODEL, model=question.model)
        limit = target.max_prompt_bytes
        if question.prompt_bytes > limit:
            return refuse(Reason.TOO_LARGE, part="prompt", limit=limit, unit="bytes")
        max_tokens = bodies.output_tokens(question, target)
        if isinstance(max_tokens, Refused):
            return max_tokens
        prompt = Prompt(
            question.messages, question.model, max_tokens, 0.0, question.options
        )
        return Call(
            _request_id(environ, access),
            access.workspace,
            access.budget,
            question.model,
            prompt,
            question.prompt_bound,
            fingerprint,
            keyed=bool(environ.get("HTTP_IDEMPOTENCY_KEY")),
        )

    def _service(
        self, path: str, environ: dict[str, Any], access: Access, start: Start
    ) -> Iterable[bytes]:
        name, _, rest = path.removeprefix("/services/").partition("/")
        target = self._target(access, name, "service")
        rule = _rule(target, environ["REQUEST_METHOD"], "/" + rest)
        if isinstance(rule, Refused):
            return send_error(start, rule)
        if ".." in rest.split("/"):
            rule = None
        if rule is None:
            return send_error(start, refuse(Reason.UNKNOWN_PATH, path=path))
        body = bodies.read_body(environ)
        if isinstance(body, Refused):
            return _close(start, body)
        call = _service_call(environ, access, name, rest, body, rule)
        reader = self._router.open_service(call)
        if isinstance(reader, Refused | Failed):
            return send_error(start, reader)
        with Watched(environ, reader):
            piece = reader.first()
        if isinstance(piece, ServiceAnswer):
            headers = [("X-Request-Id", call.request)]
            return send(start, piece.status, piece.body, piece.content_type, headers)
        return _send_end(start, piece)

    def _target(self, access: Access, name: str, kind: str) -> TargetModel | None:
        document = self._document()
        if name not in document.workspaces_by_id[access.workspace].targets:
            return None
        target = document.targets_by_id.get(name)
        return target if target is not None and target.kind == kind else None


class StreamBody:
    """The body of a streamed answer; closing it leaves the exchange."""

    def __init__(self, chunks: Iterator[bytes], reader: Reader, watch: HangUp) -> None:
        self._chunks = chunks
        self._reader = reader
        self._watch = watch

    def __iter__(self) -> Iterator[bytes]:
        """Return the chunks."""
        return self._chunks

    def close(self) -> None:
        """Leave, whether or not the answer was read to its end."""
        self._watch.close()
        self._reader.close()


class Watched:
    """Leave the exchange when the caller hangs up or the block ends."""

    def __init__(self, environ: dict[str, Any], reader: Reader) -> None:
        self._reader = reader
        self._watch = HangUp(environ[SOCKET_KEY], reader.close)

    def __enter__(self) -> None:
        """Start to watch."""
        self._watch.__enter__()

    def __exit__(self, *error: object) -> None:
        """Stop and leave."""
        self._watch.close()
        self._reader.close()


def _stream(
    environ: dict[str, Any], reader: Reader, shape: Shape, start: Start
) -> Iterable[bytes]:
    watch = HangUp(environ[SOCKET_KEY], reader.close)
    watch.__enter__()
    body = StreamBody(shape.stream(reader), reader, watch)
    first = reader.first()
    if first is None or isinstance(first, Refused | Failed):
        body.close()
        return _send_end(start, first)
    headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]
    start("200 OK", headers)
    return body


def _whole(
    environ: dict[str, Any], reader: Reader, shape: Shape, start: Start
) -> Iterable[bytes]:
    with Watched(environ, reader):
        answer = shape.whole(reader)
    if isinstance(answer, dict):
        return send_json(start, 200, answer)
    return _send_end(start, answer)


def _send_end(start: Start, end: Any) -> Iterable[bytes]:
    """Send an error; one that is nobody's to read where the caller has gone."""
    if isinstance(end, Refused | Failed):
        return send_error(start, end)
    return _close(start, refuse(Reason.CALLER_GONE))


def _close(start: Start, refused: Refused) -> Iterable[bytes]:
    """Send an error and close, as the rest of the request was not read."""
    return send_error(start, refused, [("Connection", "close")])


def _service_call(
    environ: dict[str, Any],
    access: Access,
    target: str,
    rest: str,
    body: bytes,
    rule: CallModel,
) -> ServiceCall:
    method = environ["REQUEST_METHOD"]
    query = environ.get("QUERY_STRING", "")
    path = "/" + quote(rest.encode("latin-1"))
    path = f"{path}?{query}" if query else path
    return ServiceCall(
        _request_id(environ, access),
        access.workspace,
        access.budget,
        target,
        method,
        path,
        body,
        rule,
        _digest(f"{method} {target} {path}", body),
        environ.get("CONTENT_TYPE", ""),
        keyed=bool(environ.get("HTTP_IDEMPOTENCY_KEY")),
    )


def _rule(
    target: TargetModel | None, method: str, path: str
) -> CallModel | Refused | None:
    """Return the rule of a call; a known path with another method is refused."""
    if target is None:
        return None
    matching = [call for call in target.calls if path.startswith(call.path)]
    for call in matching:
        if call.method == method:
            return call
    if not matching:
        return None
    words = ", ".join(call.method for call in matching)
    return refuse(Reason.BAD_METHOD, path=path, allowed=words)


def _digest(what: str, body: bytes) -> str:
    return hashlib.sha256(what.encode() + b"\n" + body).hexdigest()


def _request_id(environ: dict[str, Any], access: Access) -> str:
    """Return the billing id: the caller's key within its workspace, or a new one."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY")
    if not key:
        return uuid4().hex
    mac = hmac.new(access.workspace.encode(), key.encode(), hashlib.sha256)
    return mac.hexdigest()[:32]
