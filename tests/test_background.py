"""Background greenlets log unexpected exceptions and keep running."""

import json
import os

import gevent

from rattanloom.background import run_and_log_failure, spawn_restarting
from rattanloom.decision_log import logging_decisions
from tests.dispatcher_fakes import CLOCK, wait_for


def test_failing_function_is_logged_and_run_again():
    calls = []

    def work(name: str) -> None:
        calls.append(name)
        if len(calls) < 3:
            raise RuntimeError("unforeseen")

    read_end, write_end = os.pipe()
    with logging_decisions("n1", CLOCK, write_end, "INFO"):
        greenlet = spawn_restarting(work, "a")
        assert wait_for(lambda: greenlet.ready())
    lines = [json.loads(line) for line in os.read(read_end, 100_000).splitlines()]
    # Greenlets that earlier tests left behind may log as well.
    lines = [line for line in lines if line["part"] == "background"]
    assert calls == ["a", "a", "a"]
    assert [line["event"] for line in lines] == ["task_failed", "task_failed"]
    assert lines[0]["reason"] == "RuntimeError: unforeseen"
    assert lines[0]["where"].startswith("test_background.py:")


def test_killed_greenlet_is_not_restarted():
    greenlet = spawn_restarting(gevent.sleep, 60)
    gevent.sleep(0)
    greenlet.kill()
    assert greenlet.ready()


def test_failing_step_does_not_prevent_later_steps():
    steps = []

    def fail() -> None:
        raise ValueError

    results = [run_and_log_failure(step) for step in (fail, lambda: steps.append(1))]
    assert results == [False, True]
    assert steps == [1]
