"""A model engine: streams tokens, resumes and cancels streams.

The text is a function of the prompt, so that a caller can tell whether an answer
is its own, and whole.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import gevent
import xxhash
from gevent.event import Event

from godwitrudder.sections import Address
from standins.http import Request, Response, StandIn

WORDS = ("net", "pot", "buoy", "line", "float", "tag", "hull", "tide", "reef", "crab")


def word(prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``."""
    return (
        WORDS[xxhash.xxh64_intdigest(f"{index}:{prompt}".encode()) % len(WORDS)] + " "
    )


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the whole answer has."""
    wanted = 8 + xxhash.xxh64_intdigest(prompt.encode()) % 24
    return min(wanted, max_tokens)


def count_tokens(text: str) -> int:
    """Return the tokens of a text: its words."""
    return len(text.split())


@dataclass(slots=True)
class Stream:
    """One running or finished answer."""

    prompt: str
    start: int
    length: int
    made: int = 0
    cancelled: bool = False
    grown: Event = field(default_factory=Event)

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.cancelled or self.start + self.made >= self.length


class Engine(StandIn):
    """One runner of a model.

    Parameters
    ----------
    address : Address
        Where it listens.
    token_seconds : float
        Seconds per token of one stream when nothing else runs.
    """

    def __init__(self, address: Address, token_seconds: float = 0.004) -> None:
        super().__init__(address)
        self.token_seconds = token_seconds
        self.streams_by_attempt: dict[str, Stream] = {}
        self.running = 0

    def answer(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/v1/chat/completions":
            return self._start(request)
        if request.path.startswith("/v1/streams/"):
            return self._existing(request)
        if request.path == "/load":
            body = json.dumps({"running": self.running, "waiting": 0}).encode()
            return Response(200, [body], "application/json")
        return Response(404, [b""])

    def _start(self, request: Request) -> Response:
        attempt = request.headers["x-request-id"]
        if attempt not in self.streams_by_attempt:
            body = json.loads(request.body)
            stream = new_stream(body)
            self.streams_by_attempt[attempt] = stream
            gevent.spawn(self._run, stream)
        stream = self.streams_by_attempt[attempt]
        return Response(200, events(stream, stream.start), "text/event-stream")

    def _existing(self, request: Request) -> Response:
        stream = self.streams_by_attempt.get(request.path.rpartition("/")[2])
        if stream is None:
            return Response(404, [b""])
        if request.method == "DELETE":
            stream.cancelled = True
            stream.grown.set()
            body = json.dumps(usage(stream)).encode()
            return Response(200, [body], "application/json")
        index = int(request.headers.get("last-event-id", "-1")) + 1
        return Response(200, events(stream, index), "text/event-stream")

    def _run(self, stream: Stream) -> None:
        self.running += 1
        while not stream.ended:
            gevent.sleep(self.token_seconds * (1 + self.running / 16))
            if not stream.cancelled:
                stream.made += 1
            stream.grown.set()
            stream.grown.clear()
        self.running -= 1


def new_stream(body: dict[str, Any]) -> Stream:
    """Build a stream from the body of a request."""
    prompt = "\n".join(message["content"] for message in body["messages"])
    length = answer_length(prompt, int(body["max_tokens"]))
    return Stream(prompt, int(body.get("start_index", 0)), length)


def events(stream: Stream, index: int) -> Iterator[bytes]:
    """Yield server-sent events from token ``index`` to the end."""
    while True:
        while index < stream.start + stream.made:
            delta = {"choices": [{"delta": {"content": word(stream.prompt, index)}}]}
            yield f"id: {index}\ndata: {json.dumps(delta)}\n\n".encode()
            index += 1
        if stream.ended:
            break
        stream.grown.wait(1.0)
    last = {"choices": [], "usage": usage(stream)}
    yield f"data: {json.dumps(last)}\n\n".encode()
    yield b"data: [DONE]\n\n"


def usage(stream: Stream) -> dict[str, int]:
    """Return the engine's count of a stream, in tokens."""
    return {
        "prompt_tokens": count_tokens(stream.prompt),
        "completion_tokens": stream.start + stream.made,
    }
