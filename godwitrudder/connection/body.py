"""Reading and validation of callers' request bodies.

The result is a ``CompletionRequest`` or a refusal that names the invalid field.
Fields that neither the engine nor the budget needs are ignored, because common
clients send many of them.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Final

import gevent
import msgspec

from godwitrudder.request.outcome import Reason, Refused, refuse, refuse_field
from godwitrudder.version.document import TargetModel

MAX_BODY_BYTES: Final = 1_000_000
# Longest time in which a whole body must arrive.
BODY_TIMEOUT_SECONDS: Final = 20.0
MAX_IDEMPOTENCY_KEY_CHARACTERS: Final = 255
# Added to the upper bound of a prompt's tokens for each of its messages.
MESSAGE_OVERHEAD_TOKENS: Final = 8
# Fields of a request that are passed on to the engine unchanged.
ENGINE_OPTIONS: Final = (
    "temperature",
    "top_p",
    "seed",
    "stop",
    "presence_penalty",
    "frequency_penalty",
)

_VALIDATION_ERROR: Final = re.compile(
    r"^(?P<problem>.*) - at `\$\.?(?P<path>.*)`$", re.DOTALL
)


class PartModel(msgspec.Struct):
    """One part of a message; only text parts are accepted."""

    type: str
    text: str = ""


class MessageModel(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str | list[PartModel] | None = None


class StreamOptions(msgspec.Struct):
    """Options of a streamed response."""

    include_usage: bool | None = False


class RequestModel(msgspec.Struct, kw_only=True):
    """Fields shared by chat and completion requests."""

    model: str
    max_tokens: int | None = None
    n: int | None = 1
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None


class ChatModel(RequestModel, kw_only=True):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[MessageModel]
    max_completion_tokens: int | None = None


class CompletionModel(RequestModel, kw_only=True):
    """Body of ``POST /v1/completions``."""

    prompt: str | list[str]


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A validated request, before its target is looked up.

    Attributes
    ----------
    max_tokens : int or None
        Requested limit of output tokens; None for the target's default.
    wants_usage : bool
        Whether a stream ends with the token usage.
    options : dict
        Fields that are passed on to the engine unchanged, without those that are unset.
    prompt_bytes : int
        Size of the texts of all messages, in bytes of UTF-8.
    """

    model: str
    messages: tuple[dict[str, str], ...]
    max_tokens: int | None
    stream: bool
    wants_usage: bool
    options: dict[str, object]
    prompt_bytes: int

    @property
    def max_prompt_tokens(self) -> int:
        """Upper bound of the prompt in tokens: one per byte, plus message overhead."""
        return self.prompt_bytes + MESSAGE_OVERHEAD_TOKENS * len(self.messages)


def read_body(environ: dict[str, Any]) -> bytes | Refused:
    """Read a body, with or without ``Content-Length``, within size and time limits."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        return _too_large()
    source = environ["wsgi.input"]
    with gevent.Timeout(BODY_TIMEOUT_SECONDS, False):
        body = bytes(source.read(MAX_BODY_BYTES + 1))
        return _too_large() if len(body) > MAX_BODY_BYTES else body
    return refuse(Reason.TOO_SLOW, 1.0, seconds=BODY_TIMEOUT_SECONDS)


def parse_body(body: bytes, chat: bool) -> CompletionRequest | Refused:
    """Parse and validate the body of a chat or completion request."""
    try:
        model = msgspec.json.decode(body, type=ChatModel if chat else CompletionModel)
    except RecursionError:
        return refuse(Reason.BAD_REQUEST, problem="the body is nested too deeply")
    except msgspec.ValidationError as error:
        return _validation_refusal(str(error))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return refuse(Reason.BAD_REQUEST, problem=f"the body is not JSON: {error}")
    messages = _messages_of(model)
    if isinstance(messages, Refused):
        return messages
    if model.n not in (None, 1):
        return refuse_field("n", "n must be 1")
    return _build_request(model, messages)


def output_limit(request: CompletionRequest, target: TargetModel) -> int | Refused:
    """Return the limit of output tokens: the requested one or the target's default."""
    wanted = request.max_tokens
    if wanted is None:
        return target.default_output_tokens
    if not 0 < wanted <= target.max_output_tokens:
        problem = (
            "max_tokens or max_completion_tokens must be 1 to"
            f" {target.max_output_tokens}"
        )
        return refuse_field("max_tokens", problem)
    return wanted


def check_idempotency_key(key: str) -> Refused | None:
    """Return a refusal for an ``Idempotency-Key`` that is too long."""
    if len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
        return None
    problem = (
        f"Idempotency-Key must have at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
    )
    return refuse_field("Idempotency-Key", problem)


def _build_request(
    model: ChatModel | CompletionModel, messages: tuple[dict[str, str], ...]
) -> CompletionRequest:
    wanted = model.max_tokens
    if isinstance(model, ChatModel) and model.max_completion_tokens is not None:
        wanted = model.max_completion_tokens
    values = {name: getattr(model, name) for name in ENGINE_OPTIONS}
    options = {name: value for name, value in values.items() if value is not None}
    stream_options = model.stream_options
    return CompletionRequest(
        model.model,
        messages,
        wanted,
        bool(model.stream),
        stream_options is not None and bool(stream_options.include_usage),
        options,
        sum(len(message["content"].encode()) for message in messages),
    )


def _messages_of(
    model: ChatModel | CompletionModel,
) -> tuple[dict[str, str], ...] | Refused:
    if isinstance(model, CompletionModel):
        return _prompt_messages(model.prompt)
    messages: list[dict[str, str]] = []
    for number, message in enumerate(model.messages):
        text = _message_text(message.content, f"messages[{number}].content")
        if isinstance(text, Refused):
            return text
        messages.append({"role": message.role, "content": text})
    if not messages:
        return refuse_field("messages", "messages must not be empty")
    return tuple(messages)


def _prompt_messages(prompt: str | list[str]) -> tuple[dict[str, str], ...] | Refused:
    if isinstance(prompt, str):
        return ({"role": "user", "content": prompt},)
    if len(prompt) != 1:
        return refuse_field("prompt", "prompt must be a string or a list of one string")
    return ({"role": "user", "content": prompt[0]},)


def _message_text(content: str | list[PartModel] | None, path: str) -> str | Refused:
    """Return the text of a message, with its parts joined."""
    if content is None or isinstance(content, str):
        return content or ""
    for number, part in enumerate(content):
        if part.type != "text":
            field = f"{path}[{number}].type"
            return refuse_field(field, f"{field} must be 'text'")
    return "".join(part.text for part in content)


def _validation_refusal(text: str) -> Refused:
    match = _VALIDATION_ERROR.match(text)
    if match is None:
        return refuse(Reason.BAD_REQUEST, problem=text)
    path = match["path"]
    return refuse_field(path, f"{path}: {match['problem']}")


def _too_large() -> Refused:
    return refuse(Reason.TOO_LARGE, part="body", limit=MAX_BODY_BYTES, unit="bytes")
