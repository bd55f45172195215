"""Hands jobs that can't run in evacuated zones back to the daemons that sent them."""

from collections import defaultdict
from collections.abc import Iterable

from attrs import define

from rattanloom.decision_log import DecisionLog
from rattanloom.placement.job_endings import JobEndings
from rattanloom.placement.jobs import ReturnedJob
from rattanloom.placement.runs import PlacedJob, PlacedTask
from rattanloom.placement.start_limits import StartLimits
from rattanloom.placement.workers import Resources

log = DecisionLog("placement")

Kind = tuple[str, str, Resources]


@define(eq=False, repr=False)
class JobReturns:
    """Returns waiting jobs whose tasks only workers of evacuated zones can run.

    Only jobs that definitely never ran are returned: no task of them had a run here or
    may have had one elsewhere.
    """

    endings: JobEndings
    limits: StartLimits

    def return_jobs(self, waiting: Iterable[PlacedTask]) -> None:
        """Return the jobs of waiting tasks that can't start before an evacuation ends.

        The most urgent priority goes first, within it the earliest deadline.
        """
        if not self.limits.evacuated_zones:
            return
        has_open_worker: dict[Kind, bool] = {}
        returned: dict[PlacedJob, None] = {}
        for task in waiting:
            job = task.job
            if job in returned or job.may_have_run or job.receiver is None:
                continue
            kind = (
                job.submitted.policy.service,
                task.step.required_label,
                task.step.need,
            )
            if kind not in has_open_worker:
                has_open_worker[kind] = self._has_open_worker(kind)
            if not has_open_worker[kind]:
                returned[job] = None
        self._return(sorted(returned, key=_order))

    def _has_open_worker(self, kind: Kind) -> bool:
        """Return whether an open worker may run such a task, or no worker at all can.

        Without any suitable worker, evacuations are not the reason for the wait.
        """
        service, label, need = kind
        suitable = [
            worker
            for worker in self.endings.workers.values()
            if worker.entry.service == service
            and (not label or label in worker.entry.labels)
            and worker.runs.capacity.fits(need)
        ]
        return not suitable or any(map(self.limits.is_open, suitable))

    def _return(self, jobs: Iterable[PlacedJob]) -> None:
        by_receiver = defaultdict(list)
        for job in jobs:
            self.endings.forget(job, "returned", "its workers' zones are evacuated")
            by_receiver[job.receiver.node].append(job)
        for jobs_of_receiver in by_receiver.values():
            receiver = jobs_of_receiver[0].receiver
            receiver.take_back(
                tuple(
                    ReturnedJob(job.job_id, job.submits, self.endings.retry_after(job))
                    for job in jobs_of_receiver
                )
            )


def _order(job: PlacedJob) -> tuple[int, float]:
    return job.submitted.policy.priority, job.deadline_ms
