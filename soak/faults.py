"""Injects overlapping faults that are drawn from a seed."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from random import Random
from typing import Final

import gevent

from godwitrudder.platform import names
from soak.deployment import Deployment
from soak.hosts import Host
from soak.proxy import Cut
from soak.runners import DOWN_SECONDS, SoakRunner

PAUSE_RANGE_SECONDS: Final = (0.1, 0.8)
"""Lowest and highest time between the starts of two faults."""
DURATION_RANGE_SECONDS: Final = (0.2, 3.0)
"""Shortest and longest fault.

The range has values below and above the 1.2 s after which a host counts its store as
silent.
"""
STORE_AWAY_RANGE_SECONDS: Final = (0.1, 1.5)
"""Shortest and longest time for which a store is away before it is restored."""
LIMIT_RANGE_SECONDS: Final = (4.0, 8.0)
"""Shortest and longest time for which a runner names a limit, or requests have a poison
part: hosts have 3 s to adapt."""
BACKOFF_RANGE_SECONDS: Final = (0.6, 3.0)
EVACUATION_RANGE_SECONDS: Final = (6.0, 9.0)
"""Shortest and longest evacuation: hosts have 5 s to read it."""
# Limits that a runner may name, in requests per second.
LIMITS_PER_SECOND: Final = (0.5, 1.0, 4.0, 10.0)
MAX_SERIES: Final = 6
"""Most signals or changes in a series."""
SERIES_PAUSE_SECONDS: Final = 0.4
"""Longest pause between two of them."""
# Fraction of the appends whose answer is lost while the fault lasts.
LOST_ANSWER_SHARE: Final = 0.4


class FaultInjector:
    """Starts faults until its greenlet is killed.

    Each fault has a greenlet of its own, which goes on after ``run`` is killed;
    ``wait_until_ended`` waits for all of them.

    Attributes
    ----------
    injected : list of str
        Names of the injected faults, in order.
    """

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self.injected: list[str] = []
        self._deployment = deployment
        self._random = random
        self._tasks: list[gevent.Greenlet] = []
        # The report shows the names of these methods.
        self._faults: list[Callable[[], None]] = [
            self._kill,
            self._kill_all,
            self._freeze,
            self._term,
            self._cut,
            self._cut,
            self._cut_all,
            self._reset,
            self._lose_answers,
            self._store_down,
            self._restore,
            self._forget,
            self._topup,
            self._reload,
            self._restore_series,
            self._stop_series,
            self._change_series,
            self._crash_runner,
            self._limit_runner,
            self._back_off_runner,
            self._replace_runner,
            self._cool_runner,
            self._evacuate,
            self._send_poison_parts,
        ]

    def run(self) -> None:
        """Start a random fault after each random pause."""
        while True:
            gevent.sleep(self._random.uniform(*PAUSE_RANGE_SECONDS))
            fault = self._random.choice(self._faults)
            self.injected.append(fault.__name__.strip("_"))
            self._tasks.append(gevent.spawn(fault))

    def wait_until_ended(self) -> None:
        """Wait until all faults have ended."""
        for task in self._tasks:  # a fault may start others
            task.get()

    def _host(self) -> Host:
        return self._random.choice(self._deployment.hosts)

    def _wait_for_duration(self) -> None:
        gevent.sleep(self._random.uniform(*DURATION_RANGE_SECONDS))

    def _kill(self) -> None:
        self._kill_and_start(self._host())

    def _kill_all(self) -> None:
        for host in self._deployment.hosts:
            self._kill_and_start(host)

    def _kill_and_start(self, host: Host) -> None:
        if host.restarting:
            return
        host.restarting = True
        host.kill()
        host.start()

    def _freeze(self) -> None:
        host = self._host()
        host.record_fault()
        host.signal(signal.SIGSTOP)
        self._wait_for_duration()
        host.signal(signal.SIGCONT)
        host.record_fault()

    def _term(self) -> None:
        host = self._host()
        if host.restarting:
            return
        host.restarting = True
        host.check_ready()
        status = host.stop()
        if host.was_ready and status not in (0, -signal.SIGKILL):
            self._deployment.oracle.violations.append(
                f"{host.name}: graceful stop ended with status {status}"
            )
        host.start()

    def _cut(self) -> None:
        self._cut_hosts([self._host()])

    def _cut_all(self) -> None:
        self._cut_hosts(self._deployment.hosts)

    def _cut_hosts(self, hosts: list[Host]) -> None:
        cut = self._random.choice([Cut.BOTH_DIRECTIONS, Cut.RESPONSES])
        for host in hosts:
            host.record_fault()
            host.proxy.cut = cut
        self._wait_for_duration()
        for host in hosts:
            host.proxy.cut = Cut.NONE
            host.record_fault()

    def _reset(self) -> None:
        self._host().proxy.reset()

    def _lose_answers(self) -> None:
        self._deployment.store.faults.set({"lost_answers": LOST_ANSWER_SHARE})
        self._wait_for_duration()
        self._deployment.store.faults.set({"lost_answers": 0.0})

    def _store_down(self) -> None:
        self._deployment.store.faults.set({"down": True})
        self._wait_for_duration()
        self._deployment.store.faults.set({"down": False})

    def _restore(self) -> None:
        """Bring the store back from a copy that is some time old.

        Operator and runners write again what the copy lacks.
        """
        store = self._deployment.store
        copied = store.copy_topics()
        self._wait_for_duration()
        store.faults.set({"down": True})
        gevent.sleep(self._random.uniform(*STORE_AWAY_RANGE_SECONDS))
        store.restore(copied)
        self._deployment.configure()
        self._deployment.write_evacuation()
        for runner in self._deployment.runners:
            self._deployment.list_runner(runner)
        store.faults.set({"down": False})

    def _restore_series(self) -> None:
        """Restore the store while hosts are killed or cut off, and once more."""
        for fault in (self._kill, self._cut, self._restore, self._kill):
            self._tasks.append(gevent.spawn(fault))
            gevent.sleep(self._random.uniform(0.0, SERIES_PAUSE_SECONDS))
        self._restore()

    def _forget(self) -> None:
        for topic in (names.LEDGER_TOPIC, names.OPERATOR_TOPIC, names.RUNNERS_TOPIC):
            self._deployment.store.topics[topic].truncate()

    def _topup(self) -> None:
        prepaid_by_workspace = self._deployment.oracle.prepaid_by_workspace
        self._deployment.topup(self._random.choice(sorted(prepaid_by_workspace)))

    def _reload(self) -> None:
        self._host().signal(signal.SIGHUP)

    def _stop_series(self) -> None:
        """Stop several hosts one after the other; their grace periods overlap."""
        for _ in range(self._random.randint(2, MAX_SERIES)):
            self._tasks.append(gevent.spawn(self._term))
            self._reload()
            gevent.sleep(self._random.uniform(0.0, SERIES_PAUSE_SECONDS))

    def _change_series(self) -> None:
        for _ in range(self._random.randint(2, MAX_SERIES)):
            self._topup()
            self._reload()
            gevent.sleep(self._random.uniform(0.0, SERIES_PAUSE_SECONDS))

    def _runner(self) -> SoakRunner:
        return self._random.choice(self._deployment.runners)

    def _crash_runner(self) -> None:
        self._runner().crash(DOWN_SECONDS)

    def _limit_runner(self) -> None:
        runner = self._runner()
        if runner.limit is None:
            runner.limit = self._random.choice(LIMITS_PER_SECOND)
            gevent.sleep(self._random.uniform(*LIMIT_RANGE_SECONDS))
            runner.limit = None
            self._deployment.rules.limit_ended(runner.name)

    def _back_off_runner(self) -> None:
        runner = self._runner()
        if not runner.backoff_seconds:
            runner.backoff_seconds = round(
                self._random.uniform(*BACKOFF_RANGE_SECONDS), 1
            )
            self._wait_for_duration()
            runner.backoff_seconds = 0.0

    def _replace_runner(self) -> None:
        """Let a runner say that it leaves; a new instance under its id follows."""
        runner = self._runner()
        if not runner.leaving:
            runner.leaving = True
            self._wait_for_duration()
            runner.crash(DOWN_SECONDS)
            runner.leaving = False
            runner.born += 1
            self._deployment.rules.instance_replaced(runner.name)
            self._deployment.list_runner(runner)

    def _cool_runner(self) -> None:
        """Let a runner say for a while that it is cold."""
        runner = self._runner()
        if runner.cold_until < time.monotonic():
            seconds = self._random.uniform(*LIMIT_RANGE_SECONDS)
            runner.cold_until = time.monotonic() + seconds
            gevent.sleep(seconds)
            self._deployment.rules.cold_ended(runner.name)

    def _evacuate(self) -> None:
        """Evacuate the failure domain of the last runner for a while."""
        deployment = self._deployment
        if not deployment.evacuated:
            deployment.evacuated = True
            deployment.write_evacuation()
            runner = deployment.runners[-1].name
            deployment.rules.evacuation_begun(runner)
            gevent.sleep(self._random.uniform(*EVACUATION_RANGE_SECONDS))
            deployment.rules.evacuation_ended(runner)
            deployment.evacuated = False
            deployment.write_evacuation()

    def _send_poison_parts(self) -> None:
        if not self._deployment.poison_part:
            self._deployment.poison_part = f"poison-{len(self.injected)}"
            gevent.sleep(self._random.uniform(*LIMIT_RANGE_SECONDS))
            self._deployment.poison_part = ""
