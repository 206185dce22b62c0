"""All hosts retry at the same time; the fleet stays within the target's bound."""

from __future__ import annotations

import pytest

from godwitrudder.request.retry_window import RetryWindow


@pytest.mark.parametrize(("hosts", "slack"), [(9, 58.0), (6, 52.0), (58, 156.0)])
def test_uncoordinated_hosts_keep_the_shared_bound(hosts: int, slack: float) -> None:
    windows = [RetryWindow(0.2, slack, 10.0) for _ in range(hosts)]
    requests = retries = 0
    for step in range(100):
        for window in windows:
            window.request(step / 10)
            requests += 1
            while window.take(hosts, step / 10):
                retries += 1
    assert 0 < retries <= 0.2 * requests + slack


def test_retries_come_back_with_the_window() -> None:
    window = RetryWindow(0.0, 10.0, 10.0)
    while window.take(1, 0.0):
        pass
    assert not window.take(1, 9.0)
    assert window.take(1, 10.5)
