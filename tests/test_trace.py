"""Trace of a job across daemons on the platform whose clocks differ.

Guards against a trace that shows effects before their causes.
"""

import io
import json

import pytest

from rattanloom.environment import Environment
from rattanloom.operators.commands import OperatorCommands
from rattanloom.operators.trace import (
    TraceError,
    clock_offsets,
    read_lines,
    trace_lines,
)
from rattanloom.status import ExitStatus

JOB = "5c0e7a21d94b36f8"
# The placer's clock is 400 ms ahead.
EVENTS = (
    ("entry", 1_000, "job_handed_over", {"job": JOB, "placer": "placer"}),
    ("placer", 1_402, "job_accepted", {"job": JOB, "entry": "entry"}),
    ("placer", 1_410, "task_ordered", {"task": f"{JOB}.0.0.1", "worker": "w1"}),
    ("placer", 1_500, "job_ended", {"job": JOB, "outcome": "complete"}),
    ("entry", 1_102, "job_answered", {"job": JOB, "status": 200}),
    ("entry", 1_200, "job_handed_over", {"job": "another", "placer": "placer"}),
    ("third", 1_000, "worker_silent", {"worker": "w1"}),
)


@pytest.fixture
def files(tmp_path):
    for node, wall_ms, event, fields in EVENTS:
        document = {"wall_ms": wall_ms, "node": node, "event": event, **fields}
        with (tmp_path / f"{node}.log").open("a") as log:
            log.write(f"   0.701 {node} {json.dumps(document)}\nnot a line\n")
    return [str(path) for path in sorted(tmp_path.iterdir())]


def test_offsets_are_estimated_from_messages_both_ways(files):
    offsets = clock_offsets(read_lines(files))
    assert offsets["placer"] - offsets["entry"] == pytest.approx(400)
    assert offsets["third"] == 0


def test_trace_is_in_order_of_corrected_time(files):
    lines = list(trace_lines(read_lines(files), JOB))
    assert [line.split()[3] for line in lines] == [
        "job_handed_over",
        "job_accepted",
        "task_ordered",
        "job_ended",
        "job_answered",
    ]
    assert lines[0].startswith("      +0.0 ms  entry")
    assert "worker=w1" in lines[2]


def test_trace_of_a_worker_spans_daemons(files):
    lines = list(trace_lines(read_lines(files), "w1"))
    assert {line.split()[2] for line in lines} == {"placer", "third"}


def test_unknown_name_is_an_error(files):
    with pytest.raises(TraceError, match="no line"):
        list(trace_lines(read_lines(files), "nobody"))


def test_command_prints_the_trace(files):
    output = io.StringIO()
    commands = OperatorCommands(Environment(stdout=output))
    commands.story(JOB, *files)
    assert commands.exit_status is ExitStatus.OK
    assert "job_answered" in output.getvalue()
    commands.story(JOB, "/nowhere/a.log")
    assert commands.exit_status is ExitStatus.ERROR
