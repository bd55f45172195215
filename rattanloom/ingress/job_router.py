"""Tracks the jobs posted to this daemon, and the placer of each."""

from collections.abc import Callable
from math import inf

from attrs import define, evolve, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.ingress.job_outcomes import checked_outcome, unplaced_outcome
from rattanloom.ingress.pending_job import PendingJob
from rattanloom.links.hub import LinkHub
from rattanloom.links.messages import Cancel, Submit, Withdraw
from rattanloom.metrics import Metrics
from rattanloom.placement.jobs import (
    JobOutcome,
    OutcomeKind,
    ReturnedJob,
    SubmittedJob,
    cancelled_outcome,
)
from rattanloom.placement.placer import Placer
from rattanloom.scheduling.zone_choice import PlacerChoice

log = DecisionLog("ingress")

# How long a new job waits for a reachable placer. A job that had a placer before
# waits until its deadline or ``late_limit_ms``, whichever is earlier.
NO_PLACER_TIMEOUT_MS = 250
# How long a job is not sent again to a placer that rejected it, unless that announces
# zones before: two ticks, so that a restarting placer gets few useless messages.
REJECTED_PAUSE_MS = 100


@define(eq=False, repr=False)
class JobRouter:
    """Submits jobs to placers, and submits them again when the placer changes.

    A job that was sent to a placer before may have run, so it is sent only to the
    current owner of its zone. Sends that were rejected, or that a link lost before
    any of their bytes were written, do not count. ``is_owner`` returns whether a daemon
    owns any zone. ``on_unplaced`` is called for a job that has no placer. ``pending``
    maps job ids to jobs.
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

    def submit(
        self,
        submitted: SubmittedJob,
        is_client_connected: Callable[[], bool] = lambda: True,
    ) -> PendingJob:
        """Submit a job; a later post of a pending one takes it over.

        The connection of the earlier post is lost, though its end may not be seen.
        """
        job = PendingJob(
            submitted,
            self.clock.now_ms(),
            is_client_connected=is_client_connected,
        )
        job_id = submitted.job_id
        known, self.pending[job_id] = self.pending.get(job_id), job
        if known is not None:
            job.take_over(known)
            reason = "its client has posted it again"
            known.result.set(JobOutcome(job_id, OutcomeKind.GIVEN_UP, reason))
        if job.placer is None:
            self._submit_or_end(job)
        else:
            job.sends[job.placer] += 1
            self._send(job, job.placer, job.former_placers)
        return job

    def cancel(self, job: PendingJob) -> None:
        """Cancel a job at its placer and stop tracking it, unless it has ended."""
        if self.pending.get(job.submitted.job_id) is not job:
            return
        job_id, submission = job.submitted.job_id, job.submission
        log.info("job_cancelled", job=job_id, placer=job.placer, submission=submission)
        self._withdraw(job, moved=False)
        del self.pending[job_id]

    def _withdraw(self, job: PendingJob, moved: bool) -> None:
        """Tell the placer of a job that this daemon no longer waits for it there.

        The message goes over each link on which this daemon may be renewing the lease.
        On a closed one, nothing renews it.
        """
        job_id, links, job.links = job.submitted.job_id, job.links, ()
        if job.placer == self.node:
            self.placer.withdraw(job_id, self, moved, job.submission)
        for link in links:
            if link.has_job_leases:
                link.send(Withdraw(job_id, job.submission, moved))
            elif not moved:
                link.send(Cancel(job_id))

    def revoke(self, job_id: str) -> bool:
        """End a job that its client cancelled; return whether it was pending here."""
        job = self.pending.get(job_id)
        if job is None:
            return False
        self.cancel(job)
        self._finish(job, cancelled_outcome(job_id))
        return True

    def give_up_all(self, reason: str) -> None:
        """Give up and cancel all jobs; clients may retry at another daemon.

        Jobs that were never sent are refused.
        """
        for job in list(self.pending.values()):
            self.cancel(job)
            self._finish(job, unplaced_outcome(job, reason))

    def expire(self, job: PendingJob) -> JobOutcome | None:
        """Cancel a job at its deadline; return a refusal if it was never sent."""
        self.cancel(job)
        if job.former_placers:
            return None
        return unplaced_outcome(job, "no placer was reachable in time")

    def has_unplaced(self) -> bool:
        """Return whether some job has no placer."""
        return any(job.placer is None for job in self.pending.values())

    def placers(self) -> set[str]:
        """Return the placers of all jobs, and the owners to which they may go next."""
        jobs = self.pending.values()
        zones = {job.zone for job in jobs if job.zone}
        nodes = {job.placer for job in jobs} | set(
            map(self.placer_choice.owner_of, zones)
        )
        return nodes - {None}

    def renewed_ms(self, job_id: str) -> float:
        """Return now if this daemon's placer has a job; see ``OutcomeReceiver``."""
        job = self.pending.get(job_id)
        is_here = job is not None and job.placer == self.node
        return self.clock.now_ms() if is_here else -inf

    def deliver(self, outcome: JobOutcome) -> None:
        """Record an outcome of the placer in this daemon; see ``OutcomeReceiver``."""
        self.record_outcome(self.node, outcome)

    def record_outcome(
        self, placer: str, outcome: JobOutcome, submission: int = 0
    ) -> None:
        """Record an outcome that the daemon ``placer`` reported.

        From a former placer only a completion counts, since the current placer may
        still run the job. If other placers had the job, the completion is passed on to
        the current one, which reports it once none of its runs of the job is active.
        Of an earlier post of the job, too, only a completion counts. ``submission`` is
        that of the post, 0 if it is not known.
        """
        job = self.pending.get(outcome.job_id)
        if job is None:
            return
        is_complete = outcome.kind is OutcomeKind.COMPLETE
        if submission not in (0, job.submission) and not is_complete:
            self._log_outcome("outcome_of_earlier_post", job, placer, outcome)
            return
        if job.placer == placer or (is_complete and job.former_placers == (placer,)):
            if job.former_placers != (placer,):
                self._log_outcome("outcome_of_moved_job", job, placer, outcome)
            self._finish(job, checked_outcome(job, outcome, placer))
            return
        self._log_outcome("outcome_of_former_placer", job, placer, outcome)
        if is_complete and not job.completed_by:
            job.completed_by = placer
            if job.placer is not None:
                job.sends[job.placer] += 1
                self._send(job, job.placer, job.former_placers)

    def _log_outcome(
        self, event: str, job: PendingJob, reporter: str, outcome: JobOutcome
    ) -> None:
        """Log an outcome of a job that several placers may have started."""
        log.info(
            event,
            job=outcome.job_id,
            outcome=outcome.kind.value,
            reporter=reporter,
            placer=job.placer,
            former_placers=job.former_placers,
            completed_by=job.completed_by,
        )

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
            job = self._pending_submission(returned.job_id, returned.submission)
            is_current = (
                job is not None
                and job.placer == placer
                and job.former_placers == (placer,)
                and job.sends[placer] == returned.submits
            )
            if not is_current:
                continue
            log.info("job_returned", job=returned.job_id, placer=placer, zone=job.zone)
            self.metrics.count("jobs_taken_back")
            job.take_back(placer, self.clock.now_ms())
            self._submit_or_end(job)

    def on_evacuations_changed(self) -> None:
        """Send or refuse the jobs without a placer, after evacuated zones changed."""
        self.tick()

    def on_placers_changed(self) -> None:
        """Submit jobs again unless their placer is reachable and owns a zone."""
        for job in list(self.pending.values()):
            if not self._has_reachable_placer(job):
                self._submit_to_placer(job)
                if job.placer is None:
                    self.on_unplaced()

    def on_placer_lost(self, node: str) -> None:
        """Unassign the jobs of a placer to which the link was lost."""
        for job in self.pending.values():
            if job.placer == node:
                job.placer = None

    def on_rejected(self, node: str, job_id: str, submission: int = 0) -> None:
        """Submit a job to the next placer after a daemon without zones rejected it."""
        job = self._pending_submission(job_id, submission)
        if job is None:
            return
        job.forget_send(node)
        job.rejected_ms[node] = self.clock.now_ms()
        log.info("job_rejected", job=job_id, placer=node, sends=job.sends[node])
        if job.placer is None:
            self._submit_or_end(job)

    def _pending_submission(self, job_id: str, submission: int) -> PendingJob | None:
        """Return the pending job of a submission; 0 stands for that of any post."""
        job = self.pending.get(job_id)
        if job is not None and submission not in (0, job.submission):
            return None
        return job

    def on_not_sent(self, node: str, job_id: str, submission: int = 0) -> None:
        """Undo a send to a placer whose link was lost before anything was written."""
        job = self._pending_submission(job_id, submission)
        if job is not None:
            job.forget_send(node)

    def on_zones_announced(self, node: str, owns_zones: bool) -> None:
        """Submit jobs again after a daemon, possibly this one, announced its zones.

        One that owns none has dropped its jobs, also if it acquires zones again before
        this daemon reads the records of the owners.
        """
        for job in self.pending.values():
            if owns_zones:
                job.rejected_ms.pop(node, None)
            elif job.placer == node:
                job.placer = None
                job.rejected_ms[node] = self.clock.now_ms()
        self.on_placers_changed()

    def tick(self) -> None:
        """Submit jobs that have no placer; end those that waited too long.

        Their outcome is GIVEN_UP if they were ever sent to a placer, else REFUSED.
        """
        for job in list(self.pending.values()):
            if job.placer is None:
                self._submit_or_end(job)

    def _submit_or_end(self, job: PendingJob) -> None:
        """Submit a job; end it if it waited too long or all zones are evacuated."""
        self._submit_to_placer(job)
        if job.placer is not None:
            return
        is_open = job.former_placers or self.placer_choice.may_reach_other(
            job.returned_by
        )
        if not is_open:
            self._withdraw(job, moved=False)
            self.metrics.count("jobs_refused", "evacuation")
            reason = "the zones of its workers are evacuated"
            self._finish(job, unplaced_outcome(job, reason))
        elif self.clock.now_ms() > self._give_up_at_ms(job):
            self._withdraw(job, moved=False)
            self._finish(job, unplaced_outcome(job, "no placer is reachable"))
        else:
            self.on_unplaced()

    def _has_reachable_placer(self, job: PendingJob) -> bool:
        node = job.placer
        if node is None or not self.is_owner(node):
            return False
        return node == self.node or self.hub.link(node) is not None

    def _give_up_at_ms(self, job: PendingJob) -> float:
        limits_ms = [job.submitted.remaining_ms, job.submitted.late_limit_ms]
        if not job.former_placers:
            limits_ms.append(job.unplaced_ms - job.arrived_ms + NO_PLACER_TIMEOUT_MS)
        return job.arrived_ms + min(limits_ms)

    def _submit_to_placer(self, job: PendingJob) -> None:
        """Submit a job to a reachable placer; do nothing if there is none.

        A job past its deadline or without its client is not submitted, which happens
        after a suspension of this daemon: its client may have sent it to another one
        since.
        """
        now_ms = self.clock.now_ms()
        is_overdue = now_ms >= job.arrived_ms + job.submitted.remaining_ms
        if is_overdue or not job.is_client_connected():
            return
        excluded = {
            node
            for node, rejected_ms in job.rejected_ms.items()
            if now_ms < rejected_ms + REJECTED_PAUSE_MS
        }
        if job.former_placers:
            chosen = self.placer_choice.current_owner(job.zone)
        else:
            chosen = self.placer_choice.choose(
                job.submitted,
                excluded.union(job.returned_by),
                now_ms - job.arrived_ms,
            )
        if chosen is None or chosen.node in excluded:
            return
        if chosen.node != self.node and self.hub.link(chosen.node) is None:
            return
        former, placer_before = job.former_placers, job.placer
        last_node = job.links[0].peer.node if job.links else placer_before
        if last_node not in (None, chosen.node):
            self._withdraw(job, moved=True)
        job.assign_placer(chosen)
        log.info(
            "job_handed_over",
            job=job.submitted.job_id,
            submission=job.submission,
            placer=chosen.node,
            zone=chosen.zone,
            reason=chosen.reason.value,
            placer_before=placer_before,
            former_placers=former,
            waited_ms=round(now_ms - job.arrived_ms),
            remaining_ms=round(job.arrived_ms + job.submitted.remaining_ms - now_ms),
        )
        self._send(job, chosen.node, former)

    def _send(
        self, job: PendingJob, placer: str, former_placers: tuple[str, ...]
    ) -> None:
        """Send a job to a placer, with the times of now; drop it without a link."""
        waited_ms = self.clock.now_ms() - job.arrived_ms
        remaining_ms = job.submitted.remaining_ms - waited_ms
        submitted = evolve(
            job.submitted, remaining_ms=remaining_ms, waited_ms=waited_ms
        )
        if placer == self.node:
            self.placer.submit(
                self, submitted, former_placers, job.completed_by, job.submission
            )
        else:
            link = self.hub.link(placer)
            if link is not None:
                if link not in job.links:
                    job.links = (*job.links, link)
                link.send(
                    Submit(submitted, former_placers, job.completed_by, job.submission)
                )
