"""The operator port: JSON over HTTP, authenticated by one bearer key per team.

A team has the name of the section that it owns, and may change only that section.
The team ``admin`` may change all sections.  Every team may read everything.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
from gevent import Timeout

from godwitrudder import codec
from godwitrudder.process.console import Console
from godwitrudder.process.publisher import Publisher
from godwitrudder.process.settings import ADMIN_TEAM
from godwitrudder.version import records
from godwitrudder.version.checks import MAX_TOKENS
from godwitrudder.version.config_records import MAX_RECORD_BYTES, Change, Drain, Edit
from godwitrudder.version.document import SECTIONS, DrainKey
from godwitrudder.views import (
    ChangeOutcome,
    DrainBody,
    EditBody,
    EditView,
    ErrorView,
    EventsBody,
    TopUpBody,
    TopUpView,
)

MAX_BODY_BYTES: Final = 2 * MAX_RECORD_BYTES
MAX_OP_CHARACTERS: Final = 64
BODY_TIMEOUT_SECONDS: Final = 10.0
MAX_REASON_CHARACTERS: Final = 500
STATUS_BY_OUTCOME: Final = {
    ChangeOutcome.ACCEPTED: 200,
    ChangeOutcome.REJECTED: 409,
    ChangeOutcome.UNKNOWN: 503,
}

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Error response to a request that was not carried out."""

    status: int
    code: str
    message: str


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One authenticated request with its body."""

    team: str
    method: str
    path_parts: tuple[str, ...]
    body: bytes


class OperatorApplication:
    """The WSGI application of the operator port.

    Parameters
    ----------
    key_hash_by_team : dict
        SHA-256 of each team's key, in hex.
    """

    MAX_CONCURRENT_REQUESTS: Final = 32

    def __init__(
        self, key_hash_by_team: dict[str, str], console: Console, publisher: Publisher
    ) -> None:
        self._key_hash_by_team = key_hash_by_team
        self._console = console
        self._publisher = publisher

    def __call__(
        self, environ: dict[str, Any], start: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request and return the body of its response."""
        request = self._read_request(environ)
        response = (
            request if isinstance(request, ErrorResponse) else self._route(request)
        )
        if isinstance(response, ErrorResponse):
            view = ErrorView(code=response.code, message=response.message)
            return _send(start, response.status, view)
        status = 200
        if isinstance(response, EditView | TopUpView):
            status = STATUS_BY_OUTCOME[response.outcome]
        return _send(start, status, response)

    def _read_request(self, environ: dict[str, Any]) -> OperatorRequest | ErrorResponse:
        """Authenticate a request, then read its body."""
        team = self._team_of_key(environ.get("HTTP_AUTHORIZATION", ""))
        if team is None:
            return ErrorResponse(
                401, "unknown_key", "expected a team's key as bearer token"
            )
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
            message = f"expected a Content-Length from 0 to {MAX_BODY_BYTES} bytes"
            return ErrorResponse(413, "too_large", message)
        body: bytes | None = None
        with Timeout(BODY_TIMEOUT_SECONDS, False):
            body = environ["wsgi.input"].read(int(length))
        if body is None:
            return ErrorResponse(
                408, "timeout", f"expected the body within {BODY_TIMEOUT_SECONDS} s"
            )
        parts = tuple(environ["PATH_INFO"].strip("/").split("/"))
        return OperatorRequest(team, environ["REQUEST_METHOD"], parts, body)

    def _team_of_key(self, authorization: str) -> str | None:
        """Return the team whose key an ``Authorization`` header carries, or None.

        Compares the key with that of every team, in constant time.
        """
        key = authorization.removeprefix("Bearer ").encode("utf-8", "replace")
        key_hash = hashlib.sha256(key).hexdigest()
        found: str | None = None
        for team, known_hash in self._key_hash_by_team.items():
            if hmac.compare_digest(key_hash, known_hash):
                found = team
        return found

    def _route(self, request: OperatorRequest) -> Any:
        match (request.method, *request.path_parts):
            case ("GET", "config"):
                return self._console.config()
            case ("GET", "config", "history"):
                return self._console.history()
            case ("GET", "config" | "fleet", "status"):
                return self._console.status()
            case ("GET", "budgets", name):
                return _or_not_found(self._console.budget(name), "budget", name)
            case ("GET", "workspaces", name):
                return _or_not_found(self._console.workspace(name), "workspace", name)
            case ("GET", "targets"):
                return self._console.targets()
            case ("POST", "timeline"):
                return self._events(request)
            case ("POST", "config", "edits"):
                return self._edit(request)
            case ("POST", "drains"):
                return self._drain(request)
            case ("POST", "budgets", name, "topups"):
                return self._top_up(request, name)
        path = "/".join(request.path_parts)
        return ErrorResponse(
            404, "not_found", f"no resource for {request.method} /{path}"
        )

    def _events(self, request: OperatorRequest) -> Any:
        body = _decode_body(request, EventsBody)
        return body if isinstance(body, ErrorResponse) else self._console.events(body)

    def _edit(self, request: OperatorRequest) -> EditView | ErrorResponse:
        body = _decode_body(request, EditBody)
        if isinstance(body, ErrorResponse):
            return body
        if not body.changes:
            return ErrorResponse(
                422, "invalid", "changes: expected at least one section"
            )
        error = _check_op(body.op) or _check_ownership(request.team, *body.changes)
        if error is not None:
            return error
        changes = tuple(
            Change(section, change.made_on, change.text)
            for section, change in sorted(body.changes.items())
        )
        return self._publisher.edit(Edit(body.op, request.team, changes))

    def _drain(self, request: OperatorRequest) -> EditView | ErrorResponse:
        body = _decode_body(request, DrainBody)
        if isinstance(body, ErrorResponse):
            return body
        error = _check_op(body.op) or _check_ownership(request.team, "targets")
        if error is not None:
            return error
        try:
            key = msgspec.convert([body.kind, body.id], DrainKey)
        except msgspec.ValidationError:
            message = "kind: expected target, runner or failure_domain"
            return ErrorResponse(422, "invalid", message)
        return self._publisher.drain(Drain(body.op, request.team, key, body.draining))

    def _top_up(self, request: OperatorRequest, name: str) -> TopUpView | ErrorResponse:
        body = _decode_body(request, TopUpBody)
        if isinstance(body, ErrorResponse):
            return body
        error = _check_op(body.op) or _check_ownership(request.team, "budgets")
        if error is not None:
            return error
        if not 0 < body.tokens <= MAX_TOKENS:
            message = f"tokens: expected 1 to {MAX_TOKENS}"
            return ErrorResponse(422, "invalid", message)
        if not 0 < len(body.reason) <= MAX_REASON_CHARACTERS:
            message = f"reason: expected 1 to {MAX_REASON_CHARACTERS} characters"
            return ErrorResponse(422, "invalid", message)
        view = _or_not_found(self._console.budget(name), "budget", name)
        if isinstance(view, ErrorResponse):
            return view
        reason = f"{request.team}: {body.reason}"
        entry = records.TopUp(body.op, name, body.tokens, reason)
        return self._publisher.top_up(entry)


def _decode_body(request: OperatorRequest, model: type[T]) -> T | ErrorResponse:
    body: T | codec.Malformed = codec.decode_json(request.body, model)
    if isinstance(body, codec.Malformed):
        return ErrorResponse(422, "invalid", body.reason)
    return body


def _check_op(op: str) -> ErrorResponse | None:
    if 0 < len(op) <= MAX_OP_CHARACTERS:
        return None
    message = f"op: expected 1 to {MAX_OP_CHARACTERS} characters"
    return ErrorResponse(422, "invalid", message)


def _check_ownership(team: str, *sections: str) -> ErrorResponse | None:
    """Return an error for a section that does not exist or that another team owns."""
    for section in sections:
        if section not in SECTIONS:
            message = (
                f"{section}: unknown section; expected one of {', '.join(SECTIONS)}"
            )
            return ErrorResponse(422, "invalid", message)
        if team not in (section, ADMIN_TEAM):
            message = f"section {section} requires the key of team {section} or admin"
            return ErrorResponse(403, "not_owner", message)
    return None


def _or_not_found(view: T | None, kind: str, name: str) -> T | ErrorResponse:
    if view is None:
        return ErrorResponse(404, "not_found", f"no {kind} {name!r}")
    return view


def _send(start: StartResponse, status: int, view: Any) -> list[bytes]:
    data = msgspec.json.encode(view) + b"\n"
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    # WSGI requires a reason phrase; clients read only the status code.
    start(f"{status} .", headers)
    return [data]
