"""Tests of how work returns to workers that are slow after an evacuation."""

import json

from rattanloom.metrics import Metrics
from rattanloom.placement.placer import Placer
from rattanloom.placement.runs import make_job
from rattanloom.placement.start_limits import COLD_SEEN_MS
from rattanloom.placement.worker_events import WorkerState
from rattanloom.platform.rows import Row, RowRef
from rattanloom.registry import Registry
from rattanloom.scheduling.placement_model import PlacementModel
from rattanloom.scheduling.step_placement import StepPlacement
from rattanloom.scheduling.worker_choice import accepts_tasks
from rattanloom.scheduling.worker_index import WorkerIndex
from tests.dispatcher_fakes import FakeReceiver, FakeWorker, make_submitted_job
from tests.test_job_router import ManualClock
from tests.test_placer import TOKEN

ENTRY = {
    "service": "s",
    "addr": "127.0.0.1:1",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 1_000},
}


def entry_row(version: int, **fields: object) -> Row:
    value = json.dumps(ENTRY | fields).encode()
    return Row(RowRef("servers", "", "w1"), version, value)


def test_falling_cold_time_is_kept_as_a_fixed_time_and_changes_no_entry():
    changes = []
    clock = ManualClock()
    clock.at_ms = 0
    registry = Registry(clock, lambda: changes.append(1))
    registry.apply_rows([entry_row(1, cold_left_ms=6_000)])
    entry = registry.entries["w1"]
    clock.at_ms = 1_000
    registry.apply_snapshot([entry_row(1, cold_left_ms=6_000)])
    assert registry.cold_until_ms == {"w1": 6_000}, "the row was read before"
    registry.apply_rows([entry_row(2, cold_left_ms=4_500)])
    assert registry.cold_until_ms == {"w1": 5_500}
    assert registry.entries["w1"] is entry
    assert len(changes) == 1
    for invalid in ("x", None, True, float("nan"), -1, 0):
        registry.apply_rows([entry_row(3, cold_left_ms=invalid)])
        assert not registry.cold_until_ms


def make_placer(cold: dict[str, float], workers: int = 3) -> Placer:
    """Return a placer whose workers are ready and never get an order."""
    placer = Placer(
        "p1", ManualClock(), Metrics(), 1_000, lambda entry: None, print, lambda: None
    )
    placer.clock.at_ms = 0
    for number in range(workers):
        placer.add_worker(FakeWorker(f"w{number}").entry(), TOKEN)
    for worker in placer.workers.values():
        worker.closed = True
        worker.state = WorkerState.READY
    placer.start_limits.cold_workers.cold_until_ms = cold
    placer.start_limits.update(placer.workers.values())
    return placer


def choose(placer: Placer, accepting=None):
    """Return the worker chosen for a task, after its start was counted."""
    job = make_job(make_submitted_job(), FakeReceiver(), (), 0)
    if accepting is None:
        accepting = placer.workers.values()
    task = job.tasks[0]
    index = WorkerIndex.of(accepting, placer.start_limits, 0)
    worker = StepPlacement(task, index, PlacementModel(), 0).choose(task)
    if worker is not None:
        placer.start_limits.cold_workers.record_start(worker)
    return worker


def test_cold_worker_gets_tasks_only_if_no_warm_one_has_capacity():
    placer = make_placer({"w0": 1_000}, 2)
    assert choose(placer).worker_id == "w1"
    placer.workers["w1"].paused_until_ms = 100
    assert choose(placer).worker_id == "w0"


def test_cold_worker_gets_its_even_share_with_overshoot_and_slack():
    placer = make_placer({"w0": 1_000})
    cold = placer.start_limits.cold_workers
    workers = placer.workers
    cold.may_start(workers["w0"])
    for _ in range(18):
        cold.record_start(workers["w1"])
    for name in ("w1", "w2"):
        workers[name].paused_until_ms = 100
    starts = 0
    while choose(placer, [workers["w0"]]):
        starts += 1
    # The limit grows with its own starts: 1.5 * (18 + n) / 3 + 5 <= n.
    assert starts == 28
    assert not accepts_tasks(workers["w0"], 0)
    placer.clock.at_ms = 1_000
    assert choose(placer).worker_id == "w0", "a warm worker has no limit"


def test_workers_that_are_all_cold_never_stop_each_other():
    placer = make_placer({f"w{number}": 1_000 for number in range(3)})
    assert all(choose(placer) for _ in range(300))


class RecordedLog:
    """A log whose lines are kept."""

    def __init__(self):
        self.lines = []

    def info(self, event: str, **fields: object) -> None:
        """Record a line."""
        self.lines.append((event, fields))


def test_zone_is_full_again_once_no_worker_of_it_is_cold(monkeypatch):
    log = RecordedLog()
    events = log.lines
    monkeypatch.setattr("rattanloom.placement.start_limits.log", log)
    placer = make_placer({"w0": 5_000})
    limits, workers = placer.start_limits, placer.workers.values()
    limits.evacuated_zones = {"a"}
    limits.update(workers)
    limits.evacuated_zones = set()
    for at_ms in (0, COLD_SEEN_MS + 1, 4_999):
        placer.clock.at_ms = at_ms
        limits.update(workers)
        assert not events
    placer.clock.at_ms = 5_000
    limits.update(workers)
    assert events == [("zone_full_again", {"zone": "a", "after_ms": 5_000})]
