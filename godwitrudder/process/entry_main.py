"""Command that runs an entry process until SIGTERM."""

from __future__ import annotations

import signal

from gevent import monkey

monkey.patch_all(thread=False, subprocess=False)

# A SIGHUP before the settings are loaded must not end the process: there is nothing
# to reload yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Final  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from godwitrudder.options import Options, parse_options  # noqa: E402
from godwitrudder.platform import names, settings  # noqa: E402
from godwitrudder.process.decisions import DecisionLog  # noqa: E402
from godwitrudder.process.entry import Entry  # noqa: E402
from godwitrudder.validation import Problem  # noqa: E402

SETTINGS_POLL_SECONDS: Final = 1.0
"""Interval between checks of the settings file; changes must be in force within 2 s."""


def main() -> int:
    """Run until SIGTERM; return the exit status."""
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, "settings.json"))
    variable = names.OPTIONS_VARIABLE
    options = parse_options(variable, os.environ.get(variable, ""))
    if isinstance(options, Problem):
        print(options, file=sys.stderr)
        return 2
    loaded = settings.load(path, options)
    if isinstance(loaded, Problem):
        print(loaded, file=sys.stderr)
        return 2
    port = os.environ.get(names.METRICS_VARIABLE, "")
    log = DecisionLog(loaded.host)
    entry = Entry(loaded, int(port) if port else None, log)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGHUP, reload_settings, entry, path, options, log)
    gc.collect()
    gc.freeze()
    entry.start()
    gevent.spawn(watch_settings, entry, path, options, log)
    log.note("start", failure_domain=loaded.failure_domain)
    stopped.wait()
    entry.stop()
    return 0


def watch_settings(
    entry: Entry, path: Path, options: Options, log: DecisionLog
) -> None:
    """Reload the settings whenever the file has changed, with or without SIGHUP."""
    loaded_ns = _modified_ns(path)
    while True:
        gevent.sleep(SETTINGS_POLL_SECONDS)
        modified_ns = _modified_ns(path)
        if modified_ns != loaded_ns:
            loaded_ns = modified_ns
            reload_settings(entry, path, options, log)


def _modified_ns(path: Path) -> int | None:
    """Return a file's modification time in ns, or None if it can't be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return None


def reload_settings(
    entry: Entry, path: Path, options: Options, log: DecisionLog
) -> None:
    """Reload the settings; if they are invalid the old ones stay in force."""
    loaded = settings.load(path, options)
    if isinstance(loaded, Problem):
        log.note("settings_unread", why=str(loaded))
        return
    entry.settings = loaded
    log.note("settings")


if __name__ == "__main__":
    sys.exit(main())
