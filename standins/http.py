"""A WSGI server with fault injection, the base class of all stand-ins."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from types import TracebackType
from typing import Any, Self
from urllib.parse import parse_qs

import gevent
from gevent.pywsgi import WSGIServer

from godwitrudder.validation import Address
from standins.faults import FaultInjector


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """One HTTP response; each of the ``chunks`` is sent when it is produced."""

    status: int
    chunks: Iterable[bytes]
    content_type: str = "application/cbor"
    headers: tuple[tuple[str, str], ...] = ()


def json_response(body: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, [json.dumps(body).encode()], "application/json")


class StandIn(ABC):
    """A server on one address; a context manager that starts and stops it.

    Parameters
    ----------
    address : Address
        Address to listen on.
    seed : int
        Seed of the fault draws.
    """

    def __init__(self, address: Address, seed: int = 0) -> None:
        self.address = address
        self.faults = FaultInjector(Random(seed))
        self._server = self._new_server()

    def __enter__(self) -> Self:
        """Start listening."""
        self._server.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop without waiting for open requests."""
        self.crash()

    def crash(self) -> None:
        """Stop listening and reset every open connection."""
        self._server.stop(timeout=0)

    def restart(self) -> None:
        """Listen again after ``crash``."""
        self._server = self._new_server()
        self._server.start()

    @abstractmethod
    def answer(self, request: Request) -> Response:
        """Answer one request."""

    def _new_server(self) -> WSGIServer:
        listener = (self.address.ip, self.address.port)
        return WSGIServer(listener, self._application, log=None, error_log=None)

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        response = self._answer_with_faults(read_request(environ))
        headers = [("Content-Type", response.content_type), *response.headers]
        start_response(f"{response.status} {response.status}", headers)
        return response.chunks

    def _answer_with_faults(self, request: Request) -> Response:
        """Answer one request and apply the faults that are switched on."""
        if request.path == "/faults":
            return self._set_faults(request)
        self.faults.wait_if_lost()
        self.faults.wait_while_silent()
        gevent.sleep(self.faults.switches.delay_seconds)
        if self.faults.switches.down:
            return json_response({"error": "down"}, 503)
        response = self.answer(request)
        self.faults.wait_if_lost()
        return response

    def _set_faults(self, request: Request) -> Response:
        try:
            changes = json.loads(request.body)
        except ValueError as error:
            return json_response({"error": f"expected JSON: {error}"}, 400)
        problem = self.faults.set(changes)
        if problem:
            return json_response({"error": problem}, 400)
        return json_response({})


def read_request(environ: dict[str, Any]) -> Request:
    """Build a request from its WSGI environment."""
    query = {
        key: values[-1] for key, values in parse_qs(environ["QUERY_STRING"]).items()
    }
    headers = {
        key[5:].lower().replace("_", "-"): str(value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        query,
        headers,
        environ["wsgi.input"].read(),
    )
