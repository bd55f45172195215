"""Outcomes of jobs as the daemon that has their clients may report them.

A job is refused only if it was never sent to a placer, or if the only placer that may
have had it says that nothing ran.
"""

from zlib import crc32

from attrs import evolve

from rattanloom.ingress.pending_job import PendingJob
from rattanloom.placement.jobs import RETRY_AFTER_MS, JobOutcome, OutcomeKind

# Clients of jobs without a placer are told to return within this time, since every zone
# is served again 3 s after a loss.
RETURN_WITHIN_MS = 3_000


def checked_outcome(
    job: PendingJob, outcome: JobOutcome, placer: str | None = None
) -> JobOutcome:
    """Return an outcome; a refusal as given up if others than ``placer`` had the job.

    The placer that refuses a job may not know yet that others had it since.
    """
    may_have_run = any(node != placer for node in job.former_placers)
    if outcome.kind is OutcomeKind.REFUSED and may_have_run:
        return evolve(outcome, kind=OutcomeKind.GIVEN_UP)
    return outcome


def unplaced_outcome(job: PendingJob, reason: str) -> JobOutcome:
    """Return the outcome of a job that no placer takes.

    The times at which clients return are spread, so that they don't return in one wave.
    """
    job_id = job.submitted.job_id
    spread = crc32(job_id.encode()) / 2**32
    # Clients get whole seconds, rounded up.
    retry_after_ms = max(RETRY_AFTER_MS, round(spread * RETURN_WITHIN_MS))
    refused = JobOutcome(job_id, OutcomeKind.REFUSED, reason, retry_after_ms)
    return checked_outcome(job, refused)
