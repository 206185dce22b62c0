"""Command line of the stand-ins: ``python -m standins --settings FILE``.

The process serves until it receives SIGTERM or SIGINT.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from contextlib import ExitStack  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from godwitrudder.validation import Problem  # noqa: E402
from standins.document import publish_document  # noqa: E402
from standins.platform import Platform  # noqa: E402
from standins.settings import StandInsModel, build_servers, load_settings  # noqa: E402


def main() -> int:
    """Parse the arguments and serve; return 2 if the settings are invalid."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("--settings", type=Path, required=True)
    path = parser.parse_args().settings
    model = load_settings(path)
    if isinstance(model, Problem):
        print(model, file=sys.stderr)
        return 2
    return run(path, model)


def run(path: Path, model: StandInsModel) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code."""
    servers = build_servers(str(path), model)
    if isinstance(servers, Problem):
        print(servers, file=sys.stderr)
        return 2
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    with ExitStack() as stack:
        for server in servers:
            stack.enter_context(server)
            if isinstance(server, Platform):
                publish_document(server, path.parent, model.document)
        print(f"{len(servers)} stand-ins listen", flush=True)
        stopped.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
