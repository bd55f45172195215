"""Jobs return all outputs, and every task starts at most once."""

from collections import Counter

from gevent.event import Event

from rattanloom.errors import ErrorKind, Ran
from rattanloom.job import ResultKind, Task
from rattanloom.rules import KindRule, Rules
from tests.dispatch_utils import job, task, until, worker_bench


def test_complete_job_returns_all_outputs_in_order():
    with worker_bench(workers=2, slots=2) as bench:
        result = bench.run(job(*(task(answer=str(n)) for n in range(12))))
        assert result.outcome is ResultKind.COMPLETE
        assert result.outputs == tuple(str(n) for n in range(12))
        starts = Counter((start.job_id, start.task) for start in bench.starts())
        assert set(starts.values()) == {1}


def test_failing_task_fails_the_job_at_once_and_stops_other_tasks():
    with worker_bench(workers=1, slots=2) as bench:
        failing = Task("proof", '{"ms": 1, "fail": "bad photograph"}', run_ms=1)
        result = bench.run(job(task(ms=60_000), failing, task(), task()), 60_000)
        assert result.outcome is ResultKind.FAILED
        assert result.failed_task == 1
        assert result.failure.kind is ErrorKind.TASK_FAILED
        assert "bad photograph" in result.failure.reason
        until(lambda: not bench.queue.taken)
        assert {start.task for start in bench.starts()} == {0, 1}


def test_cancelled_job_stops_and_reports_whether_it_may_have_run():
    with worker_bench(workers=1, slots=1) as bench:
        first_cancel, second_cancel = Event(), Event()
        first = bench.run_later(job(task(60_000)), 60_000, first_cancel)
        until(bench.starts)
        second = bench.run_later(job(task(), job_id="j2"), 60_000, second_cancel)
        until(lambda: bench.queue.waiting)
        second_cancel.set()
        assert second.get().failure.effective_ran is Ran.NOT_RUN
        first_cancel.set()
        assert first.get().failure.effective_ran is Ran.MAY_HAVE_RUN
        until(lambda: not bench.queue.taken)
        assert len(bench.starts()) == 1


def test_ticket_admitted_after_a_refusal_uses_new_attempt_identifiers():
    with worker_bench(workers=1, slots=1) as bench:
        busy = bench.run_later(job(task(60_000), job_id="busy"), 60_000)
        until(bench.starts)
        refused = bench.run(job(task()), deadline_ms=1)
        assert refused.outcome is ResultKind.REFUSED
        worker = next(iter(bench.workers.values()))
        # Fences the identifiers that lack the number of the run or repeat the first.
        worker.attempts.stop("j1.0.1")
        worker.attempts.stop("j1.0.1.1")
        worker.attempts.stop("busy.0.1.1")
        worker.attempts.stop("busy.0.1")
        busy.get()
        bench.rules = Rules(kinds={"proof": KindRule(retries_max=0)})
        assert bench.run(job(task())).outcome is ResultKind.COMPLETE
