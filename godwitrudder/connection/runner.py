"""One attempt at a runner: a stream of numbered chunks.

Each attempt carries its own id and each chunk its index, so that a late or
foreign chunk is dropped and a broken stream is taken up again where it ended.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from geventhttpclient import HTTPClient

from godwitrudder.sections import Address

CONNECT_SECONDS: Final = 2.0
PROGRESS_SECONDS: Final = 10.0


@dataclass(frozen=True, slots=True)
class Chunk:
    """One token of an answer."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """The engine's own count at the end of an answer, in tokens."""

    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The stream ended early.

    Attributes
    ----------
    sent : bool
        Whether the runner may have taken the request.
    leaving : bool
        The runner says that it takes no new work.
    """

    reason: str
    sent: bool
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Prompt:
    """What an engine needs to answer."""

    messages: tuple[dict[str, str], ...]
    model: str
    max_tokens: int
    priority: float


def stream(
    address: Address, attempt: str, prompt: Prompt, start: int
) -> Iterator[Chunk | Usage | Broken]:
    """Start an attempt and yield what it sends.

    Parameters
    ----------
    address : Address
        Of the runner.
    attempt : str
        Id of the attempt.
    prompt : Prompt
        The question.
    start : int
        Index of the first token wanted.
    """
    body = json.dumps(
        {
            "model": prompt.model,
            "messages": list(prompt.messages),
            "max_tokens": prompt.max_tokens,
            "priority": prompt.priority,
            "stream": True,
            "start_index": start,
        }
    ).encode()
    client = _client(address)
    try:
        headers = {"X-Request-Id": attempt, "Content-Type": "application/json"}
        response = client.request("POST", "/v1/chat/completions", body, headers)
        if response.status_code == 503:
            yield Broken("the runner is leaving", sent=False, leaving=True)
            return
        if response.status_code != 200:
            yield Broken(f"status {response.status_code}", sent=True)
            return
        yield from _events(response)
    except ConnectionRefusedError as error:
        yield Broken(str(error), sent=False)
    except Exception as error:  # the client raises many unrelated types
        yield Broken(f"{type(error).__name__}: {error}", sent=True)
    finally:
        client.close()


def cancel(address: Address, attempt: str) -> Usage | Broken:
    """End an attempt and return the engine's own count."""
    client = _client(address)
    try:
        response = client.request("DELETE", f"/v1/streams/{attempt}")
        data = json.loads(response.read())
        return Usage(data["prompt_tokens"], data["completion_tokens"])
    except Exception as error:  # the client raises many unrelated types
        return Broken(f"{type(error).__name__}: {error}", sent=True)
    finally:
        client.close()


def call(
    address: Address, method: str, path: str, body: bytes, request: str
) -> tuple[int, bytes] | Broken:
    """Call a plain service once."""
    client = _client(address)
    try:
        headers = {"X-Request-Id": request}
        response = client.request(method, path, body=body, headers=headers)
        return response.status_code, bytes(response.read())
    except ConnectionRefusedError as error:
        return Broken(str(error), sent=False)
    except Exception as error:  # the client raises many unrelated types
        return Broken(f"{type(error).__name__}: {error}", sent=True)
    finally:
        client.close()


def _client(address: Address) -> HTTPClient:
    return HTTPClient(
        address.ip,
        address.port,
        connection_timeout=CONNECT_SECONDS,
        network_timeout=PROGRESS_SECONDS,
    )


def _events(response: Any) -> Iterator[Chunk | Usage | Broken]:
    index = -1
    while True:
        line = bytes(response.readline(b"\n"))
        if not line:
            yield Broken("the stream ended early", sent=True)
            return
        if line.startswith(b"id: "):
            index = int(line[4:])
        elif line.startswith(b"data: [DONE]"):
            return
        elif line.startswith(b"data: "):
            yield _event(index, json.loads(line[6:]))


def _event(index: int, data: dict[str, Any]) -> Chunk | Usage:
    if "usage" in data:
        usage = data["usage"]
        return Usage(usage["prompt_tokens"], usage["completion_tokens"])
    return Chunk(index, data["choices"][0]["delta"]["content"])
