"""``godwitrudderd``: run one daemon until it is told to stop."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import logging  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from dataclasses import asdict  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from godwitrudder.process.daemon import Daemon  # noqa: E402
from godwitrudder.process.settings import Settings, load  # noqa: E402
from godwitrudder.validation import Problem  # noqa: E402

logger = logging.getLogger(__name__)


def main() -> int:
    """Parse the arguments and run; the exit code is 2 for bad settings."""
    parser = argparse.ArgumentParser(prog="godwitrudderd")
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    settings = load(options.settings)
    if isinstance(settings, Problem):
        print(settings, file=sys.stderr)
        return 2
    if options.check:
        shown = {**asdict(settings), "peer_key": "(secret)"}
        print(json.dumps(shown, indent=2))
        return 0
    return run(settings)


def run(settings: Settings) -> int:
    """Serve until SIGTERM, then drain; a second SIGTERM ends it at once.

    Returns
    -------
    int
        1 where requests were cut.
    """
    logging.basicConfig(
        level=settings.log_level,
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
    )
    asked, forced, started = Event(), Event(), Event()
    main_greenlet = gevent.getcurrent()

    def stop() -> None:
        if not started.is_set():
            gevent.get_hub().loop.run_callback(main_greenlet.throw, SystemExit(0))
        (forced if asked.is_set() else asked).set()

    gevent.signal_handler(signal.SIGTERM, stop)
    gevent.signal_handler(signal.SIGINT, stop)
    with Daemon(settings) as daemon:
        started.set()
        asked.wait()
        logger.info("draining; %d requests in flight", daemon.router.in_flight)
        cut = _drain(daemon, forced)
        logger.info("stopped; %d requests cut", cut)
    return 1 if cut else 0


def _drain(daemon: Daemon, forced: Event) -> int:
    """Drain until done or forced; return how many requests were cut."""
    drain = gevent.spawn(daemon.drain)
    gevent.wait([drain, forced], count=1)
    if drain.ready():
        return int(drain.get())
    drain.kill()
    return daemon.cut()


if __name__ == "__main__":
    sys.exit(main())
