"""The callers' HTTP interface.

This module validates a request, opens it at the router and reads the answer from an
exchange.  A refusal has its own status code, because the response does not start before
the first piece of the answer.  If a caller disconnects, its reader closes at once.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final
from urllib.parse import quote
from uuid import uuid4

from godwitrudder.connection import body as bodies
from godwitrudder.connection.body import CompletionRequest
from godwitrudder.connection.server import SOCKET_KEY, DisconnectWatcher
from godwitrudder.connection.shape import (
    ResponseFormat,
    StartResponse,
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
        Returns False as soon as a drain begins.
    metrics : callable
        Returns the metrics in the text exposition format.
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

    def __call__(
        self, environ: dict[str, Any], start: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; close the connection after it during a drain."""
        if self._healthy():
            return self._answer(environ, start)

        def start_and_close(status: str, headers: list[tuple[str, str]]) -> Any:
            return start(status, [*headers, ("Connection", "close")])

        return self._answer(environ, start_and_close)

    def _answer(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        allowed = METHODS_BY_PATH.get(path)
        if allowed is not None and environ["REQUEST_METHOD"] not in allowed:
            methods = ", ".join(allowed)
            refused = refuse(Reason.BAD_METHOD, path=path, allowed=methods)
            return send_error(start, refused, [("Allow", methods)])
        if path == "/healthz":
            return self._health(start)
        if path == "/metrics":
            return send(start, 200, self._metrics(), "text/plain; version=0.0.4")
        access = self._access(environ)
        if access is None:
            return send_error(start, refuse(Reason.UNKNOWN_KEY))
        refused_key = bodies.check_idempotency_key(
            environ.get("HTTP_IDEMPOTENCY_KEY", "")
        )
        if refused_key is not None:
            return send_error(start, refused_key)
        return self._route(path, environ, access, start)

    def _route(
        self, path: str, environ: dict[str, Any], access: Access, start: StartResponse
    ) -> Iterable[bytes]:
        if path == "/v1/models" or path.startswith("/v1/models/"):
            return self._models(path, access, start)
        if path.startswith("/services/"):
            return self._service(path, environ, access, start)
        if path in METHODS_BY_PATH:
            return self._complete(path, environ, access, start)
        return send_error(start, refuse(Reason.UNKNOWN_PATH, path=path))

    def _health(self, start: StartResponse) -> Iterable[bytes]:
        if self._healthy():
            return send(start, 200, b"ok\n", "text/plain")
        return send(start, 503, b"draining\n", "text/plain")

    def _access(self, environ: dict[str, Any]) -> Access | None:
        """Return the access of the bearer key, looked up by its SHA-256 digest."""
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = hashlib.sha256(key.strip().encode("latin-1")).hexdigest()
        access = self._document().access_by_key_hash.get(digest)
        if access is None or not hmac.compare_digest(access.key_sha256, digest):
            return None
        return access

    def _models(
        self, path: str, access: Access, start: StartResponse
    ) -> Iterable[bytes]:
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
        self, path: str, environ: dict[str, Any], access: Access, start: StartResponse
    ) -> Iterable[bytes]:
        body = bodies.read_body(environ)
        if isinstance(body, Refused):
            return _send_error_and_close(start, body)
        chat = path.endswith("/chat/completions")
        parsed = bodies.parse_body(body, chat)
        if isinstance(parsed, Refused):
            return send_error(start, parsed)
        call = self._call(parsed, environ, access, _fingerprint(path, body))
        if isinstance(call, Refused):
            return send_error(start, call)
        reader = self._router.open(call)
        if isinstance(reader, Refused | Failed):
            return send_error(start, reader)
        max_tokens = call.prompt.max_tokens
        response_format = ResponseFormat(
            call.request, call.target, chat, parsed.wants_usage, max_tokens
        )
        if parsed.stream:
            return _send_stream(environ, reader, response_format, start)
        return _send_whole(environ, reader, response_format, start)

    def _call(
        self,
        parsed: CompletionRequest,
        environ: dict[str, Any],
        access: Access,
        fingerprint: str,
    ) -> Call | Refused:
        target = self._target(access, parsed.model, "engine")
        if target is None:
            return refuse(Reason.UNKNOWN_MODEL, model=parsed.model)
        limit = target.max_prompt_bytes
        if parsed.prompt_bytes > limit:
            return refuse(Reason.TOO_LARGE, part="prompt", limit=limit, unit="bytes")
        max_tokens = bodies.output_limit(parsed, target)
        if isinstance(max_tokens, Refused):
            return max_tokens
        prompt = Prompt(parsed.messages, parsed.model, max_tokens, 0.0, parsed.options)
        return Call(
            _request_id(environ, access),
            access.workspace,
            access.budget,
            parsed.model,
            prompt,
            parsed.max_prompt_tokens,
            fingerprint,
            keyed=bool(environ.get("HTTP_IDEMPOTENCY_KEY")),
        )

    def _service(
        self, path: str, environ: dict[str, Any], access: Access, start: StartResponse
    ) -> Iterable[bytes]:
        name, _, rest = path.removeprefix("/services/").partition("/")
        target = self._target(access, name, "service")
        rule = _find_rule(target, environ["REQUEST_METHOD"], "/" + rest)
        if isinstance(rule, Refused):
            return send_error(start, rule)
        if ".." in rest.split("/"):
            rule = None
        if rule is None:
            return send_error(start, refuse(Reason.UNKNOWN_PATH, path=path))
        body = bodies.read_body(environ)
        if isinstance(body, Refused):
            return _send_error_and_close(start, body)
        call = _service_call(environ, access, name, rest, body, rule)
        reader = self._router.open_service(call)
        if isinstance(reader, Refused | Failed):
            return send_error(start, reader)
        with CloseOnDisconnect(environ, reader):
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
    """The body of a streamed response; ``close`` leaves the exchange."""

    def __init__(
        self, chunks: Iterator[bytes], reader: Reader, watch: DisconnectWatcher
    ) -> None:
        self._chunks = chunks
        self._reader = reader
        self._watch = watch

    def __iter__(self) -> Iterator[bytes]:
        """Return the chunks."""
        return self._chunks

    def close(self) -> None:
        """Leave the exchange, whether or not the answer was read to its end."""
        self._watch.close()
        self._reader.close()


class CloseOnDisconnect:
    """Context manager that closes a reader at exit, or if the caller disconnects."""

    def __init__(self, environ: dict[str, Any], reader: Reader) -> None:
        self._reader = reader
        self._watch = DisconnectWatcher(environ[SOCKET_KEY], reader.close)

    def __enter__(self) -> None:
        """Start watching the caller's socket."""
        self._watch.__enter__()

    def __exit__(self, *error: object) -> None:
        """Stop watching and close the reader."""
        self._watch.close()
        self._reader.close()


def _send_stream(
    environ: dict[str, Any],
    reader: Reader,
    response_format: ResponseFormat,
    start: StartResponse,
) -> Iterable[bytes]:
    watch = DisconnectWatcher(environ[SOCKET_KEY], reader.close)
    watch.__enter__()
    body = StreamBody(response_format.stream(reader), reader, watch)
    first = reader.first()
    if first is None or isinstance(first, Refused | Failed):
        body.close()
        return _send_end(start, first)
    headers = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]
    start("200 OK", headers)
    return body


def _send_whole(
    environ: dict[str, Any],
    reader: Reader,
    response_format: ResponseFormat,
    start: StartResponse,
) -> Iterable[bytes]:
    with CloseOnDisconnect(environ, reader):
        answer = response_format.whole(reader)
    if isinstance(answer, dict):
        return send_json(start, 200, answer)
    return _send_end(start, answer)


def _send_end(start: StartResponse, end: Any) -> Iterable[bytes]:
    """Send the error that ended an answer, or ``CALLER_GONE`` if there is none."""
    if isinstance(end, Refused | Failed):
        return send_error(start, end)
    return _send_error_and_close(start, refuse(Reason.CALLER_GONE))


def _send_error_and_close(start: StartResponse, refused: Refused) -> Iterable[bytes]:
    """Send an error and close, because the rest of the request was not read."""
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
        _fingerprint(f"{method} {target} {path}", body),
        environ.get("CONTENT_TYPE", ""),
        keyed=bool(environ.get("HTTP_IDEMPOTENCY_KEY")),
    )


def _find_rule(
    target: TargetModel | None, method: str, path: str
) -> CallModel | Refused | None:
    """Return the rule for a call; refuse a known path with an unknown method."""
    if target is None:
        return None
    matching = [call for call in target.calls if path.startswith(call.path)]
    for call in matching:
        if call.method == method:
            return call
    if not matching:
        return None
    methods = ", ".join(call.method for call in matching)
    return refuse(Reason.BAD_METHOD, path=path, allowed=methods)


def _fingerprint(prefix: str, body: bytes) -> str:
    return hashlib.sha256(prefix.encode() + b"\n" + body).hexdigest()


def _request_id(environ: dict[str, Any], access: Access) -> str:
    """Return the billing id: a keyed hash of the idempotency key, or a random id.

    The hash depends on the workspace, so that equal keys of two workspaces differ.
    """
    key = environ.get("HTTP_IDEMPOTENCY_KEY")
    if not key:
        return uuid4().hex
    mac = hmac.new(access.workspace.encode(), key.encode(), hashlib.sha256)
    return mac.hexdigest()[:32]
