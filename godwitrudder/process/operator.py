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

from godwitrudder.process.console import Console
from godwitrudder.process.publisher import Publisher
from godwitrudder.process.settings import ADMIN_TEAM
from godwitrudder.version import records
from godwitrudder.version.checks import MAX_TOKENS
from godwitrudder.version.document import SECTIONS, DrainKey
from godwitrudder.version.edits import MAX_RECORD_BYTES, Change, Drain, Edit
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
class ErrorReply:
    """Error answer to a request that was not carried out."""

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
        """Answer one request."""
        request = self._read_request(environ)
        answer = request if isinstance(request, ErrorReply) else self._route(request)
        if isinstance(answer, ErrorReply):
            view = ErrorView(code=answer.code, message=answer.message)
            return _send(start, answer.status, view)
        status = 200
        if isinstance(answer, EditView | TopUpView):
            status = STATUS_BY_OUTCOME[answer.outcome]
        return _send(start, status, answer)

    def _read_request(self, environ: dict[str, Any]) -> OperatorRequest | ErrorReply:
        """Authenticate a request, then read its body."""
        team = self._team_of_key(environ.get("HTTP_AUTHORIZATION", ""))
        if team is None:
            return ErrorReply(
                401, "unknown_key", "expected a team's key as bearer token"
            )
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
            expected = f"expected a body of at most {MAX_BODY_BYTES} bytes"
            return ErrorReply(413, "too_large", expected)
        body: bytes | None = None
        with Timeout(BODY_TIMEOUT_SECONDS, False):
            body = environ["wsgi.input"].read(int(length))
        if body is None:
            return ErrorReply(
                408, "timeout", f"expected the body within {BODY_TIMEOUT_SECONDS} s"
            )
        parts = tuple(environ["PATH_INFO"].strip("/").split("/"))
        return OperatorRequest(team, environ["REQUEST_METHOD"], parts, body)

    def _team_of_key(self, header: str) -> str | None:
        """Return the team of a key; compares every team's key, in constant time."""
        key = header.removeprefix("Bearer ").encode("utf-8", "replace")
        digest = hashlib.sha256(key).hexdigest()
        found: str | None = None
        for team, known_digest in self._key_hash_by_team.items():
            if hmac.compare_digest(digest, known_digest):
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
        return ErrorReply(404, "not_found", f"no resource for {request.method} /{path}")

    def _events(self, request: OperatorRequest) -> Any:
        body = _decode_body(request, EventsBody)
        return body if isinstance(body, ErrorReply) else self._console.events(body)

    def _edit(self, request: OperatorRequest) -> EditView | ErrorReply:
        body = _decode_body(request, EditBody)
        if isinstance(body, ErrorReply):
            return body
        if not body.changes:
            return ErrorReply(422, "invalid", "changes: expected at least one section")
        error = _check_op(body.op) or _check_ownership(request.team, *body.changes)
        if error is not None:
            return error
        changes = tuple(
            Change(section, change.made_on, change.text)
            for section, change in sorted(body.changes.items())
        )
        return self._publisher.edit(Edit(body.op, request.team, changes))

    def _drain(self, request: OperatorRequest) -> EditView | ErrorReply:
        body = _decode_body(request, DrainBody)
        if isinstance(body, ErrorReply):
            return body
        error = _check_op(body.op) or _check_ownership(request.team, "targets")
        if error is not None:
            return error
        try:
            key = msgspec.convert([body.kind, body.id], DrainKey)
        except msgspec.ValidationError:
            expected = "kind: expected target, runner or failure_domain"
            return ErrorReply(422, "invalid", expected)
        return self._publisher.drain(Drain(body.op, request.team, key, body.draining))

    def _top_up(self, request: OperatorRequest, name: str) -> TopUpView | ErrorReply:
        body = _decode_body(request, TopUpBody)
        if isinstance(body, ErrorReply):
            return body
        error = _check_op(body.op) or _check_ownership(request.team, "budgets")
        if error is not None:
            return error
        if not 0 < body.tokens <= MAX_TOKENS:
            expected = f"tokens: expected 1 to {MAX_TOKENS}"
            return ErrorReply(422, "invalid", expected)
        if not 0 < len(body.reason) <= MAX_REASON_CHARACTERS:
            expected = f"reason: expected 1 to {MAX_REASON_CHARACTERS} characters"
            return ErrorReply(422, "invalid", expected)
        view = _or_not_found(self._console.budget(name), "budget", name)
        if isinstance(view, ErrorReply):
            return view
        reason = f"{request.team}: {body.reason}"
        entry = records.TopUp(body.op, name, body.tokens, reason)
        return self._publisher.top_up(entry)


def _decode_body(request: OperatorRequest, model: type[T]) -> T | ErrorReply:
    try:
        return msgspec.json.decode(request.body, type=model)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return ErrorReply(422, "invalid", str(error))


def _check_op(op: str) -> ErrorReply | None:
    if 0 < len(op) <= MAX_OP_CHARACTERS:
        return None
    expected = f"op: expected 1 to {MAX_OP_CHARACTERS} characters"
    return ErrorReply(422, "invalid", expected)


def _check_ownership(team: str, *sections: str) -> ErrorReply | None:
    """Return an error for a section that does not exist or that another team owns."""
    for section in sections:
        if section not in SECTIONS:
            expected = f"{section}: expected a section of {', '.join(SECTIONS)}"
            return ErrorReply(422, "invalid", expected)
        if team not in (section, ADMIN_TEAM):
            expected = f"section {section} requires the key of team {section} or admin"
            return ErrorReply(403, "not_owner", expected)
    return None


def _or_not_found(view: T | None, kind: str, name: str) -> T | ErrorReply:
    if view is None:
        return ErrorReply(404, "not_found", f"no {kind} {name!r}")
    return view


def _send(start: StartResponse, status: int, view: Any) -> list[bytes]:
    data = msgspec.json.encode(view) + b"\n"
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    start(f"{status} .", headers)
    return [data]
