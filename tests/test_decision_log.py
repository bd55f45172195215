"""Structured logs of the daemon: limited in rate and size, never blocking."""

import json
import os

import gevent
import pytest

from rattanloom.clock import SystemClock
from rattanloom.decision_log import (
    LINES_MAX,
    LINES_PER_EVENT_PER_S,
    DecisionLog,
    LineBuffer,
    logging_decisions,
)

log = DecisionLog("part")


class ManualClock(SystemClock):
    """A clock whose wall time the test advances."""

    def __init__(self):
        self.at_ms = 1_000.0

    def wall_ms(self) -> float:
        """Return the time that the test has set."""
        return self.at_ms


def read_lines(descriptor: int) -> list[dict]:
    content = os.read(descriptor, 10_000_000).decode()
    return [json.loads(line) for line in content.splitlines()]


def test_event_is_one_json_line_with_its_fields():
    read_end, write_end = os.pipe()
    with logging_decisions("n1", ManualClock(), write_end, "INFO"):
        log.info("worker_silent", worker="w1", reason="why")
    (line,) = read_lines(read_end)
    assert line["event"] == "worker_silent"
    assert (line["node"], line["part"], line["worker"]) == ("n1", "part", "w1")


def test_repeated_event_is_rate_limited_and_drops_are_counted():
    read_end, write_end = os.pipe()
    clock = ManualClock()
    with logging_decisions("n1", clock, write_end, "INFO"):
        for _ in range(LINES_PER_EVENT_PER_S + 50):
            log.info("x")
        clock.at_ms += 1_000
        log.info("y")
        lines = []
        os.set_blocking(read_end, False)
    while True:
        try:
            chunk = read_lines(read_end)
        except BlockingIOError:
            break
        lines += chunk
        if not chunk:
            break
    dropped = [line["lines"] for line in lines if line["event"] == "lines_dropped"]
    assert dropped == [50]


def test_stalled_reader_neither_blocks_nor_grows_memory():
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    buffer = LineBuffer(write_end)
    for number in range(20 * LINES_MAX):
        buffer.add(b"x" * 100 + b"\n")
        if number % 100 == 0:
            buffer.flush()
    assert len(buffer.lines) <= LINES_MAX
    assert buffer.dropped > 0
    os.close(read_end)


def test_lines_for_a_closed_reader_are_counted_as_dropped():
    read_end, write_end = os.pipe()
    os.close(read_end)
    gevent.sleep(0.01)  # gevent closes descriptors in its event loop
    buffer = LineBuffer(write_end)
    buffer.add(b"line\n")
    buffer.flush()
    assert not buffer.lines
    assert buffer.dropped


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("a\ud800", "a\ud800"),
        (1 << 70, 1 << 70),
        (("a", 1.5), ["a", 1.5]),
        (KeyError("k"), "'k'"),
        ({1: KeyError("k")}, {"1": "'k'"}),
        (float("nan"), None),
    ],
    ids=repr,
)
def test_field_of_any_value_is_logged(value, expected):
    read_end, write_end = os.pipe()
    with logging_decisions("n1", ManualClock(), write_end, "INFO"):
        log.info("event", field=value)
    (line,) = read_lines(read_end)
    assert line["field"] == expected
