"""A model engine: streams answers, resumes and cancels them, takes orders.

The text is a function of the prompt, so that a caller can tell whether an answer
is its own, and whole.
"""

from __future__ import annotations

import json
import time
from collections import deque
from collections.abc import Iterator
from typing import Any, Final, Self

import gevent
from gevent import Greenlet

from godwitrudder.sections import Address
from standins.batch import (
    PREFILL_SHARE,
    Batch,
    Stream,
    answer_length,
    count_tokens,
    word,
)
from standins.cache import PrefixCache
from standins.http import Request, Response, StandIn, json_response

STREAMS_KEPT: Final = 20_000
LOAD_SAMPLES: Final = 200
WAIT_SECONDS: Final = 0.5


class Engine(StandIn):
    """One runner of a model.

    Parameters
    ----------
    token_seconds : float
        Seconds per token of one stream when nothing else runs.
    slots : int
        Most streams in the batch.
    cache_blocks : int
        Most prompt prefixes kept.
    checks_fence : bool
        Whether an order with an old fencing number is refused.
    """

    def __init__(
        self,
        address: Address,
        token_seconds: float = 0.004,
        slots: int = 8,
        cache_blocks: int = 1024,
        checks_fence: bool = True,
        seed: int = 0,
    ) -> None:
        super().__init__(address, seed)
        self.streams_by_attempt: dict[str, Stream] = {}
        self.batch = Batch(slots, token_seconds, self.faults)
        self.cache = PrefixCache(cache_blocks, self.faults)
        self.leaving = False
        self.checks_fence = checks_fence
        self.fence = -1
        self.models: set[str] = set()
        self.orders: list[dict[str, Any]] = []
        self._loads: deque[tuple[float, dict[str, int]]] = deque(maxlen=LOAD_SAMPLES)
        self._task: Greenlet | None = None

    def __enter__(self) -> Self:
        """Start to listen and to make tokens."""
        super().__enter__()
        self._task = gevent.spawn(self.batch.run)
        return self

    def die(self) -> None:
        """Lose every stream and every connection."""
        super().die()
        if self._task is not None:
            self._task.kill()
        self.streams_by_attempt.clear()

    def revive(self) -> None:
        """Come back empty."""
        super().revive()
        self._task = gevent.spawn(self.batch.run)

    def answer(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/v1/chat/completions":
            return self._start(request)
        if request.path.startswith("/v1/streams/"):
            return self._existing(request)
        if request.path == "/load":
            return json_response(self._load())
        if request.path == "/cache-events":
            return json_response(self.cache.events(int(request.query.get("from", "0"))))
        if request.path == "/orders":
            return self._order(json.loads(request.body))
        return json_response({"error": f"nothing at {request.path}"}, 404)

    def _start(self, request: Request) -> Response:
        attempt = request.headers.get("x-request-id", "")
        stream = self.streams_by_attempt.get(attempt)
        if stream is None:
            if self.leaving:
                return json_response({"error": "leaving"}, 503)
            stream = self._new_stream(json.loads(request.body))
            self._keep(attempt, stream)
            self.batch.add(stream)
        return self._events(stream, stream.start)

    def _new_stream(self, body: dict[str, Any]) -> Stream:
        prompt = "\n".join(message["content"] for message in body["messages"])
        cached = self.cache.take(prompt)
        length = answer_length(prompt, int(body["max_tokens"]))
        prefill = int(count_tokens(prompt) * PREFILL_SHARE * (1.0 - cached))
        start = int(body.get("start_index", 0))
        return Stream(prompt, start, length, float(body.get("priority", 0)), prefill)

    def _keep(self, attempt: str, stream: Stream) -> None:
        self.streams_by_attempt[attempt] = stream
        if len(self.streams_by_attempt) > STREAMS_KEPT:
            del self.streams_by_attempt[next(iter(self.streams_by_attempt))]

    def _existing(self, request: Request) -> Response:
        stream = self.streams_by_attempt.get(request.path.rpartition("/")[2])
        if stream is None:
            return json_response({"error": "no such stream"}, 404)
        if request.method == "DELETE":
            stream.cancel()
            return json_response(usage(stream))
        index = int(request.headers.get("last-event-id", "-1")) + 1
        return self._events(stream, index)

    def _events(self, stream: Stream, index: int) -> Response:
        return Response(200, self._stream(stream, index), "text/event-stream")

    def _stream(self, stream: Stream, index: int) -> Iterator[bytes]:
        """Yield server-sent events from token ``index`` to the end."""
        opened = time.monotonic()
        while True:
            self.faults.hold(opened)
            while index < stream.start + stream.made:
                yield event(stream, index)
                index += 1
            if stream.ended:
                break
            stream.grown.wait(WAIT_SECONDS)
        last = {"choices": [], "usage": usage(stream)}
        yield f"data: {json.dumps(last)}\n\n".encode()
        yield b"data: [DONE]\n\n"

    def _load(self) -> dict[str, int]:
        """Return the load as it was some seconds ago."""
        now = time.monotonic()
        load = {"running": self.batch.running, "waiting": self.batch.waiting}
        self._loads.append((now, load))
        shown = now - self.faults.switches.lag_seconds
        older = [sample for at, sample in self._loads if at <= shown]
        return older[-1] if older else self._loads[0][1]

    def _order(self, order: dict[str, Any]) -> Response:
        """Load or drop a model, or change role; repeated orders do nothing."""
        fence = int(order["fence"])
        if self.checks_fence and fence < self.fence:
            return json_response({"error": "old fence", "fence": self.fence}, 409)
        self.fence = max(self.fence, fence)
        self.orders.append(order)
        if order["action"] == "load":
            self.models.add(order["model"])
        elif order["action"] == "drop":
            self.models.discard(order["model"])
        return json_response({"models": sorted(self.models)})


def event(stream: Stream, index: int) -> bytes:
    """Return one token as a server-sent event."""
    delta = {"choices": [{"delta": {"content": word(stream.prompt, index)}}]}
    return f"id: {index}\ndata: {json.dumps(delta)}\n\n".encode()


def usage(stream: Stream) -> dict[str, int]:
    """Return the engine's count of a stream, in tokens."""
    return {
        "prompt_tokens": count_tokens(stream.prompt),
        "completion_tokens": stream.start + stream.made,
    }
