"""``timeline`` and ``request trace``: what all processes did, causes first."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any, ClassVar, Final

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from godwitrudder.ctl.client import Failure, OperatorClient
from godwitrudder.ctl.command import Exit, FleetCommand
from godwitrudder.ctl.page import clock_time, render
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.process.timeline import TimelineEvent, merge
from godwitrudder.views import EventsBody, EventsView

FOLLOW_SECONDS: Final = 1.0
ROUNDS_MOST: Final = 100


class Collector:
    """Collects the rings of all processes, page by page.

    Attributes
    ----------
    missing : set of str
        Processes that did not answer.
    lost_by_process : dict
        Events that a ring had dropped before they were read.
    """

    def __init__(self, client: OperatorClient, request: str, workspace: str) -> None:
        self._client = client
        self._request = request
        self._workspace = workspace
        self._after_by_process: dict[str, int] = {}
        self._incarnation_by_process: dict[str, str] = {}
        self.missing: set[str] = set()
        self.lost_by_process: dict[str, int] = {}

    def collect(self) -> list[TimelineEvent] | Failure:
        """Return what is new in all rings, causes before effects."""
        events_by_process: dict[str, list[TimelineEvent]] = {}
        for _ in range(ROUNDS_MOST):
            body = EventsBody(
                request=self._request,
                workspace=self._workspace,
                after_by_process=self._after_by_process,
            )
            view = self._client.post("/timeline", body, EventsView)
            if isinstance(view, Failure):
                return view
            if not self._take(view, events_by_process):
                break
        return list(merge(events_by_process.values()))

    def notes(self) -> list[str]:
        """Return what is missing from the time line."""
        notes = [f"{name} did not answer" for name in sorted(self.missing)]
        notes += [
            f"{name}: the ring has lost {count} older events"
            for name, count in sorted(self.lost_by_process.items())
        ]
        return notes

    def _take(
        self, view: EventsView, events_by_process: dict[str, list[TimelineEvent]]
    ) -> bool:
        """Keep one page of each process; whether any has more."""
        self.missing = set(view.missing)
        for page in view.pages:
            name = page.process
            known = self._incarnation_by_process.setdefault(name, page.incarnation)
            if known != page.incarnation:
                # Restarted: its numbers begin anew.
                self._incarnation_by_process[name] = page.incarnation
                self._after_by_process.pop(name, None)
                continue
            self._after_by_process[name] = page.last
            events_by_process.setdefault(name, []).extend(page.events)
            if page.lost:
                lost = self.lost_by_process.get(name, 0) + page.lost
                self.lost_by_process[name] = lost
        return any(page.more for page in view.pages)


class ShowTimeline(FleetCommand):
    """Print the time line of all processes, or write it as a page."""

    name = "timeline"
    description = "Print what all processes did, causes before effects."
    own_options: ClassVar[list[Option]] = [
        option("request", None, "Only events of this request.", flag=False),
        option("workspace", None, "Only events of this workspace.", flag=False),
        option("follow", "f", "Go on printing what is new."),
        option("seconds", None, "End --follow after so many seconds.", flag=False),
        option("html", None, "Write a page to this file.", flag=False),
    ]

    def wanted(self) -> tuple[str, str]:
        """Return the request and the workspace to show; empty for all."""
        return self.option("request") or "", self.option("workspace") or ""

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it; rejected if a process did not answer."""
        collector = Collector(client, *self.wanted())
        events = collector.collect()
        if isinstance(events, Failure):
            return self.failed(events)
        if self.option("html"):
            return self._write(self.option("html"), events, collector)
        self._print(events)
        if self.option("follow"):
            return self._follow(collector)
        return self._close(collector)

    def _write(
        self, path: str, events: list[TimelineEvent], collector: Collector
    ) -> Exit:
        try:
            Path(path).write_text(render(events, collector.notes()), encoding="utf-8")
        except OSError as error:
            self.fail(str(error))
            return Exit.USAGE
        self.line(f"{len(events)} events written to {path}")
        return self._close(collector)

    def _follow(self, collector: Collector) -> Exit:
        end = time.monotonic() + float(self.option("seconds") or "inf")
        while time.monotonic() < end:
            time.sleep(FOLLOW_SECONDS)
            events = collector.collect()
            if isinstance(events, Failure):
                return self.failed(events)
            self._print(events)
        return self._close(collector)

    def _close(self, collector: Collector) -> Exit:
        for note in collector.notes():
            self.fail(note)
        return Exit.REJECTED if collector.missing else Exit.DONE

    def _print(self, events: list[TimelineEvent]) -> None:
        for event in events:
            if self.for_scripts:
                plain: dict[str, Any] = msgspec.structs.asdict(event)
                self.print_text(msgspec.json.encode(plain).decode())
            else:
                words = [event.kind, event.request, event.workspace, event.detail]
                text = " ".join(word for word in words if word)
                self.print_text(f"{clock_time(event)} {event.process:12} {text}")


class RequestTrace(ShowTimeline):
    """Print everything that all processes did for one request."""

    name = "request trace"
    description = "Print what all processes did for one request."
    arguments: ClassVar[list[Argument]] = [argument("request", "Id of the request.")]
    own_options: ClassVar[list[Option]] = [
        option("follow", "f", "Go on printing what is new."),
        option("seconds", None, "End --follow after so many seconds.", flag=False),
        option("html", None, "Write a page to this file.", flag=False),
    ]

    def wanted(self) -> tuple[str, str]:
        """Return the request to show."""
        return self.argument("request"), ""


COMMANDS: Final = (ShowTimeline, RequestTrace)
