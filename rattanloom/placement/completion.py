"""Decides when tasks are done and when their job is reported complete.

No run may be active when a job is reported complete, whichever placer started it and
for whichever post of the job.
"""

from attrs import define

from rattanloom.decision_log import DecisionLog
from rattanloom.placement.job_endings import JobEndings
from rattanloom.placement.jobs import JobOutcome, OutcomeKind
from rattanloom.placement.runs import (
    PlacedJob,
    PlacedTask,
    Run,
    TaskState,
    job_id_of,
    ready_tasks,
)

log = DecisionLog("placement")


@define(eq=False, repr=False)
class JobCompletion:
    """Finishes the tasks and jobs of a placer, whose state ``endings`` refers to."""

    endings: JobEndings

    def finish_done_tasks(self, job: PlacedJob) -> None:
        """Finish the tasks that a run of another placer or of an earlier send has done.

        Only once no other run of them can be active: another placer may have started
        one since. Report the job if it only waited for the end of such runs.
        """
        may_be_done = (
            job.completed_by
            or job.all_done
            or self.endings.inherited_work.has_done_tasks()
        )
        if job.ended or not may_be_done:
            return
        if not self.endings.inherited_work.is_synced(job):
            return
        for task in job.tasks:
            if (
                task.state is not TaskState.DONE
                and self.is_done_elsewhere(task)
                and not self.endings.active_runs[task.name]
            ):
                log.info("task_done_elsewhere", task=task.name)
                self.finish_task(task)
        if job.all_done:
            self._complete_if_inactive(job)

    def _complete_if_inactive(self, job: PlacedJob) -> None:
        """Report a job whose tasks are all done, unless a run of it may be active.

        No run may be active when a job is reported complete, whichever placer started
        it and for whichever send.
        """
        if job.ended or not self.endings.inherited_work.is_synced(job):
            return
        active_runs = self.endings.active_runs_of(job)
        if active_runs:
            if not job.completion_waits:
                log.info("completion_waits", job=job.job_id, active_runs=active_runs)
            job.completion_waits = True
            self.endings.stop_runs(job)
            return
        self.endings.end(job, JobOutcome(job.job_id, OutcomeKind.COMPLETE))

    def is_done_elsewhere(self, task: PlacedTask) -> bool:
        """Return whether a run of another placer or earlier send has done a task."""
        return bool(task.job.completed_by) or self.endings.inherited_work.is_task_done(
            task.name
        )

    def queue_ready_tasks(self, job: PlacedJob) -> None:
        """Queue the tasks whose earlier steps are all done."""
        for task in ready_tasks(job):
            self.endings.waiting.add(task, self.endings.clock.now_ms())

    def finish_task(self, task: PlacedTask) -> None:
        """Record that a task is done; end its job or queue the tasks after it."""
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.DONE
        job = task.job
        job.tasks_left -= 1
        if job.all_done:
            self.endings.inherited_work.record_completed_job(job.job_id)
            self._complete_if_inactive(job)
        else:
            self.queue_ready_tasks(job)

    def requeue(self, task: PlacedTask) -> None:
        """Queue a task whose run has ended, unless it is done by another run."""
        if task.state is not TaskState.DONE:
            self.endings.waiting.add(task, self.endings.clock.now_ms())
        self.finish_done_tasks(task.job)

    def finish_after(self, run: Run) -> None:
        """Finish the tasks and the job that waited for the end of a run."""
        job = self.endings.jobs.get(job_id_of(run.name))
        if job is not None:
            self.finish_done_tasks(job)
