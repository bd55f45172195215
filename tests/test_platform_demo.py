"""The platform demonstration's wait for log lines.

Guards against a demonstration that fails because a log is written late.
"""

import json
from random import Random
from types import SimpleNamespace

import gevent

from experiments import platform_demo
from experiments.platform_demo import Demo
from soak.history import ClientJob

JOB = "5c0e7a21d94b36f8"
EVENTS = ("job_handed_over", "job_answered")


def demo_with_empty_log(tmp_path) -> tuple[Demo, ClientJob]:
    log_path = tmp_path / "edge.log"
    log_path.touch()
    daemon = SimpleNamespace(log_path=log_path)
    demo = Demo(SimpleNamespace(daemons={"edge": daemon}), Random(1))
    return demo, ClientJob(JOB, "kind", "{}", 1, 1_500.0, "/")


def test_wait_for_a_job_outlasts_logs_that_do_not_mention_it_yet(tmp_path):
    demo, job = demo_with_empty_log(tmp_path)

    def write_log() -> None:
        with (tmp_path / "edge.log").open("a") as log:
            for event in EVENTS:
                line = {"wall_ms": 1_000, "node": "edge", "event": event, "job": JOB}
                log.write(json.dumps(line) + "\n")

    gevent.spawn_later(0.15, write_log)
    assert demo.await_trace_end(job)


def test_wait_for_a_job_that_is_never_logged_ends(tmp_path, monkeypatch):
    monkeypatch.setattr(platform_demo, "SERVED_WITHIN_S", 0.3)
    demo, job = demo_with_empty_log(tmp_path)
    assert not demo.await_trace_end(job)
