"""Tests of the waits between a daemon's ticks."""

from types import SimpleNamespace

import pytest

from rattanloom.daemon import TICK_MS
from standins.store import Store, StoreSwitches
from tests.test_configuration_delay import daemon_with


@pytest.mark.parametrize(("is_woken", "pauses"), [(False, []), (True, [TICK_MS])])
def test_idle_daemon_wakes_up_once_a_tick(is_woken, pauses, monkeypatch):
    # It woke up twice: at the end of a wait, and of a pause after it.
    slept_ms = []
    fake = SimpleNamespace(sleep=lambda seconds: slept_ms.append(1_000 * seconds))
    monkeypatch.setattr("rattanloom.daemon.gevent", fake)
    waits = SimpleNamespace(clear=lambda: None, wait=lambda seconds: is_woken)
    with daemon_with(Store(switches=StoreSwitches(latency_ms=0))) as daemon:
        daemon.ownership = SimpleNamespace(is_settled=lambda: True)
        daemon._wake = waits
        daemon._wait_for_tick()
        assert slept_ms == pauses
