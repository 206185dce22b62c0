"""Command line of the soak: ``python -m soak run --seeds 50 --seconds 10``."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from cleo.application import Application  # noqa: E402
from cleo.commands.command import Command  # noqa: E402
from cleo.helpers import option  # noqa: E402

from soak.run import Plan, run_soak  # noqa: E402


class RunCommand(Command):
    """Runs one soak per seed, one after the other."""

    name = "run"
    description = "Inject seeded faults into real entry processes"
    options = [
        option("first", None, "First seed", flag=False, default="1"),
        option("seeds", None, "Number of seeds", flag=False, default="5"),
        option("seconds", None, "Seconds of faults per seed", flag=False, default="10"),
        option("hosts", None, "Number of entry processes", flag=False, default="4"),
        option("callers", None, "Number of callers", flag=False, default="24"),
    ]

    def handle(self) -> int:
        """Return 1 if a run violated an invariant, else 0."""
        failed = 0
        first, seeds = int(self.option("first")), int(self.option("seeds"))
        for seed in range(first, first + seeds):
            plan = Plan(
                seed,
                float(self.option("seconds")),
                int(self.option("hosts")),
                int(self.option("callers")),
            )
            report = run_soak(plan)
            self.line(report.summary())
            for violation in report.violations:
                self.line(f"  {violation}")
            failed += bool(report.violations)
        self.line(f"{seeds} seeds, {failed} with violations")
        return 1 if failed else 0


def main() -> int:
    """Run the command line."""
    application = Application("soak")
    application.add(RunCommand())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
