"""A notice of 2 s for 14% of the workers, replayed with and without stopped runs."""

from collections.abc import Callable

from attrs import define, evolve

from rattanloom.metrics import Metrics
from rattanloom.placement.leaving_workers import stop_leaving_runs
from rattanloom.placement.runs import PlacedTask, Run, RunPhase
from rattanloom.scheduling.leaving import NOTICE_MIN_MS, STOP_MS
from tests import load_replay
from tests.load_replay import TICK_MS, Kind, LoadReplay, ModelWorker

LEAVING_SHARE = 0.14
LEASE_MS = 920


@define(eq=False)
class LeavingWorker(ModelWorker):
    """A worker whose runs can be stopped."""

    on_stop: Callable[[ModelWorker, Run], None] = lambda worker, run: None

    def stop(self, run: Run) -> None:
        """Stop a run."""
        run.phase = RunPhase.STOPPING
        self.on_stop(self, run)


class NoticeReplay(LoadReplay):
    """Counts the runs that are stopped, and those that are lost with their workers."""

    stopped = lost = 0

    def give_notice(self, stops_runs: bool) -> None:
        leaves_at_ms = self.now_ms + NOTICE_MIN_MS
        for number in range(round(LEAVING_SHARE * len(self.pool))):
            known = self.pool[number]
            entry = evolve(known.entry, accepting=False, leaves_at_ms=leaves_at_ms)
            worker = LeavingWorker(entry, known.runs, on_stop=self._plan_end)
            self.pool[number] = worker
            self.index.remove(known)
            self.follow(worker)
            self.at(leaves_at_ms, self._leave, worker)
        for delay_ms in range(0, NOTICE_MIN_MS * stops_runs, TICK_MS):
            self.at(self.now_ms + delay_ms, self._stop_runs)

    def _stop_runs(self) -> None:
        for worker in self.pool:
            for run in worker.runs.all():
                duration_ms = self._played[run.task.job.job_id].duration_ms
                run.percent = int(100 * (self.now_ms - run.ordered_ms) / duration_ms)
        self.stopped += stop_leaving_runs(
            self.index, self.waiting, Metrics(), self.now_ms
        )

    def _plan_end(self, worker: ModelWorker, run: Run) -> None:
        self.at(self.now_ms + STOP_MS, self._end_stopped, worker, run)

    def _end_stopped(self, worker: ModelWorker, run: Run) -> None:
        if worker.runs.remove(run):
            self._queue_again(run.task)

    def _leave(self, worker: ModelWorker) -> None:
        for run in worker.runs.all():
            self.lost += 1
            worker.runs.remove(run)
            self.at(self.now_ms + LEASE_MS, self._queue_again, run.task)

    def _queue_again(self, task: PlacedTask) -> None:
        if not task.job.ended:
            self.waiting.add(task, self.now_ms)


def play(stops_runs, load, workers, length_ms):
    """Return the mean score of a job, and the numbers of stopped and lost runs."""
    asked, score, stopped, lost = 0, 0.0, 0, 0
    for seed in range(1, 5):
        replay = NoticeReplay(lambda name, at_ms: load, True, workers, length_ms, seed)
        replay.at(length_ms / 2.5, replay.give_notice, stops_runs)
        results = replay.run()
        asked += results.asked
        score += results.on_time + 0.2 * results.late
        stopped += replay.stopped
        lost += replay.lost
    return score / asked, stopped, lost


def test_jobs_of_short_tasks_lose_no_run_if_a_worker_leaves_with_notice():
    without, with_stops = (play(stops, 1.0, 30, 6_000) for stops in (False, True))
    assert without == with_stops
    assert with_stops[1:] == (0, 0)


def test_jobs_of_long_tasks_end_sooner_if_their_runs_are_stopped(monkeypatch):
    monkeypatch.setattr(load_replay, "KINDS", {"long": Kind(4, 6_000, 1.0, 1.0)})
    monkeypatch.setattr(load_replay, "CLIENT_WAITS_MS", 60_000)
    without, with_stops = (play(stops, 0.95, 59, 30_000) for stops in (False, True))
    assert without[2] > 0
    assert with_stops[2] == 0
    assert with_stops[0] > without[0]
