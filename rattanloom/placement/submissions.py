"""How submissions ended at a placer, so that late copies of them start nothing."""

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.placement.jobs import JobOutcome
from rattanloom.placement.runs import OutcomeReceiver

log = DecisionLog("placement")

# Longer than a link can hold a copy up: it is closed after 450 ms without data.
KEPT_MS = 5_000


@define(eq=False, repr=False)
class EndedSubmissions:
    """Remembers the outcomes of submissions for ``KEPT_MS``.

    A daemon sends a job again after its link to the placer was replaced. A copy on the
    older link may arrive after the job was refused, cancelled or handed back. The
    outcome is None if the daemon does not wait for one.
    """

    clock: Clock
    _ended: dict[int, tuple[JobOutcome | None, float]] = field(factory=dict)

    def record(self, submission: int, outcome: JobOutcome | None) -> None:
        """Record the end of a submission; 0, from older builds, identifies none."""
        if submission:
            self._ended[submission] = (outcome, self.clock.now_ms())

    def is_late_copy(
        self,
        receiver: OutcomeReceiver,
        job_id: str,
        former_placers: tuple[str, ...],
        submission: int,
    ) -> bool:
        """Return whether a submission has ended here; deliver its outcome again.

        A job that was handed back has former placers if it is sent here again.
        """
        if submission not in self._ended:
            return False
        outcome, _ = self._ended[submission]
        if outcome is None and former_placers:
            return False
        log.info("late_submission_ignored", job=job_id)
        if outcome is not None:
            receiver.deliver(outcome)
        return True

    def remove_expired(self, now_ms: float) -> None:
        """Forget the submissions that ended more than ``KEPT_MS`` ago."""
        for submission, (_, ended_ms) in list(self._ended.items()):
            if now_ms <= ended_ms + KEPT_MS:
                break
            del self._ended[submission]
