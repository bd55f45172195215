"""Results that the job service creates itself; each says if the job may have run."""

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobResult, ResultKind

_ISSUER_ADVICE = {
    ErrorKind.HOME_GONE: "the process that issued this ticket is gone; the job never "
    "starts again; request a new ticket only if running it twice is harmless",
    ErrorKind.HOME_UNREACHABLE: "the entry host that issued this ticket cannot be "
    "reached; resubmit the same ticket later",
    ErrorKind.LEAVING: "resubmit the same ticket to another entry host",
}


def result_from_failure(job_id: str, failure: Failure) -> JobResult:
    """Return REFUSED if the job did not run, UNKNOWN if it may have run."""
    if failure.effective_ran is Ran.NOT_RUN:
        return JobResult(job_id, ResultKind.REFUSED, failure=failure)
    return JobResult(job_id, ResultKind.UNKNOWN, failure=failure)


def issuer_failed_result(job_id: str, failure: Failure) -> JobResult:
    """Return the result for a failed request to the ticket's issuer.

    An earlier submission of the same ticket may have reached the issuer, so
    the job may have run even if no byte of this request was sent.
    """
    advice = _ISSUER_ADVICE.get(failure.kind, "resubmit the same ticket later")
    advised = Failure(
        failure.kind,
        f"{failure.reason}; {advice}",
        failure.retry_after_ms,
        Ran.MAY_HAVE_RUN,
    )
    return JobResult(job_id, ResultKind.UNKNOWN, failure=advised)


def cancelled_result(job_id: str) -> JobResult:
    """Return the result of a job that was cancelled before it started."""
    return result_from_failure(
        job_id,
        Failure(
            ErrorKind.CANCELLED,
            "cancelled before any task started; the job will not start",
            ran=Ran.NOT_RUN,
        ),
    )


def not_submitted_result(job_id: str) -> JobResult:
    """Return the result for a query about a ticket without an admitted submission."""
    return JobResult(
        job_id,
        ResultKind.UNKNOWN,
        failure=Failure(
            ErrorKind.NOT_FOUND,
            "no submission of this ticket has been admitted; resubmit it, or "
            "cancel it to prevent it from running",
            ran=Ran.MAY_HAVE_RUN,
        ),
    )


def still_running_result(job_id: str) -> JobResult:
    """Return the result for a caller whose deadline passed before the job finished."""
    return JobResult(
        job_id,
        ResultKind.UNKNOWN,
        failure=Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            "the deadline passed before the job finished; query its result later",
        ),
    )


def dispatch_failed_result(job_id: str) -> JobResult:
    """Return the result of a job whose dispatch raised an exception."""
    return JobResult(
        job_id,
        ResultKind.UNKNOWN,
        failure=Failure(
            ErrorKind.INTERNAL,
            "internal error during dispatch; tasks may have run, so resubmit only "
            "if running them twice is harmless",
        ),
    )
