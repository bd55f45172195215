"""The promises of a soak, judged from what clients and workers saw."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import pairwise

from attrs import frozen

from soak.history import NOT_CONNECTED, ClientJob, History, Send, TaskRun

NOT_RUN_STATUSES = (429, 503)
# Most that the platform lets an answer be later than the client's deadline.
RESPONSE_SLACK_MS = 200.0
INTERNAL_ERROR = 500
# Bound of the platform's pages (loss_slack_ms).
LOSS_SLACK_MS = 200.0
# From the end of a fault until the rules with a time bound hold again.
RECOVERY_MS = 3_000.0
# All leases are over within this time after the last order.
LEASE_EXPIRY_MS = 2_500.0
# Share of the jobs of the calm end that have to be complete.
COMPLETE_SHARE_MIN = 0.9


@frozen
class Breach:
    """One broken promise."""

    rule: str
    detail: str


Check = Callable[[History, list[TaskRun]], Iterable[Breach]]


def runs_never_overlap(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """No task runs twice at the same time."""
    by_task = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    for task, same in by_task.items():
        same.sort(key=lambda run: run.start_ms)
        for first, second in pairwise(same):
            if second.start_ms < first.end_ms:
                overlap_ms = min(first.end_ms, second.end_ms) - second.start_ms
                yield Breach(
                    "runs_never_overlap",
                    f"{task} on {first.worker} from {first.start_ms:.0f} and on "
                    f"{second.worker} from {second.start_ms:.0f}, {overlap_ms:.0f} ms",
                )


def refused_jobs_never_run(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """A job whose every send was refused has no run."""
    started = {run.job_id for run in runs}
    for job in history.jobs.values():
        refused = all(send.status in NOT_RUN_STATUSES for send in job.sends)
        if job.sends and refused and job.job_id in started:
            yield Breach("refused_jobs_never_run", job.job_id)


def only_sent_tasks_run(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """What runs is a task of a job that a client sent, with its description."""
    for run in runs:
        job = history.jobs.get(run.job_id)
        index = int(run.task.rpartition(".")[2])
        if job is None or run.spec != job.spec or index >= job.count:
            yield Breach("only_sent_tasks_run", run.task)


def complete_means_whole(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """A job told as complete has a done run of every task."""
    done = {run.task for run in runs if run.how == "done"}
    for job in history.jobs.values():
        missing = [index for index in range(job.count) if _task(job, index) not in done]
        if job.is_complete and missing:
            yield Breach("complete_means_whole", f"{job.job_id}: tasks {missing}")


def answers_come_in_time(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """A daemon without a fault answers every request by its deadline."""
    for job, send in _sends(history):
        due_ms = send.sent_ms + job.deadline_ms + RESPONSE_SLACK_MS
        is_late = send.answered_ms > due_ms
        fault_free_from_ms = send.sent_ms - RECOVERY_MS
        if is_late and history.is_fault_free(
            send.daemon, fault_free_from_ms, send.answered_ms
        ):
            yield Breach(
                "answers_come_in_time",
                f"{job.job_id} at {send.daemon}, status {send.status}, after "
                f"{send.answered_ms - send.sent_ms:.0f} ms",
            )


def stops_cut_nothing_off(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """A daemon that stops in order answers every request that it has read."""
    started = {run.job_id for run in runs}
    for stop in history.stops:
        for job, send in _sends(history):
            in_flight = send.sent_ms < stop.to_ms and send.answered_ms > stop.from_ms
            if send.daemon not in stop.names or not in_flight or send.status:
                continue
            if send.reason == NOT_CONNECTED:
                continue
            waited_ms = send.answered_ms - send.sent_ms
            if waited_ms < LOSS_SLACK_MS and job.job_id not in started:
                continue
            fault_free_from_ms = send.sent_ms - RECOVERY_MS
            if history.is_fault_free(send.daemon, fault_free_from_ms, send.answered_ms):
                yield Breach(
                    "stops_cut_nothing_off",
                    f"{job.job_id} at {send.daemon}: {send.reason}",
                )


def everything_ends(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """Nothing of a job runs on once its client has its last answer."""
    for run in runs:
        job = history.jobs.get(run.job_id)
        if job is None:
            continue
        answered_ms = max(send.answered_ms for send in job.sends)
        if run.end_ms > answered_ms + LEASE_EXPIRY_MS:
            yield Breach("everything_ends", f"{run.task} on {run.worker}")


def service_returns(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """In the calm after the last fault jobs are served again."""
    last_fault_ms = max((span.to_ms for span in history.spans), default=0.0)
    jobs_after_faults = [
        job
        for job in history.jobs.values()
        if job.sends and job.sends[0].sent_ms > last_fault_ms + RECOVERY_MS
    ]
    complete = sum(job.is_complete for job in jobs_after_faults)
    if jobs_after_faults and complete < COMPLETE_SHARE_MIN * len(jobs_after_faults):
        yield Breach(
            "service_returns", f"{complete} of {len(jobs_after_faults)} jobs complete"
        )


def queues_follow_configuration(
    history: History, runs: list[TaskRun]
) -> Iterable[Breach]:
    """A daemon in touch knows every queue that is long in force."""
    for job, send in _sends(history):
        fault_free_from_ms = send.sent_ms - RECOVERY_MS
        if send.status == 404 and history.is_fault_free(
            send.daemon, fault_free_from_ms, send.answered_ms
        ):
            yield Breach(
                "queues_follow_configuration", f"{job.job_id} at {send.daemon}"
            )


def requests_never_fail(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """No request meets an error that the daemon did not foresee."""
    for job, send in _sends(history):
        if send.status == INTERNAL_ERROR:
            yield Breach("requests_never_fail", f"{job.job_id} at {send.daemon}")


# What holds however slow the machine is that the soak runs on.
SAFETY_CHECKS: tuple[Check, ...] = (
    runs_never_overlap,
    refused_jobs_never_run,
    only_sent_tasks_run,
    complete_means_whole,
    requests_never_fail,
)
TIMED_CHECKS: tuple[Check, ...] = (
    answers_come_in_time,
    stops_cut_nothing_off,
    everything_ends,
    service_returns,
    queues_follow_configuration,
)
ALL_CHECKS = SAFETY_CHECKS + TIMED_CHECKS


def find_breaches(
    history: History, runs: list[TaskRun], checks: tuple[Check, ...] = ALL_CHECKS
) -> list[Breach]:
    """Return every broken promise."""
    return [breach for check in checks for breach in check(history, runs)]


def _sends(history: History) -> Iterable[tuple[ClientJob, Send]]:
    for job in history.jobs.values():
        for send in job.sends:
            yield job, send


def _task(job: ClientJob, index: int) -> str:
    return f"{job.job_id}.0.0.{index}"
