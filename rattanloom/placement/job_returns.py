"""Hands jobs that can't run in evacuated zones back to the daemons that sent them."""

from collections import defaultdict
from collections.abc import Iterable

from attrs import define, field

from rattanloom.decision_log import DecisionLog
from rattanloom.placement.job_endings import JobEndings
from rattanloom.placement.jobs import ReturnedJob
from rattanloom.placement.runs import PlacedJob, PlacedTask
from rattanloom.placement.start_limits import StartLimits
from rattanloom.placement.workers import Resources
from rattanloom.scheduling.returns import retry_after_ms

log = DecisionLog("placement")

# The service and the label that a task requires.
Kind = tuple[str, str]


@define(eq=False, repr=False)
class WorkerSizes:
    """The different capacities of the workers for one kind of task."""

    in_open_zones: set[Resources] = field(factory=set)
    in_evacuated_zones: set[Resources] = field(factory=set)

    def needs_evacuated(self, need: Resources) -> bool:
        """Return whether only workers in evacuated zones are large enough.

        Without any worker that is, evacuations are not the reason for the wait.
        """
        return not _fits(self.in_open_zones, need) and _fits(
            self.in_evacuated_zones, need
        )


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
        sizes: dict[Kind, WorkerSizes] = {}
        returned: dict[PlacedJob, None] = {}
        for task in waiting:
            job = task.job
            if job in returned or job.may_have_run or job.receiver is None:
                continue
            kind = job.submitted.policy.service, task.step.required_label
            if kind not in sizes:
                sizes[kind] = self._worker_sizes(*kind)
            if sizes[kind].needs_evacuated(task.step.need):
                returned[job] = None
        self._return(sorted(returned, key=_order))

    def _worker_sizes(self, service: str, label: str) -> WorkerSizes:
        sizes = WorkerSizes()
        for worker in self.endings.workers.values():
            entry = worker.entry
            if entry.service == service and (not label or label in entry.labels):
                is_open = self.limits.is_open(worker)
                group = sizes.in_open_zones if is_open else sizes.in_evacuated_zones
                group.add(worker.runs.capacity)
        return sizes

    def _return(self, jobs: Iterable[PlacedJob]) -> None:
        by_receiver = defaultdict(list)
        for job in jobs:
            self.endings.forget(job, "returned", "its workers' zones are evacuated")
            self.endings.submissions.record(job.submission, None)
            by_receiver[job.receiver.node].append(job)
        for jobs_of_receiver in by_receiver.values():
            receiver = jobs_of_receiver[0].receiver
            receiver.take_back(
                tuple(
                    ReturnedJob(
                        job.job_id,
                        job.submits,
                        retry_after_ms(job.job_id, 0, 0),
                        job.submission,
                    )
                    for job in jobs_of_receiver
                )
            )


def _fits(sizes: Iterable[Resources], need: Resources) -> bool:
    return any(size.fits(need) for size in sizes)


def _order(job: PlacedJob) -> tuple[int, float]:
    return job.submitted.policy.priority, job.deadline_ms
