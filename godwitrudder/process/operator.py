"""The operators' port: JSON over HTTP, one bearer key per team.

A team is named like the section that it owns and may change nothing else;
``admin`` may change all.  Everybody with a key may read.
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
from godwitrudder.process.settings import ADMIN
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
BODY_SECONDS: Final = 10.0
MAX_REASON_CHARACTERS: Final = 500
STATUS_BY_OUTCOME: Final = {
    ChangeOutcome.ACCEPTED: 200,
    ChangeOutcome.REJECTED: 409,
    ChangeOutcome.UNKNOWN: 503,
}

Start = Callable[[str, list[tuple[str, str]]], Any]
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Denied:
    """The request was not carried out."""

    status: int
    code: str
    message: str


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One authenticated request, its body read."""

    team: str
    method: str
    parts: tuple[str, ...]
    body: bytes


class OperatorApplication:
    """The WSGI application of the operators' port.

    Parameters
    ----------
    key_hash_by_team : dict
        SHA-256 of each team's key, in hex.
    """

    AT_ONCE: Final = 32

    def __init__(
        self, key_hash_by_team: dict[str, str], console: Console, publisher: Publisher
    ) -> None:
        self._key_hash_by_team = key_hash_by_team
        self._console = console
        self._publisher = publisher

    def __call__(self, environ: dict[str, Any], start: Start) -> Iterable[bytes]:
        """Answer one request."""
        request = self._read(environ)
        answer = request if isinstance(request, Denied) else self._route(request)
        if isinstance(answer, Denied):
            view = ErrorView(code=answer.code, message=answer.message)
            return _send(start, answer.status, view)
        status = 200
        if isinstance(answer, EditView | TopUpView):
            status = STATUS_BY_OUTCOME[answer.outcome]
        return _send(start, status, answer)

    def _read(self, environ: dict[str, Any]) -> OperatorRequest | Denied:
        """Authenticate before the body is read."""
        team = self._team(environ.get("HTTP_AUTHORIZATION", ""))
        if team is None:
            return Denied(401, "unknown_key", "expected a team's key as bearer token")
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
            expected = f"expected a body of at most {MAX_BODY_BYTES} bytes"
            return Denied(413, "too_large", expected)
        body: bytes | None = None
        with Timeout(BODY_SECONDS, False):
            body = environ["wsgi.input"].read(int(length))
        if body is None:
            return Denied(408, "timeout", f"expected the body within {BODY_SECONDS} s")
        parts = tuple(environ["PATH_INFO"].strip("/").split("/"))
        return OperatorRequest(team, environ["REQUEST_METHOD"], parts, body)

    def _team(self, header: str) -> str | None:
        """Return whose key it is; every team's is compared, in constant time."""
        key = header.removeprefix("Bearer ").encode("utf-8", "replace")
        shown = hashlib.sha256(key).hexdigest()
        found: str | None = None
        for team, known in self._key_hash_by_team.items():
            if hmac.compare_digest(shown, known):
                found = team
        return found

    def _route(self, request: OperatorRequest) -> Any:
        match (request.method, *request.parts):
            case ("GET", "config"):
                return self._console.config()
            case ("GET", "config", "history"):
                return self._console.history()
            case ("GET", "config" | "fleet", "status"):
                return self._console.status()
            case ("GET", "budgets", name):
                return _found(self._console.budget(name), "budget", name)
            case ("GET", "workspaces", name):
                return _found(self._console.workspace(name), "workspace", name)
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
        path = "/".join(request.parts)
        return Denied(404, "not_found", f"nothing answers {request.method} /{path}")

    def _events(self, request: OperatorRequest) -> Any:
        body = _body(request, EventsBody)
        return body if isinstance(body, Denied) else self._console.events(body)

    def _edit(self, request: OperatorRequest) -> EditView | Denied:
        body = _body(request, EditBody)
        if isinstance(body, Denied):
            return body
        if not body.changes:
            return Denied(422, "invalid", "changes: expected at least one section")
        denied = _op(body.op) or _owned(request.team, *body.changes)
        if denied is not None:
            return denied
        changes = tuple(
            Change(section, change.made_on, change.text)
            for section, change in sorted(body.changes.items())
        )
        return self._publisher.edit(Edit(body.op, request.team, changes))

    def _drain(self, request: OperatorRequest) -> EditView | Denied:
        body = _body(request, DrainBody)
        if isinstance(body, Denied):
            return body
        denied = _op(body.op) or _owned(request.team, "targets")
        if denied is not None:
            return denied
        try:
            key = msgspec.convert([body.kind, body.id], DrainKey)
        except msgspec.ValidationError:
            expected = "kind: expected target, runner or failure_domain"
            return Denied(422, "invalid", expected)
        return self._publisher.drain(Drain(body.op, request.team, key, body.draining))

    def _top_up(self, request: OperatorRequest, name: str) -> TopUpView | Denied:
        body = _body(request, TopUpBody)
        if isinstance(body, Denied):
            return body
        denied = _op(body.op) or _owned(request.team, "budgets")
        if denied is not None:
            return denied
        if not 0 < body.tokens <= MAX_TOKENS:
            expected = f"tokens: expected 1 to {MAX_TOKENS}"
            return Denied(422, "invalid", expected)
        if not 0 < len(body.reason) <= MAX_REASON_CHARACTERS:
            expected = f"reason: expected 1 to {MAX_REASON_CHARACTERS} characters"
            return Denied(422, "invalid", expected)
        known = _found(self._console.budget(name), "budget", name)
        if isinstance(known, Denied):
            return known
        reason = f"{request.team}: {body.reason}"
        entry = records.TopUp(body.op, name, body.tokens, reason)
        return self._publisher.top_up(entry)


def _body(request: OperatorRequest, wanted: type[T]) -> T | Denied:
    try:
        return msgspec.json.decode(request.body, type=wanted)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Denied(422, "invalid", str(error))


def _op(op: str) -> Denied | None:
    if 0 < len(op) <= MAX_OP_CHARACTERS:
        return None
    expected = f"op: expected 1 to {MAX_OP_CHARACTERS} characters"
    return Denied(422, "invalid", expected)


def _owned(team: str, *sections: str) -> Denied | None:
    """Deny sections that do not exist or that another team owns."""
    for section in sections:
        if section not in SECTIONS:
            expected = f"{section}: expected a section of {', '.join(SECTIONS)}"
            return Denied(422, "invalid", expected)
        if team not in (section, ADMIN):
            expected = f"section {section} is changed by the key of {section} or admin"
            return Denied(403, "not_owner", expected)
    return None


def _found(view: T | None, kind: str, name: str) -> T | Denied:
    if view is None:
        return Denied(404, "not_found", f"no {kind} {name!r}")
    return view


def _send(start: Start, status: int, view: Any) -> list[bytes]:
    data = msgspec.json.encode(view) + b"\n"
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    start(f"{status} .", headers)
    return [data]
