"""The callers' HTTP interface.

Bodies are validated here, and every outcome is put into the shape that the
ecosystem's clients parse.  A refusal comes with its own status, because nothing
was sent before the first chunk.
"""

from __future__ import annotations

import hashlib
import hmac
import json
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final
from uuid import uuid4

import msgspec

from godwitrudder.connection.runner import Chunk, Prompt, Usage
from godwitrudder.process.router import (
    Call,
    Router,
    ServiceAnswer,
    ServiceCall,
)
from godwitrudder.request.outcome import (
    Completed,
    Failed,
    Outcome,
    Ran,
    Reason,
    Refused,
    refuse,
)
from godwitrudder.version.document import Access, CallModel, Document, TargetModel

MAX_BODY_BYTES: Final = 1_000_000
MESSAGE_OVERHEAD_TOKENS: Final = 8

STATUS_BY_REASON: Final[dict[Reason, int]] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_KEY: 401,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_PATH: 404,
    Reason.TOO_LARGE: 413,
    Reason.BUDGET_EXHAUSTED: 429,
    Reason.BUDGET_UNREACHABLE: 503,
    Reason.LOG_UNREACHABLE: 503,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 503,
    Reason.NO_RUNNER: 503,
    Reason.DRAINING: 503,
    Reason.CALLER_GONE: 499,
    Reason.RUNNER_FAILED: 502,
    Reason.ALREADY_CLAIMED: 409,
    Reason.KEY_REUSED: 422,
}

Start = Callable[[str, list[tuple[str, str]]], Any]


class MessageModel(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class StreamOptions(msgspec.Struct):
    """Options of a stream."""

    include_usage: bool = False


class ChatModel(msgspec.Struct, kw_only=True):
    """Body of ``POST /v1/chat/completions``; unknown fields are ignored."""

    model: str
    messages: list[MessageModel]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None


class CompletionModel(msgspec.Struct, kw_only=True):
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None


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
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return self._health(start)
        if path == "/metrics":
            return _send(start, 200, self._metrics(), "text/plain; version=0.0.4")
        access = self._access(environ)
        if access is None:
            return _send_error(start, refuse(Reason.UNKNOWN_KEY))
        return self._route(path, environ, access, start)

    def _route(
        self, path: str, environ: dict[str, Any], access: Access, start: Start
    ) -> Iterable[bytes]:
        if path == "/v1/models":
            return self._models(access, start)
        if path.startswith("/services/"):
            return self._service(path, environ, access, start)
        if path in ("/v1/chat/completions", "/v1/completions"):
            return self._complete(path, environ, access, start)
        return _send_error(start, refuse(Reason.UNKNOWN_PATH, path=path))

    def _health(self, start: Start) -> Iterable[bytes]:
        if self._healthy():
            return _send(start, 200, b"ok\n", "text/plain")
        return _send(start, 503, b"draining\n", "text/plain")

    def _access(self, environ: dict[str, Any]) -> Access | None:
        """Return what the bearer key opens; compared by hash."""
        header = environ.get("HTTP_AUTHORIZATION", "")
        scheme, _, key = header.partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        access = self._document().access_by_key_hash.get(digest)
        if scheme.lower() != "bearer" or access is None:
            return None
        return access

    def _models(self, access: Access, start: Start) -> Iterable[bytes]:
        document = self._document()
        names = document.workspaces_by_id[access.workspace].targets
        engines = [
            {"id": name, "object": "model", "created": 0, "owned_by": "guild"}
            for name in names
            if name in document.targets_by_id
            and document.targets_by_id[name].kind == "engine"
        ]
        return _send_json(start, 200, {"object": "list", "data": engines})

    def _complete(
        self, path: str, environ: dict[str, Any], access: Access, start: Start
    ) -> Iterable[bytes]:
        body = _read_body(environ)
        if isinstance(body, Refused):
            return _send_error(start, body)
        chat = path.endswith("/chat/completions")
        model = _parse(body, ChatModel if chat else CompletionModel)
        if isinstance(model, Refused):
            return _send_error(start, model)
        call = self._call(model, environ, access)
        if isinstance(call, Refused):
            return _send_error(start, call)
        shape = Shape(call.request, call.target, chat, _wants_usage(model))
        return self._run(call, shape, model.stream, start)

    def _call(
        self,
        model: ChatModel | CompletionModel,
        environ: dict[str, Any],
        access: Access,
    ) -> Call | Refused:
        target = self._target(access, model.model, "engine")
        if target is None:
            return refuse(Reason.UNKNOWN_MODEL, model=model.model)
        messages = _messages(model)
        size = sum(len(message["content"].encode()) for message in messages)
        if size > target.max_prompt_bytes:
            return refuse(
                Reason.TOO_LARGE,
                part="prompt",
                limit=target.max_prompt_bytes,
                unit="bytes",
            )
        max_tokens = _max_tokens(model, target)
        if isinstance(max_tokens, Refused):
            return max_tokens
        return Call(
            _request_id(environ, access),
            access.workspace,
            access.budget,
            model.model,
            Prompt(messages, model.model, max_tokens, 0.0),
            size + MESSAGE_OVERHEAD_TOKENS * len(messages),
        )

    def _run(
        self, call: Call, shape: Shape, stream: bool, start: Start
    ) -> Iterable[bytes]:
        events = self._router.answer(call)
        first = next(events)
        if isinstance(first, Refused | Failed):
            list(events)
            return _send_error(start, first)
        if stream:
            start("200 OK", [("Content-Type", "text/event-stream")])
            return shape.stream(_chain(first, events))
        return shape.whole(_chain(first, events), start)

    def _service(
        self, path: str, environ: dict[str, Any], access: Access, start: Start
    ) -> Iterable[bytes]:
        name, _, rest = path.removeprefix("/services/").partition("/")
        target = self._target(access, name, "service")
        method = environ["REQUEST_METHOD"]
        rule = None if target is None else _rule(target, method, "/" + rest)
        if rule is None:
            return _send_error(start, refuse(Reason.UNKNOWN_PATH, path=path))
        body = _read_body(environ)
        if isinstance(body, Refused):
            return _send_error(start, body)
        fingerprint = hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()
        call = ServiceCall(
            _request_id(environ, access),
            access.workspace,
            access.budget,
            name,
            method,
            "/" + rest,
            body,
            rule,
            fingerprint,
        )
        return _send_answer(start, call.request, self._router.call_service(call))

    def _target(self, access: Access, name: str, kind: str) -> TargetModel | None:
        document = self._document()
        if name not in document.workspaces_by_id[access.workspace].targets:
            return None
        target = document.targets_by_id.get(name)
        return target if target is not None and target.kind == kind else None


class Shape:
    """The shape of one answer: chat or completion, stream or whole."""

    def __init__(self, request: str, model: str, chat: bool, usage: bool) -> None:
        self._chat = chat
        self._usage = usage
        self._head: dict[str, Any] = {
            "id": f"chatcmpl-{request[:24]}",
            "created": int(time.time()),
            "model": model,
        }

    def stream(self, events: Iterable[Chunk | Usage | Outcome]) -> Iterator[bytes]:
        """Yield server-sent events."""
        for event in events:
            match event:
                case Chunk():
                    yield _sse(self._chunk(event.text, None))
                case Usage():
                    yield _sse(self._chunk("", "stop"))
                    if self._usage:
                        yield _sse(self._last(event))
                case Completed():
                    yield b"data: [DONE]\n\n"
                case Refused() | Failed():
                    yield _sse(error_body(event))

    def whole(
        self, events: Iterable[Chunk | Usage | Outcome], start: Start
    ) -> Iterable[bytes]:
        """Collect the answer and send it."""
        texts: list[str] = []
        usage = Usage(0, 0)
        for event in events:
            match event:
                case Chunk():
                    texts.append(event.text)
                case Usage():
                    usage = event
                case Refused() | Failed():
                    return _send_error(start, event)
                case Completed():
                    pass
        return _send_json(start, 200, self._body("".join(texts), usage))

    def _chunk(self, text: str, finish: str | None) -> dict[str, Any]:
        if self._chat:
            delta = {"role": "assistant", "content": text}
            choice = {"index": 0, "delta": delta, "finish_reason": finish}
            kind = "chat.completion.chunk"
        else:
            choice = {"index": 0, "text": text, "finish_reason": finish}
            kind = "text_completion"
        return {**self._head, "object": kind, "choices": [choice]}

    def _last(self, usage: Usage) -> dict[str, Any]:
        body = {**self._chunk("", None), "usage": usage_body(usage)}
        body["choices"] = []
        return body

    def _body(self, text: str, usage: Usage) -> dict[str, Any]:
        if self._chat:
            message = {"role": "assistant", "content": text}
            choice = {"index": 0, "message": message, "finish_reason": "stop"}
            kind = "chat.completion"
        else:
            choice = {"index": 0, "text": text, "finish_reason": "stop"}
            kind = "text_completion"
        return {
            **self._head,
            "object": kind,
            "choices": [choice],
            "usage": usage_body(usage),
        }


def usage_body(usage: Usage) -> dict[str, int]:
    """Return the usage in the clients' words, in tokens."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    }


def error_body(outcome: Refused | Failed) -> dict[str, Any]:
    """Return an error in the clients' shape, with whether the request ran."""
    status = STATUS_BY_REASON[outcome.reason]
    kind = "invalid_request_error" if status < 429 else "server_error"
    return {
        "error": {
            "message": outcome.detail,
            "type": kind,
            "param": None,
            "code": str(outcome.reason),
            "ran": str(outcome.ran),
        }
    }


def _send_error(start: Start, outcome: Refused | Failed) -> Iterable[bytes]:
    headers: list[tuple[str, str]] = []
    if outcome.retry_after is not None:
        headers.append(("Retry-After", str(max(1, round(outcome.retry_after)))))
    else:
        headers.append(("X-Should-Retry", "false"))
    status = STATUS_BY_REASON[outcome.reason]
    return _send_json(start, status, error_body(outcome), headers)


def _send_answer(
    start: Start, request: str, answer: ServiceAnswer | Refused | Failed
) -> Iterable[bytes]:
    if isinstance(answer, Refused | Failed):
        return _send_error(start, answer)
    headers = [("X-Request-Id", request)]
    return _send(start, answer.status, answer.body, "application/json", headers)


def _send_json(
    start: Start,
    status: int,
    body: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    data = json.dumps(body).encode()
    return _send(start, status, data, "application/json", headers)


def _send(
    start: Start,
    status: int,
    body: bytes,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    fixed = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start(f"{status} {status}", [*fixed, *headers])
    return [body]


def _sse(body: Any) -> bytes:
    return f"data: {json.dumps(body)}\n\n".encode()


def _chain(
    first: Chunk | Usage | Outcome, rest: Iterator[Chunk | Usage | Outcome]
) -> Iterator[Chunk | Usage | Outcome]:
    yield first
    yield from rest


def _read_body(environ: dict[str, Any]) -> bytes | Refused:
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        return refuse(Reason.BAD_REQUEST, problem="Content-Length is not a number")
    if length > MAX_BODY_BYTES:
        return refuse(Reason.TOO_LARGE, part="body", limit=MAX_BODY_BYTES, unit="bytes")
    return bytes(environ["wsgi.input"].read(length))


def _parse(
    body: bytes, model: type[ChatModel] | type[CompletionModel]
) -> ChatModel | CompletionModel | Refused:
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return refuse(Reason.BAD_REQUEST, problem=str(error))


def _messages(model: ChatModel | CompletionModel) -> tuple[dict[str, str], ...]:
    if isinstance(model, CompletionModel):
        return ({"role": "user", "content": model.prompt},)
    return tuple({"role": m.role, "content": m.content} for m in model.messages)


def _max_tokens(
    model: ChatModel | CompletionModel, target: TargetModel
) -> int | Refused:
    wanted = model.max_tokens
    if isinstance(model, ChatModel) and model.max_completion_tokens is not None:
        wanted = model.max_completion_tokens
    if wanted is None:
        return target.default_output_tokens
    if not 0 < wanted <= target.max_output_tokens:
        problem = f"max_tokens must be 1 to {target.max_output_tokens}"
        return refuse(Reason.BAD_REQUEST, problem=problem)
    return wanted


def _wants_usage(model: ChatModel | CompletionModel) -> bool:
    options = model.stream_options
    return options is not None and options.include_usage


def _rule(target: TargetModel, method: str, path: str) -> CallModel | None:
    for call in target.calls:
        if call.method == method and path.startswith(call.path):
            return call
    return None


def _request_id(environ: dict[str, Any], access: Access) -> str:
    """Return the billing id: the caller's key within its workspace, or a new one."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY")
    if not key:
        return uuid4().hex
    mac = hmac.new(access.workspace.encode(), key.encode(), hashlib.sha256)
    return mac.hexdigest()[:32]


def ran_of(body: dict[str, Any]) -> Ran:
    """Return whether an error body says that the request ran."""
    return Ran(body["error"]["ran"])
