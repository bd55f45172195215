"""The jobs whose clients wait at this daemon, and the placers that have them."""

from collections.abc import Callable

from attrs import define, evolve, field
from gevent.event import AsyncResult

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.ingress.placer_choice import ChosenPlacer, PlacerChoice
from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import Cancel, Submit
from rattanloom.placement.placer import Placer
from rattanloom.placement.work import RETRY_AFTER_MS, JobOutcome, OutcomeKind, WorkJob

log = DecisionLog("ingress")

# While a new owner takes over, a job is kept as long as it may still be on time.
NO_PLACER_TIMEOUT_MS = 250


@define(eq=False, repr=False)
class PendingJob:
    """A job whose client waits; ``placer`` names the daemon that has it.

    ``zone`` is the zone whose workers it was given to.
    """

    work: WorkJob
    arrived_ms: float
    result: AsyncResult = field(factory=AsyncResult)
    placer: str | None = None
    zone: str = ""
    former_placers: tuple[str, ...] = ()

    def assign_placer(self, chosen: ChosenPlacer) -> None:
        """Note to which placer the job goes."""
        self.placer, self.zone = chosen.node, chosen.zone
        if chosen.node not in self.former_placers:
            self.former_placers = (*self.former_placers, chosen.node)


@define(eq=False, repr=False)
class JobRouter:
    """Hands jobs to the placer, and hands them on when the placer changes.

    A job that may run goes only to the successor of the placer that had it.
    """

    node: str
    clock: Clock
    hub: LinkHub
    placer: Placer
    choice: PlacerChoice
    is_placer: Callable[[str], bool]
    pending: dict[str, PendingJob] = field(factory=dict)

    def submit(self, work: WorkJob) -> PendingJob:
        """Hand a job to the placer; its outcome arrives in ``result``."""
        known = self.pending.get(work.job_id)
        if known is not None:
            return known
        job = PendingJob(work, self.clock.now_ms())
        self.pending[work.job_id] = job
        self._submit_to_placer(job)
        return job

    def cancel(self, job: PendingJob) -> None:
        """End a job whose client has gone."""
        self.pending.pop(job.work.job_id, None)
        log.info("job_cancelled", job=job.work.job_id, placer=job.placer)
        if job.placer == self.node:
            self.placer.cancel(job.work.job_id)
        elif job.placer is not None:
            link = self.hub.link(job.placer)
            if link is not None:
                link.send(Cancel(job.work.job_id))

    def give_up_all(self, reason: str) -> None:
        """Answer every job that is left; its client may come again elsewhere."""
        for job in list(self.pending.values()):
            self.cancel(job)
            kind = OutcomeKind.GIVEN_UP
            self._end(job, JobOutcome(job.work.job_id, kind, reason, RETRY_AFTER_MS))

    def deliver(self, outcome: JobOutcome) -> None:
        """Take the end of a job from the own placer."""
        self.record_outcome(self.node, outcome)

    def record_outcome(self, placer: str, outcome: JobOutcome) -> None:
        """Take the end of a job from a placer.

        A placer that had the job before may still tell that it is done, but not
        that it did not run.
        """
        job = self.pending.get(outcome.job_id)
        if job is None:
            return
        if job.placer != placer:
            if outcome.kind is not OutcomeKind.COMPLETE:
                return
            self.cancel(job)
        self._end(job, outcome)

    def _end(self, job: PendingJob, outcome: JobOutcome) -> None:
        self.pending.pop(job.work.job_id, None)
        job.result.set(outcome)

    def on_placers_changed(self) -> None:
        """Hand on the jobs whose placer is lost or places no more."""
        for job in list(self.pending.values()):
            if not self._has_reachable_placer(job):
                self._submit_to_placer(job)

    def on_placer_lost(self, node: str) -> None:
        """Note that a placer's jobs are without one until another is known."""
        for job in self.pending.values():
            if job.placer == node:
                job.placer = None

    def tick(self) -> None:
        """Refuse the jobs that found no placer."""
        now_ms = self.clock.now_ms()
        for job in list(self.pending.values()):
            if job.placer is not None:
                continue
            self._submit_to_placer(job)
            if job.placer is None and now_ms > self._give_up_at_ms(job):
                kind = (
                    OutcomeKind.GIVEN_UP if job.former_placers else OutcomeKind.REFUSED
                )
                reason = "no placer can be reached"
                outcome = JobOutcome(job.work.job_id, kind, reason, RETRY_AFTER_MS)
                self._end(job, outcome)

    def _has_reachable_placer(self, job: PendingJob) -> bool:
        node = job.placer
        if node is None or not self.is_placer(node):
            return False
        return node == self.node or self.hub.link(node) is not None

    def _give_up_at_ms(self, job: PendingJob) -> float:
        if not job.former_placers:
            return job.arrived_ms + NO_PLACER_TIMEOUT_MS
        deadline_ms = job.arrived_ms + job.work.remaining_ms
        useful_ms = job.arrived_ms + job.work.late_ms
        return min(deadline_ms, useful_ms)

    def _submit_to_placer(self, job: PendingJob) -> None:
        """Hand a job to a placer that can be reached, if there is one."""
        if job.former_placers:
            chosen = self.choice.successor(job.zone)
        else:
            chosen = self.choice.choose(job.work.need_millicores)
        if chosen is None:
            return
        link = self.hub.link(chosen.node)
        if link is None and chosen.node != self.node:
            return
        waited_ms = self.clock.now_ms() - job.arrived_ms
        remaining_ms = job.work.remaining_ms - waited_ms
        work = evolve(job.work, remaining_ms=remaining_ms, waited_ms=waited_ms)
        log.info(
            "job_handed_over",
            job=work.job_id,
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
            self.placer.submit(self, work, former)
        else:
            link.send(Submit(work, former))
