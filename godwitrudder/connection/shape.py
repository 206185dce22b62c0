"""Response bodies and errors in the format that OpenAI-compatible clients parse."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any, Final

import msgspec

from godwitrudder.request.answer import Chunk, Piece, ServiceAnswer, Usage
from godwitrudder.request.exchange import Reader
from godwitrudder.request.outcome import Completed, Failed, Reason, Refused

CALLER_GONE_STATUS: Final = 499
# Statuses of the daemon's API; an entry process uses ``PLATFORM_STATUS_BY_REASON``.
OPENAI_STATUS_BY_REASON: Final[dict[Reason, int]] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_KEY: 401,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_PATH: 404,
    Reason.BAD_METHOD: 405,
    Reason.TOO_SLOW: 408,
    Reason.TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BUDGET_EXHAUSTED: 429,
    Reason.BUDGET_UNREACHABLE: 503,
    Reason.LOG_UNREACHABLE: 503,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 503,
    Reason.NO_RUNNER: 503,
    Reason.QUARANTINED: 503,
    Reason.DRAINING: 503,
    Reason.HOST_OVERLOADED: 503,
    Reason.TOO_MANY_CONNECTIONS: 503,
    Reason.CALLER_GONE: CALLER_GONE_STATUS,
    Reason.RUNNER_FAILED: 502,
    Reason.ALREADY_CLAIMED: 409,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.KEY_REUSED: 422,
    Reason.INTERNAL: 500,
}
TYPE_BY_STATUS: Final = {
    401: "authentication_error",
    429: "rate_limit_error",
    CALLER_GONE_STATUS: "server_error",
}

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Headers = Iterable[tuple[str, str]]


class ResponseFormat:
    """Format of one response: chat or completion.

    Parameters
    ----------
    request, model : str
        Id of the request and name of its model.
    chat : bool
        Whether the request is a chat.
    usage : bool
        Whether the stream ends with the token usage.
    max_tokens : int
        Limit of output tokens; an answer of this length counts as truncated and gets
        the finish reason ``length``.
    """

    def __init__(
        self, request: str, model: str, chat: bool, usage: bool, max_tokens: int
    ) -> None:
        self._chat = chat
        self._include_usage = usage
        self._max_tokens = max_tokens
        prefix = "chatcmpl" if chat else "cmpl"
        self._head: dict[str, Any] = {
            "id": f"{prefix}-{request[:24]}",
            "created": int(time.time()),
            "model": model,
        }
        self._chunk_prefix, self._chunk_suffix = self._split_chunk()

    def stream(self, reader: Reader) -> Iterator[bytes]:
        """Yield server-sent events, joining those that are available."""
        if self._chat:
            yield _sse(self._chunk_body({"role": "assistant", "content": ""}, None))
        for pieces in reader.batches():
            yield b"".join(self._encode_event(piece) for piece in pieces)

    def whole(self, reader: Reader) -> dict[str, Any] | Refused | Failed | None:
        """Return the complete response body, or None if the reader was closed."""
        texts: list[str] = []
        usage = Usage(0, 0)
        for pieces in reader.batches():
            for piece in pieces:
                match piece:
                    case Chunk():
                        texts.append(piece.text)
                    case Usage():
                        usage = piece
                    case Refused() | Failed():
                        return piece
                    case Completed():
                        return self._whole_body("".join(texts), usage)
        return None

    def _encode_event(self, piece: Piece) -> bytes:
        match piece:
            case Chunk():
                return (
                    self._chunk_prefix
                    + msgspec.json.encode(piece.text)
                    + self._chunk_suffix
                )
            case Usage():
                return self._end_events(piece)
            case Completed():
                return b"data: [DONE]\n\n"
            case Refused() | Failed():
                return _sse(error_body(piece))
            case ServiceAnswer():
                return b""

    def _split_chunk(self) -> tuple[bytes, bytes]:
        """Return the bytes before and after the text of every chunk."""
        placeholder = "\x00"
        text = {"content": placeholder} if self._chat else placeholder
        data = _sse(self._chunk_body(text, None))
        before, after = data.rsplit(json.dumps(placeholder).encode(), 1)
        return before, after

    def _end_events(self, usage: Usage) -> bytes:
        empty: Any = {} if self._chat else ""
        last = _sse(self._chunk_body(empty, self._finish_reason(usage)))
        if not self._include_usage:
            return last
        body = {**self._chunk_body(empty, None), "usage": usage_body(usage)}
        body["choices"] = []
        return last + _sse(body)

    def _finish_reason(self, usage: Usage) -> str:
        return "length" if usage.completion_tokens >= self._max_tokens else "stop"

    def _chunk_body(self, text: Any, finish: str | None) -> dict[str, Any]:
        name = "delta" if self._chat else "text"
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        choice = {"index": 0, name: text, "finish_reason": finish}
        return {**self._head, "object": kind, "choices": [choice]}

    def _whole_body(self, text: str, usage: Usage) -> dict[str, Any]:
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": self._finish_reason(usage),
        }
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            **self._head,
            "object": "chat.completion" if self._chat else "text_completion",
            "choices": [choice],
            "usage": usage_body(usage),
        }


def usage_body(usage: Usage) -> dict[str, int]:
    """Return the ``usage`` object of a response, in tokens."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    }


def error_body(outcome: Refused | Failed) -> dict[str, Any]:
    """Return the body of an error response, with whether the request ran."""
    status = OPENAI_STATUS_BY_REASON[outcome.reason]
    kind = "invalid_request_error" if status < 500 else "server_error"
    return {
        "error": {
            "message": outcome.detail,
            "type": TYPE_BY_STATUS.get(status, kind),
            "param": outcome.param if isinstance(outcome, Refused) else None,
            "code": str(outcome.reason),
            "ran": str(outcome.ran),
        }
    }


def send_error(
    start: StartResponse, outcome: Refused | Failed, headers: Headers = ()
) -> list[bytes]:
    """Send an error, with a header that says whether a retry can help."""
    if outcome.retry_after is not None:
        retry_header = ("Retry-After", str(max(1, round(outcome.retry_after))))
    else:
        retry_header = ("X-Should-Retry", "false")
    status = OPENAI_STATUS_BY_REASON[outcome.reason]
    return send_json(start, status, error_body(outcome), [*headers, retry_header])


def send_json(
    start: StartResponse, status: int, body: Any, headers: Headers = ()
) -> list[bytes]:
    """Send a JSON body."""
    data = msgspec.json.encode(body)
    return send(start, status, data, "application/json", headers)


def send(
    start: StartResponse,
    status: int,
    body: bytes,
    content_type: str,
    headers: Headers = (),
) -> list[bytes]:
    """Send a body with its length."""
    fixed = [("Content-Type", content_type)]
    if status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        fixed.append(("Content-Length", str(len(body))))
    start(f"{status} {_phrase(status)}", [*fixed, *headers])
    return [body] if len(fixed) > 1 else []


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Other"


def _sse(body: Any) -> bytes:
    return f"data: {json.dumps(body)}\n\n".encode()
