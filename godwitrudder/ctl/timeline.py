"""``timeline`` and ``request trace``: events of all processes in causal order."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any, ClassVar, Final

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from godwitrudder.ctl.client import Failure, OperatorClient
from godwitrudder.ctl.command import BaseCommand, ExitCode
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.ctl.timeline_page import clock_time, render
from godwitrudder.process.timeline import TimelineEvent, merge
from godwitrudder.views import EventsBody, EventsView

FOLLOW_INTERVAL_SECONDS: Final = 1.0
# Queries per collection; later events come with the next collection.
MAX_PAGES: Final = 100


class TimelineCollector:
    """Collects the events in the rings of all processes, page by page.

    Parameters
    ----------
    request, workspace : str
        Filters; empty for all events.

    Attributes
    ----------
    missing : set of str
        Hosts whose daemon did not answer the last query.
    lost_by_process : dict
        Number of events that each process's ring dropped before they were read.
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
        """Return the new events of all rings, causes before effects."""
        events_by_process: dict[str, list[TimelineEvent]] = {}
        for _ in range(MAX_PAGES):
            body = EventsBody(
                request=self._request,
                workspace=self._workspace,
                after_by_process=self._after_by_process,
            )
            view = self._client.post("/timeline", body, EventsView)
            if isinstance(view, Failure):
                return view
            if not self._add_pages(view, events_by_process):
                break
        return list(merge(events_by_process.values()))

    def notes(self) -> list[str]:
        """Return one line per host or process whose events are missing."""
        notes = [f"{name} did not answer" for name in sorted(self.missing)]
        notes += [
            f"{name}: the ring has lost {count} older events"
            for name, count in sorted(self.lost_by_process.items())
        ]
        return notes

    def _add_pages(
        self, view: EventsView, events_by_process: dict[str, list[TimelineEvent]]
    ) -> bool:
        """Add one page of each process; return whether any has more."""
        self.missing = set(view.missing)
        for page in view.pages:
            name = page.process
            known = self._incarnation_by_process.setdefault(name, page.incarnation)
            if known != page.incarnation:
                # The process restarted, so its event numbers start at 0 again.
                self._incarnation_by_process[name] = page.incarnation
                self._after_by_process.pop(name, None)
                continue
            self._after_by_process[name] = page.last
            events_by_process.setdefault(name, []).extend(page.events)
            if page.lost:
                lost = self.lost_by_process.get(name, 0) + page.lost
                self.lost_by_process[name] = lost
        return any(page.more for page in view.pages)


class ShowTimeline(BaseCommand):
    """Print the timeline of all processes, or write it as an HTML page."""

    name = "timeline"
    description = "Print the events of all processes, causes before effects."
    own_options: ClassVar[list[Option]] = [
        option("request", None, "Only events of this request.", flag=False),
        option("workspace", None, "Only events of this workspace.", flag=False),
        option("follow", "f", "Keep printing new events."),
        option("seconds", None, "Stop --follow after this many seconds.", flag=False),
        option("html", None, "Write a page to this file.", flag=False),
    ]

    def filters(self) -> tuple[str, str]:
        """Return the request and the workspace to filter by; empty for all."""
        return self.option("request") or "", self.option("workspace") or ""

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print or write the timeline; ``FAILED`` if a process does not answer."""
        collector = TimelineCollector(client, *self.filters())
        events = collector.collect()
        if isinstance(events, Failure):
            return self.print_failure(events)
        if self.option("html"):
            return self._write(self.option("html"), events, collector)
        self._print(events)
        if self.option("follow"):
            return self._follow(collector)
        return self._finish(collector)

    def _write(
        self, path: str, events: list[TimelineEvent], collector: TimelineCollector
    ) -> ExitCode:
        try:
            Path(path).write_text(render(events, collector.notes()), encoding="utf-8")
        except OSError as error:
            self.print_error(str(error))
            return ExitCode.USAGE
        self.line(f"{len(events)} events written to {path}")
        return self._finish(collector)

    def _follow(self, collector: TimelineCollector) -> ExitCode:
        end = time.monotonic() + float(self.option("seconds") or "inf")
        while time.monotonic() < end:
            time.sleep(FOLLOW_INTERVAL_SECONDS)
            events = collector.collect()
            if isinstance(events, Failure):
                return self.print_failure(events)
            self._print(events)
        return self._finish(collector)

    def _finish(self, collector: TimelineCollector) -> ExitCode:
        for note in collector.notes():
            self.print_error(note)
        return ExitCode.FAILED if collector.missing else ExitCode.DONE

    def _print(self, events: list[TimelineEvent]) -> None:
        for event in events:
            if self.json_output:
                fields: dict[str, Any] = msgspec.structs.asdict(event)
                self.print_text(msgspec.json.encode(fields).decode())
            else:
                parts = [event.kind, event.request, event.workspace, event.detail]
                text = " ".join(part for part in parts if part)
                self.print_text(f"{clock_time(event)} {event.process:12} {text}")


class RequestTrace(ShowTimeline):
    """Print the events of all processes that concern one request."""

    name = "request trace"
    description = "Print the events of all processes for one request."
    arguments: ClassVar[list[Argument]] = [argument("request", "Id of the request.")]
    own_options: ClassVar[list[Option]] = [
        option("follow", "f", "Keep printing new events."),
        option("seconds", None, "Stop --follow after this many seconds.", flag=False),
        option("html", None, "Write a page to this file.", flag=False),
    ]

    def filters(self) -> tuple[str, str]:
        """Return the request to filter by."""
        return self.argument("request"), ""


COMMANDS: Final = (ShowTimeline, RequestTrace)
