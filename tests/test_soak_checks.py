"""Each soak check finds its violation in a bad history and none in a good one.

Guards against checks that pass whatever happens, and against false alarms.
"""

import json
from math import inf

import pytest
from attrs import evolve

from soak import checks
from soak.history import (
    ClientJob,
    ConfigurationChange,
    Evacuation,
    History,
    PoolKill,
    QueueProbe,
    Send,
    Span,
    TaskRun,
    read_runs,
)

JOB = "00000000000000aa"
SPEC = '{"ms": 60}'
CHECKS = {check.__name__: check for check in checks.ALL_CHECKS}


def make_history(*sends: Send, job_id: str = JOB) -> History:
    history = History()
    job = ClientJob(job_id, "proof-crop", SPEC, 2, 1_500, "/jobs/", list(sends))
    history.jobs[job_id] = job
    return history


def make_run(index: int = 0, **changes) -> TaskRun:
    run = TaskRun(f"{JOB}.0.0.{index}", 1, "w1", SPEC, 1_000, 1_060, "done")
    return evolve(run, **changes)


GOOD_RUNS = [make_run(0), make_run(1)]
COMPLETE = Send("n1", 900, 1_080, 200, "complete")
REFUSED = Send("n1", 900, 1_080, 503)


def test_good_history_passes_every_check():
    assert checks.find_breaches(make_history(COMPLETE), GOOD_RUNS) == []


BAD_HISTORIES = {
    "runs_never_overlap": (
        make_history(COMPLETE),
        [*GOOD_RUNS, make_run(0, worker="w2", attempt=2, start_ms=1_050, end_ms=1_110)],
    ),
    "refused_jobs_never_run": (make_history(REFUSED), GOOD_RUNS),
    "only_sent_tasks_run": (make_history(COMPLETE), [*GOOD_RUNS, make_run(2)]),
    "complete_means_whole": (
        make_history(COMPLETE),
        [make_run(0), make_run(1, how="stopped")],
    ),
    "complete_jobs_have_no_active_runs": (
        make_history(COMPLETE),
        [*GOOD_RUNS, make_run(1, attempt=2, start_ms=1_070, end_ms=1_130)],
    ),
    "requests_never_fail": (make_history(Send("n1", 900, 1_080, 500)), []),
    "answers_come_in_time": (make_history(Send("n1", 900, 2_700, 504)), []),
    "everything_ends": (make_history(COMPLETE), [make_run(0, end_ms=inf, how="")]),
    "service_returns": (make_history(Send("n1", 9_000, 10_400, 504)), []),
    "queues_follow_configuration": (make_history(Send("n1", 900, 910, 404)), []),
}


CRASHING_SPEC = '{"ms": 60, "crash_index": 0}'


def make_crashes(starts: int) -> list[TaskRun]:
    """Return runs of one task, each of which crashed its worker."""
    return [
        make_run(
            0,
            attempt=number,
            spec=CRASHING_SPEC,
            start_ms=1_000 * number,
            end_ms=1_000 * number + 10,
            how="crashed",
        )
        for number in range(1, starts + 1)
    ]


def make_crashing_history() -> History:
    history = make_history(Send("n1", 900, 1_080, 504))
    history.jobs[JOB].spec = CRASHING_SPEC
    return history


BAD_HISTORIES["no_worker_is_overfilled"] = (
    make_history(COMPLETE),
    [
        make_run(0),
        make_run(1, used_millicores=28_000, allowed_millicores=16_000),
    ],
)
BAD_HISTORIES["crashing_tasks_are_given_up"] = (
    make_crashing_history(),
    make_crashes(6),
)
BAD_HISTORIES["jobs_fail_with_cause"] = (
    make_history(Send("n1", 900, 1_080, 200, "failed")),
    [make_run(0, how="crashed"), make_run(0, attempt=2, start_ms=1_065, end_ms=1_070)],
)


def test_task_may_start_twice_after_it_crashed_three_workers():
    assert not list(
        checks.crashing_tasks_are_given_up(make_crashing_history(), make_crashes(5))
    )


def test_job_may_fail_after_two_workers_crashed_under_its_task():
    history = make_history(Send("n1", 900, 1_080, 200, "failed"))
    assert not list(checks.jobs_fail_with_cause(history, make_crashes(2)))


def make_probed_history(sent_ms: float, status: int) -> History:
    """Return a history of a queue removed at 11,000 and of a probe for it."""
    added = ConfigurationChange(1, ("/jobs/", "/other-a/"), 10_100, 10_110)
    removed = ConfigurationChange(2, ("/jobs/",), 10_990, 11_000)
    probe = QueueProbe("n1", "/other-a/", sent_ms, sent_ms + 5, status)
    return History(configurations=[added, removed], probes=[probe])


BAD_HISTORIES["configurations_are_in_force_in_time"] = (
    make_probed_history(13_001, 200),
    [],
)


@pytest.mark.parametrize(
    ("sent_ms", "status", "is_breach"),
    [
        (13_001, 200, True),
        (13_001, 404, False),
        (12_999, 200, False),
        (12_200, 404, False),
    ],
)
def test_removed_queue_must_be_unknown_after_the_bound(sent_ms, status, is_breach):
    history = make_probed_history(sent_ms, status)
    found = list(checks.configurations_are_in_force_in_time(history, []))
    assert bool(found) == is_breach
    history.spans.append(Span("store_silent", 9_400, 10_999))
    assert bool(list(checks.configurations_are_in_force_in_time(history, []))) == (
        is_breach
    )
    history.spans.append(Span("store_silent", 11_200, 11_300))
    assert not list(checks.configurations_are_in_force_in_time(history, []))


def make_evacuated_history() -> History:
    history = make_history(COMPLETE)
    history.evacuations.append(Evacuation("adum", 1_000, 9_000))
    return history


BAD_HISTORIES["evacuated_zones_get_no_starts"] = (
    make_evacuated_history(),
    [make_run(start_ms=6_001, zone="adum")],
)


def test_starts_in_time_elsewhere_or_after_an_outage_are_allowed_in_an_evacuation():
    history = make_evacuated_history()
    runs = [
        make_run(start_ms=start_ms, zone=zone)
        for start_ms, zone in ((5_999, "adum"), (7_000, "asokwa"), (9_001, "adum"))
    ]
    assert not list(checks.evacuated_zones_get_no_starts(history, runs))
    history.spans.append(Span("store_down", 6_000, 6_500))
    runs = [make_run(start_ms=7_000, zone="adum")]
    assert not list(checks.evacuated_zones_get_no_starts(history, runs))


@pytest.mark.parametrize("name", BAD_HISTORIES)
def test_violation_is_found(name):
    history, runs = BAD_HISTORIES[name]
    assert [breach.rule for breach in CHECKS[name](history, runs)] == [name]


def test_request_lost_in_a_planned_stop_is_found():
    history = make_history(Send("n1", 900, 1_400, 0, reason="ProtocolError"))
    history.stops.append(Span("stop", 1_000, 2_000, ("n1",)))
    found = list(checks.stops_cut_nothing_off(history, GOOD_RUNS))
    assert [breach.rule for breach in found] == ["stops_cut_nothing_off"]
    history.spans.append(Span("zone_cut", 950, 1_100))
    assert list(checks.stops_cut_nothing_off(history, GOOD_RUNS)) == []


def test_late_response_during_a_fault_is_allowed():
    history = make_history(Send("n1", 900, 2_700, 504))
    history.spans.append(Span("daemon_paused", 1_000, 2_600, ("n1",)))
    assert list(checks.answers_come_in_time(history, [])) == []


def test_every_check_has_a_bad_history():
    assert {*BAD_HISTORIES, "stops_cut_nothing_off"} == set(CHECKS)


def test_kill_of_the_workers_ends_running_tasks(tmp_path):
    lines = [
        {"event": "start", "at_ms": 10, "worker": "w", "task": "a", "spec": ""},
        {"event": "end", "at_ms": 20, "worker": "w", "task": "a", "how": "done"},
        {"event": "start", "at_ms": 30, "worker": "w", "task": "b", "spec": ""},
        {"event": "start", "at_ms": 90, "worker": "w", "task": "c", "spec": ""},
    ]
    content = "\n".join(json.dumps(line | {"attempt": 1}) for line in lines)
    (tmp_path / "zone.history").write_text(content)
    runs = read_runs(tmp_path, ["zone"], [PoolKill("zone", 50)])
    assert [(run.end_ms, run.how) for run in runs] == [
        (20, "done"),
        (50, "killed"),
        (inf, ""),
    ]
