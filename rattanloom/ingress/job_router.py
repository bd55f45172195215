"""Tracks the jobs posted to this daemon, and the placer of each."""

from collections.abc import Callable

from attrs import define, evolve, field
from gevent.event import AsyncResult

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import Cancel, Submit
from rattanloom.placement.jobs import (
    RETRY_AFTER_MS,
    JobOutcome,
    OutcomeKind,
    SubmittedJob,
)
from rattanloom.placement.placer import Placer
from rattanloom.scheduling.zone_choice import ChosenPlacer, PlacerChoice

log = DecisionLog("ingress")

# How long a new job waits for a reachable placer. A job that had a placer before
# waits until its deadline or ``late_limit_ms``, whichever is earlier.
NO_PLACER_TIMEOUT_MS = 250


@define(eq=False, repr=False)
class PendingJob:
    """A job whose client waits for the outcome.

    ``placer`` is the daemon to which the job was sent, ``zone`` the zone whose
    workers run it. ``former_placers`` are all daemons to which it was ever sent, in
    order, including the current one. ``result`` is set to the outcome, or to None if
    the client disconnects.
    """

    submitted: SubmittedJob
    arrived_ms: float
    result: AsyncResult = field(factory=AsyncResult)
    placer: str | None = None
    zone: str = ""
    former_placers: tuple[str, ...] = ()

    def assign_placer(self, chosen: ChosenPlacer) -> None:
        """Record the placer to which the job is about to be sent."""
        self.placer, self.zone = chosen.node, chosen.zone
        if chosen.node not in self.former_placers:
            self.former_placers = (*self.former_placers, chosen.node)


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
    pending: dict[str, PendingJob] = field(factory=dict)

    def submit(self, submitted: SubmittedJob) -> PendingJob:
        """Submit a job; return the pending one if its id is already known."""
        known = self.pending.get(submitted.job_id)
        if known is not None:
            return known
        job = PendingJob(submitted, self.clock.now_ms())
        self.pending[submitted.job_id] = job
        self._submit_to_placer(job)
        if job.placer is None:
            self.on_unplaced()
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
            return job.arrived_ms + NO_PLACER_TIMEOUT_MS
        deadline_at_ms = job.arrived_ms + job.submitted.remaining_ms
        late_limit_at_ms = job.arrived_ms + job.submitted.late_limit_ms
        return min(deadline_at_ms, late_limit_at_ms)

    def _submit_to_placer(self, job: PendingJob) -> None:
        """Submit a job to a reachable placer; do nothing if there is none."""
        if job.former_placers:
            chosen = self.placer_choice.current_owner(job.zone)
        else:
            chosen = self.placer_choice.choose(job.submitted)
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
            reason=chosen.reason.value,
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
