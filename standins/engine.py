"""A model engine that streams, resumes and cancels answers and takes orders.

The text of an answer is a function of the prompt, so a caller can check that an
answer belongs to its prompt and is complete.
"""

from __future__ import annotations

import json
import time
from collections import deque
from collections.abc import Iterator
from typing import Any, Final, Self

import gevent
from gevent import Greenlet

from godwitrudder.validation import Address
from standins.batch import (
    PREFILL_STEPS_PER_TOKEN,
    Batch,
    Stream,
    answer_length,
    count_tokens,
    token_text,
)
from standins.cache import PrefixCache
from standins.http import Request, Response, StandIn, json_response

# Number of streams kept for a resumption; the oldest one is dropped first.
MAX_STREAMS: Final = 20_000
# Number of load samples kept, from which the injected lag selects one.
MAX_LOAD_SAMPLES: Final = 200
# Longest wait for a token before the stream checks again for faults and for its end.
PROGRESS_WAIT_SECONDS: Final = 0.5


class Engine(StandIn):
    """One runner of a model.

    Parameters
    ----------
    token_seconds : float
        Base duration of a token of one stream; the load lengthens it.
    slots : int
        Maximum number of streams in the batch.
    cache_blocks : int
        Maximum number of prompt prefixes in the cache.
    checks_fence : bool
        Whether the engine refuses an order with an old fencing token.
    seed : int
        Seed of the fault draws.
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
        self._load_samples: deque[tuple[float, dict[str, int]]] = deque(
            maxlen=MAX_LOAD_SAMPLES
        )
        self._batch_task: Greenlet | None = None

    def __enter__(self) -> Self:
        """Start listening and running batch steps."""
        super().__enter__()
        self._batch_task = gevent.spawn(self.batch.run)
        return self

    def crash(self) -> None:
        """Drop every stream and every connection."""
        super().crash()
        if self._batch_task is not None:
            self._batch_task.kill()
        self.streams_by_attempt.clear()

    def restart(self) -> None:
        """Listen again, without the former streams."""
        super().restart()
        self._batch_task = gevent.spawn(self.batch.run)

    def answer(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/v1/chat/completions":
            return self._start_stream(request)
        if request.path.startswith("/v1/streams/"):
            return self._resume_or_cancel(request)
        if request.path == "/load":
            return json_response(self._reported_load())
        if request.path == "/cache-events":
            return json_response(self.cache.events(int(request.query.get("from", "0"))))
        if request.path == "/orders":
            return self._apply_order(json.loads(request.body))
        return json_response({"error": f"nothing at {request.path}"}, 404)

    def _start_stream(self, request: Request) -> Response:
        attempt = request.headers.get("x-request-id", "")
        stream = self.streams_by_attempt.get(attempt)
        if stream is None:
            if self.leaving:
                return json_response({"error": "leaving"}, 503)
            stream = self._new_stream(json.loads(request.body))
            self._store_stream(attempt, stream)
            self.batch.add(stream)
        return self._event_response(stream, stream.start)

    def _new_stream(self, body: dict[str, Any]) -> Stream:
        prompt = "\n".join(message["content"] for message in body["messages"])
        cached = self.cache.lookup_and_store(prompt)
        length = answer_length(prompt, int(body["max_tokens"]))
        prefill = int(count_tokens(prompt) * PREFILL_STEPS_PER_TOKEN * (1.0 - cached))
        start = int(body.get("start_index", 0))
        return Stream(prompt, start, length, float(body.get("priority", 0)), prefill)

    def _store_stream(self, attempt: str, stream: Stream) -> None:
        self.streams_by_attempt[attempt] = stream
        if len(self.streams_by_attempt) > MAX_STREAMS:
            del self.streams_by_attempt[next(iter(self.streams_by_attempt))]

    def _resume_or_cancel(self, request: Request) -> Response:
        stream = self.streams_by_attempt.get(request.path.rpartition("/")[2])
        if stream is None:
            return json_response({"error": "no such stream"}, 404)
        if request.method == "DELETE":
            stream.cancel()
            return json_response(usage(stream))
        index = int(request.headers.get("last-event-id", "-1")) + 1
        return self._event_response(stream, index)

    def _event_response(self, stream: Stream, index: int) -> Response:
        return Response(200, self._iter_events(stream, index), "text/event-stream")

    def _iter_events(self, stream: Stream, index: int) -> Iterator[bytes]:
        """Yield server-sent events from token ``index`` on, then the usage."""
        opened = time.monotonic()
        while True:
            self.faults.wait_while_silent(opened)
            while index < stream.start + stream.generated_tokens:
                yield format_token_event(stream, index)
                index += 1
            if stream.ended:
                break
            stream.progressed.wait(PROGRESS_WAIT_SECONDS)
        final_chunk = {"choices": [], "usage": usage(stream)}
        yield f"data: {json.dumps(final_chunk)}\n\n".encode()
        yield b"data: [DONE]\n\n"

    def _reported_load(self) -> dict[str, int]:
        """Return the newest load sample that is at least ``lag_seconds`` old.

        Each call takes a sample.  If all samples are younger, the oldest is returned.
        """
        now = time.monotonic()
        load = {"running": self.batch.running, "waiting": self.batch.waiting}
        self._load_samples.append((now, load))
        visible_until = now - self.faults.switches.lag_seconds
        visible = [sample for at, sample in self._load_samples if at <= visible_until]
        return visible[-1] if visible else self._load_samples[0][1]

    def _apply_order(self, order: dict[str, Any]) -> Response:
        """Load or drop a model; a repeated order has no further effect.

        Other orders, such as a change of role, are only recorded.
        """
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


def format_token_event(stream: Stream, index: int) -> bytes:
    """Return one token as a server-sent event."""
    delta = {"choices": [{"delta": {"content": token_text(stream.prompt, index)}}]}
    return f"id: {index}\ndata: {json.dumps(delta)}\n\n".encode()


def usage(stream: Stream) -> dict[str, int]:
    """Return the token counts of a stream as the engine reports them."""
    return {
        "prompt_tokens": count_tokens(stream.prompt),
        "completion_tokens": stream.start + stream.generated_tokens,
    }
