"""Start of an entry process."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all(thread=False, subprocess=False)

import gc  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from godwitrudder.platform import names, settings  # noqa: E402
from godwitrudder.process.decisions import DecisionLog  # noqa: E402
from godwitrudder.process.entry import Entry  # noqa: E402
from godwitrudder.sections import Problem  # noqa: E402


def main() -> int:
    """Run until SIGTERM; return the exit status."""
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, "settings.json"))
    loaded = settings.load(path)
    if isinstance(loaded, Problem):
        print(loaded, file=sys.stderr)
        return 2
    port = os.environ.get(names.METRICS_VARIABLE, "")
    log = DecisionLog(loaded.host)
    entry = Entry(loaded, int(port) if port else None, log)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGHUP, reload, entry, path, log)
    gc.collect()
    gc.freeze()
    entry.start()
    log.note("start", failure_domain=loaded.failure_domain)
    stopped.wait()
    entry.stop()
    return 0


def reload(entry: Entry, path: Path, log: DecisionLog) -> None:
    """Read the settings again; those that can't be read leave the old in force."""
    loaded = settings.load(path)
    if isinstance(loaded, Problem):
        log.note("settings_unread", why=str(loaded))
        return
    entry.settings = loaded
    log.note("settings")


if __name__ == "__main__":
    sys.exit(main())
