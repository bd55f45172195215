"""Tracks the jobs posted to this daemon, and the placer of each."""

from collections.abc import Callable

from attrs import Factory, define, evolve, field
from gevent.event import AsyncResult

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.ingress.placer_choice import ChosenPlacer, PlacerChoice
from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import Cancel, Submit
from rattanloom.metrics import Metrics
from rattanloom.placement.jobs import (
    RETRY_AFTER_MS,
    JobOutcome,
    OutcomeKind,
    ReturnedJob,
    SubmittedJob,
)
from rattanloom.placement.overload import retry_after_ms
from rattanloom.placement.placer import Placer

log = DecisionLog("ingress")

# How long a new job waits for a reachable placer. A job that had a placer before
# waits until its deadline or ``late_limit_ms``, whichever is earlier.
NO_PLACER_TIMEOUT_MS = 250


@define(eq=False, repr=False)
class PendingJob:
    """A job whose client waits for the outcome.

    ``placer`` is the daemon to which the job was sent, ``zone`` the zone whose
    workers run it. ``former_placers`` are all daemons to which it was ever sent, in
    order, including the current one, except ``returned_by``, which handed the job back
    unstarted. ``submits`` counts the sends to the current placer, also before a lost
    link. ``unplaced_ms`` is since when a job that no placer has waits for one.
    ``result`` is set to the outcome, or to None if the client disconnects.
    """

    submitted: SubmittedJob
    arrived_ms: float
    result: AsyncResult = field(factory=AsyncResult)
    placer: str | None = None
    zone: str = ""
    former_placers: tuple[str, ...] = ()
    returned_by: tuple[str, ...] = ()
    submits: int = 0
    unplaced_ms: float = field(
        default=Factory(lambda job: job.arrived_ms, takes_self=True)
    )

    def assign_placer(self, chosen: ChosenPlacer) -> None:
        """Record the placer to which the job is about to be sent."""
        self.submits += 1
        self.placer, self.zone = chosen.node, chosen.zone
        if chosen.node not in self.former_placers:
            self.former_placers = (*self.former_placers, chosen.node)

    def take_back(self, placer: str, now_ms: float) -> None:
        """Record that the only placer that ever had the job handed it back."""
        self.placer, self.zone, self.submits = None, "", 0
        self.former_placers, self.unplaced_ms = (), now_ms
        self.returned_by = (*self.returned_by, placer)


@define(eq=False, repr=False)
class JobRouter:
    """Submits jobs to placers, and submits them again when the placer changes.

    A job that was sent to a placer before may have run, so it is sent only to the
    current owner of its zone. ``is_owner`` returns whether a daemon owns any zone.
    ``on_unplaced`` is called for a job that has no placer yet. ``pending`` maps job ids
    to jobs.
    """

    node: str
    clock: Clock
    hub: LinkHub
    placer: Placer
    placer_choice: PlacerChoice
    is_owner: Callable[[str], bool]
    on_unplaced: Callable[[], None]
    metrics: Metrics = field(factory=Metrics)
    pending: dict[str, PendingJob] = field(factory=dict)

    def submit(self, submitted: SubmittedJob) -> PendingJob:
        """Submit a job; return the pending one if its id is already known."""
        known = self.pending.get(submitted.job_id)
        if known is not None:
            return known
        job = PendingJob(submitted, self.clock.now_ms())
        self.pending[submitted.job_id] = job
        self._submit_or_refuse(job)
        return job

    def cancel(self, job: PendingJob) -> None:
        """Cancel a job at its placer and stop tracking it."""
        self.pending.pop(job.submitted.job_id, None)
        log.info("job_cancelled", job=job.submitted.job_id, placer=job.placer)
        if job.placer == self.node:
            self.placer.cancel(job.submitted.job_id)
        elif job.placer is not None:
            link = self.hub.link(job.placer)
            if link is not None:
                link.send(Cancel(job.submitted.job_id))

    def give_up_all(self, reason: str) -> None:
        """Give up and cancel all jobs; clients may retry at another daemon."""
        for job in list(self.pending.values()):
            self.cancel(job)
            kind = OutcomeKind.GIVEN_UP
            self._finish(
                job, JobOutcome(job.submitted.job_id, kind, reason, RETRY_AFTER_MS)
            )

    def deliver(self, outcome: JobOutcome) -> None:
        """Record an outcome of the placer in this daemon; see ``OutcomeReceiver``."""
        self.record_outcome(self.node, outcome)

    def record_outcome(self, placer: str, outcome: JobOutcome) -> None:
        """Record an outcome that the daemon ``placer`` reported.

        From a former placer only a completion counts, since the current placer may
        still run the job.
        """
        job = self.pending.get(outcome.job_id)
        if job is None:
            return
        if job.placer != placer:
            if outcome.kind is not OutcomeKind.COMPLETE:
                return
            self.cancel(job)
        self._finish(job, outcome)

    def _finish(self, job: PendingJob, outcome: JobOutcome) -> None:
        self.pending.pop(job.submitted.job_id, None)
        job.result.set(outcome)

    def take_back(self, jobs: tuple[ReturnedJob, ...]) -> None:
        """Handle jobs that this daemon's placer returned; see ``OutcomeReceiver``."""
        self.on_jobs_returned(self.node, jobs)

    def on_jobs_returned(self, placer: str, jobs: tuple[ReturnedJob, ...]) -> None:
        """Send the jobs that ``placer`` handed back to other placers, or refuse them.

        A return is ignored if the job was sent again since: that placer may have it.
        """
        for returned in jobs:
            job = self.pending.get(returned.job_id)
            is_current = (
                job is not None
                and job.placer == placer
                and job.former_placers == (placer,)
                and job.submits == returned.submits
            )
            if not is_current:
                continue
            log.info("job_returned", job=returned.job_id, placer=placer, zone=job.zone)
            self.metrics.count("jobs_taken_back")
            job.take_back(placer, self.clock.now_ms())
            self._submit_or_refuse(job)

    def on_evacuations_changed(self) -> None:
        """Send or refuse the jobs without a placer, after evacuated zones changed."""
        for job in list(self.pending.values()):
            if job.placer is None:
                self._submit_or_refuse(job)

    def _submit_or_refuse(self, job: PendingJob) -> None:
        """Submit a job, or refuse it if only evacuated zones are left for it."""
        self._submit_to_placer(job)
        if job.placer is not None:
            return
        if job.former_placers or self.placer_choice.may_reach_other(job.returned_by):
            self.on_unplaced()
            return
        self.metrics.count("jobs_refused", "evacuation")
        job_id = job.submitted.job_id
        reason = "the zones of its workers are evacuated"
        retry_ms = retry_after_ms(job_id, 0, 0)
        self._finish(job, JobOutcome(job_id, OutcomeKind.REFUSED, reason, retry_ms))

    def on_placers_changed(self) -> None:
        """Submit jobs again unless their placer is reachable and owns a zone."""
        for job in list(self.pending.values()):
            if not self._has_reachable_placer(job):
                self._submit_to_placer(job)

    def on_placer_lost(self, node: str) -> None:
        """Unassign the jobs of a placer to which the link was lost."""
        for job in self.pending.values():
            if job.placer == node:
                job.placer = None

    def tick(self) -> None:
        """Submit jobs that have no placer; end those that waited too long.

        Their outcome is GIVEN_UP if they were ever sent to a placer, else REFUSED.
        """
        now_ms = self.clock.now_ms()
        for job in list(self.pending.values()):
            if job.placer is not None:
                continue
            self._submit_to_placer(job)
            if job.placer is None and now_ms > self._give_up_at_ms(job):
                kind = (
                    OutcomeKind.GIVEN_UP if job.former_placers else OutcomeKind.REFUSED
                )
                reason = "no placer is reachable"
                outcome = JobOutcome(job.submitted.job_id, kind, reason, RETRY_AFTER_MS)
                self._finish(job, outcome)

    def _has_reachable_placer(self, job: PendingJob) -> bool:
        node = job.placer
        if node is None or not self.is_owner(node):
            return False
        return node == self.node or self.hub.link(node) is not None

    def _give_up_at_ms(self, job: PendingJob) -> float:
        if not job.former_placers:
            return job.unplaced_ms + NO_PLACER_TIMEOUT_MS
        deadline_at_ms = job.arrived_ms + job.submitted.remaining_ms
        late_limit_at_ms = job.arrived_ms + job.submitted.late_limit_ms
        return min(deadline_at_ms, late_limit_at_ms)

    def _submit_to_placer(self, job: PendingJob) -> None:
        """Submit a job to a reachable placer; do nothing if there is none."""
        if job.former_placers:
            chosen = self.placer_choice.current_owner(job.zone)
        else:
            chosen = self.placer_choice.choose(
                job.submitted.need_millicores, job.returned_by
            )
        if chosen is None:
            return
        link = self.hub.link(chosen.node)
        if link is None and chosen.node != self.node:
            return
        waited_ms = self.clock.now_ms() - job.arrived_ms
        remaining_ms = job.submitted.remaining_ms - waited_ms
        submitted = evolve(
            job.submitted, remaining_ms=remaining_ms, waited_ms=waited_ms
        )
        log.info(
            "job_handed_over",
            job=submitted.job_id,
            placer=chosen.node,
            zone=chosen.zone,
            placer_before=job.placer,
            former_placers=job.former_placers,
            waited_ms=round(waited_ms),
            remaining_ms=round(remaining_ms),
        )
        former = job.former_placers
        job.assign_placer(chosen)
        if chosen.node == self.node:
            self.placer.submit(self, submitted, former)
        else:
            link.send(Submit(submitted, former))
