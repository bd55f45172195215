"""Answers that the job service makes itself, with exact words on the start."""

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobResult, ResultKind

_ISSUER_ADVICE = {
    ErrorKind.HOME_GONE: "the process that held this job is gone; it never starts "
    "again; take a new ticket only if running it twice is harmless",
    ErrorKind.HOME_UNREACHABLE: "the entry host that holds this job cannot be "
    "reached; resubmit the same ticket later",
    ErrorKind.LEAVING: "resubmit the same ticket to another entry host",
}


def refused(job_id: str, failure: Failure) -> JobResult:
    """Return a refusal; one that may have run becomes an unknown outcome."""
    if failure.ran_word is Ran.NOT_RUN:
        return JobResult(job_id, ResultKind.REFUSED, failure=failure)
    return JobResult(job_id, ResultKind.UNKNOWN, failure=failure)


def issuer_failed(job_id: str, failure: Failure) -> JobResult:
    """Return the answer where the ticket's home did not answer.

    An earlier submission of the same ticket may have reached the home, so the
    job may have run even where no byte of this one was handed over.
    """
    advice = _ISSUER_ADVICE.get(failure.kind, "resubmit the same ticket later")
    told = Failure(
        failure.kind,
        f"{failure.reason}; {advice}",
        failure.retry_after_ms,
        Ran.MAY_HAVE_RUN,
    )
    return JobResult(job_id, ResultKind.UNKNOWN, failure=told)


def cancelled_before_start(job_id: str) -> JobResult:
    """Return the answer to the cancellation of a job that never started."""
    return refused(
        job_id,
        Failure(
            ErrorKind.CANCELLED,
            "cancelled before any task started; it never will start",
            ran=Ran.NOT_RUN,
        ),
    )


def not_submitted(job_id: str) -> JobResult:
    """Return the answer to a question about a ticket not yet used."""
    return JobResult(
        job_id,
        ResultKind.UNKNOWN,
        failure=Failure(
            ErrorKind.NOT_FOUND,
            "no submission of this ticket was admitted so far; resubmit it, or "
            "cancel it to make sure that it never runs",
            ran=Ran.MAY_HAVE_RUN,
        ),
    )


def still_running(job_id: str) -> JobResult:
    """Return the answer to a caller whose deadline passed while the job runs."""
    return JobResult(
        job_id,
        ResultKind.UNKNOWN,
        failure=Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            "the deadline passed before the job's end; ask again for its answer",
        ),
    )


def dispatch_failed(job_id: str) -> JobResult:
    """Return the answer of a job whose dispatch raised an error."""
    return JobResult(
        job_id,
        ResultKind.UNKNOWN,
        failure=Failure(
            ErrorKind.INTERNAL,
            "the dispatch failed with an internal error; do not resubmit blindly",
        ),
    )
