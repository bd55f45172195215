"""The checks of a soak, on what clients and workers recorded.

A check yields one ``Breach`` for each violation of the rule in its docstring. A
daemon has no recent fault if none affected it from ``RECOVERY_MS`` before a request
until the response to it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from http import HTTPStatus
from itertools import pairwise

from attrs import frozen

from soak.deployment import EVACUATION_DELAY_MAX_MS
from soak.history import (
    CLIENT_LEFT,
    NOT_CONNECTED,
    ClientJob,
    ConfigurationChange,
    History,
    QueueProbe,
    Send,
    TaskRun,
)

# Statuses of a refusal: the daemon has run no task of the job.
NOT_RUN_STATUSES = (429, 503)
# The platform accepts a response up to this long after the request's deadline.
RESPONSE_SLACK_MS = 200.0
INTERNAL_ERROR = 500
# The platform's loss_slack_ms: a planned stop may lose a request that fails within
# this time after the client sent it, if no run of its job has started.
LOSS_SLACK_MS = 200.0
# Time after the end of a fault until the checks with a time bound apply again.
RECOVERY_MS = 3_000.0
# All leases expire within this time after the last order to a worker.
LEASE_EXPIRY_MS = 2_500.0
COMPLETE_SHARE_MIN = 0.9
# The platform's limit: a task is started fewer than this many times after as many
# workers have crashed under it.
CRASHES_MAX = 3
# The platform allows to give up a task under which two workers have crashed.
GUILTY_CRASHES_MIN = 2
# The platform's config_apply_ms.
CONFIGURATION_DELAY_MAX_MS = 2_000.0
# Faults during which a daemon may be unable to reach the store.
STORE_CONTACT_FAULTS = (
    "store_down",
    "store_silent",
    "store_loses_requests",
    "store_slow",
    "configuration_after_outage",
    "zone_cut",
    "zone_cut_one_way",
    "zone_cut_ends_unevenly",
    "daemon_cut",
    "daemon_cut_from_store",
    "connections_silenced",
)


@frozen
class Breach:
    """One violation that a check found; ``rule`` is the name of the check."""

    rule: str
    detail: str


Check = Callable[[History, list[TaskRun]], Iterable[Breach]]


def runs_never_overlap(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """No task runs twice at the same time."""
    by_task = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    for task, task_runs in by_task.items():
        task_runs.sort(key=lambda run: run.start_ms)
        for first, second in pairwise(task_runs):
            if second.start_ms < first.end_ms:
                overlap_ms = min(first.end_ms, second.end_ms) - second.start_ms
                yield Breach(
                    "runs_never_overlap",
                    f"{task} on {first.worker} from {first.start_ms:.0f} and on "
                    f"{second.worker} from {second.start_ms:.0f}, {overlap_ms:.0f} ms",
                )


def refused_jobs_never_run(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """If every request of a job was refused, none of its tasks runs."""
    started = {run.job_id for run in runs}
    for job in history.jobs.values():
        refused = all(send.status in NOT_RUN_STATUSES for send in job.sends)
        if job.sends and refused and job.job_id in started:
            yield Breach("refused_jobs_never_run", job.job_id)


def only_sent_tasks_run(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """Every run is of a task that a client sent, with the spec that it sent."""
    for run in runs:
        job = history.jobs.get(run.job_id)
        index = int(run.task.rpartition(".")[2])
        if job is None or run.spec != job.spec or index >= job.count:
            yield Breach("only_sent_tasks_run", run.task)


def complete_means_whole(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """Every task of a job reported as complete has a run that ended as done."""
    done = {run.task for run in runs if run.how == "done"}
    for job in history.jobs.values():
        missing = [index for index in range(job.count) if _task(job, index) not in done]
        if job.is_complete and missing:
            yield Breach("complete_means_whole", f"{job.job_id}: tasks {missing}")


def complete_jobs_have_no_active_runs(
    history: History, runs: list[TaskRun]
) -> Iterable[Breach]:
    """No run that started before a job was reported as complete is active then."""
    by_job = defaultdict(list)
    for run in runs:
        by_job[run.job_id].append(run)
    for job, send in _sends(history):
        if send.state != "complete":
            continue
        for run in by_job[job.job_id]:
            if run.start_ms < send.answered_ms < run.end_ms:
                yield Breach(
                    "complete_jobs_have_no_active_runs",
                    f"{run.task}, attempt {run.attempt} on {run.worker}, active for "
                    f"{run.end_ms - send.answered_ms:.0f} ms after {send.daemon} "
                    f"responded at {send.answered_ms:.0f}",
                )


def no_worker_is_overfilled(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """No start brings a worker over the capacity that a placer must know of."""
    for run in runs:
        if run.used_millicores > run.allowed_millicores:
            yield Breach(
                "no_worker_is_overfilled",
                f"{run.task} on {run.worker} at {run.start_ms:.0f}: uses "
                f"{run.used_millicores} of {run.allowed_millicores} millicores",
            )


def crashing_tasks_are_given_up(
    history: History, runs: list[TaskRun]
) -> Iterable[Breach]:
    """A task under which CRASHES_MAX workers crashed starts fewer than that again."""
    by_task = defaultdict(list)
    for run in runs:
        if run.crashes_workers:
            by_task[run.task].append(run)
    for task, task_runs in by_task.items():
        crashes_ms = sorted(run.end_ms for run in task_runs if run.how == "crashed")
        if len(crashes_ms) < CRASHES_MAX:
            continue
        third_ms = crashes_ms[CRASHES_MAX - 1]
        later = sum(run.start_ms > third_ms for run in task_runs)
        if later >= CRASHES_MAX:
            yield Breach(
                "crashing_tasks_are_given_up",
                f"{task}: {len(crashes_ms)} crashes, {later} starts after the third",
            )


def jobs_fail_with_cause(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """A failed job has a task that failed, or under which two workers crashed.

    Crashes by other tasks on the same worker count here as well.
    """
    for job in history.jobs.values():
        if not job.is_failed or job.crash_index is not None:
            continue
        own_runs = [run for run in runs if run.job_id == job.job_id]
        if any(run.how == "failed" for run in own_runs):
            continue
        lost = Counter(run.task for run in own_runs if run.how in ("crashed", "killed"))
        if max(lost.values(), default=0) < GUILTY_CRASHES_MIN:
            yield Breach("jobs_fail_with_cause", job.job_id)


def answers_come_in_time(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """A daemon with no recent fault responds by the deadline plus RESPONSE_SLACK_MS."""
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
    """A planned stop of a daemon with no recent fault loses no open request."""
    started = {run.job_id for run in runs}
    for stop in history.stops:
        for job, send in _sends(history):
            in_flight = send.sent_ms < stop.to_ms and send.answered_ms > stop.from_ms
            if send.daemon not in stop.names or not in_flight or send.status:
                continue
            if send.reason in (NOT_CONNECTED, CLIENT_LEFT):
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
    """No run outlasts its job's last response by more than LEASE_EXPIRY_MS."""
    for run in runs:
        job = history.jobs.get(run.job_id)
        if job is None:
            continue
        answered_ms = max(send.answered_ms for send in job.sends)
        if run.end_ms > answered_ms + LEASE_EXPIRY_MS:
            yield Breach("everything_ends", f"{run.task} on {run.worker}")


def service_returns(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """Of jobs sent after the last recovery, COMPLETE_SHARE_MIN or more are complete."""
    last_fault_ms = max((span.to_ms for span in history.spans), default=0.0)
    jobs_after_faults = [
        job
        for job in history.jobs.values()
        if job.sends
        and job.sends[0].sent_ms > last_fault_ms + RECOVERY_MS
        and job.crash_index is None
    ]
    complete = sum(job.is_complete for job in jobs_after_faults)
    if jobs_after_faults and complete < COMPLETE_SHARE_MIN * len(jobs_after_faults):
        yield Breach(
            "service_returns", f"{complete} of {len(jobs_after_faults)} jobs complete"
        )


def queues_follow_configuration(
    history: History, runs: list[TaskRun]
) -> Iterable[Breach]:
    """A daemon with no recent fault has the clients' queue, so it returns no 404."""
    for job, send in _sends(history):
        fault_free_from_ms = send.sent_ms - RECOVERY_MS
        if send.status == 404 and history.is_fault_free(
            send.daemon, fault_free_from_ms, send.answered_ms
        ):
            yield Breach(
                "queues_follow_configuration", f"{job.job_id} at {send.daemon}"
            )


def configurations_are_in_force_in_time(
    history: History, runs: list[TaskRun]
) -> Iterable[Breach]:
    """A configuration is in force in time after the store confirmed it.

    That is ``CONFIGURATION_DELAY_MAX_MS``, unless a fault affects the daemon in
    between. A fault that ended before may have lost a read that is under way.
    """
    for probe in history.probes:
        is_served = probe.status == HTTPStatus.OK
        possible = _possible_configurations(history, probe)
        if not possible or any(
            is_served == (probe.prefix in change.prefixes) for change in possible
        ):
            continue
        confirmed_ms = possible[0].confirmed_ms
        if history.is_fault_free(probe.daemon, confirmed_ms, probe.answered_ms):
            yield Breach(
                "configurations_are_in_force_in_time",
                f"{probe.prefix} at {probe.daemon}: status {probe.status} at "
                f"{probe.sent_ms:.0f}, not by version {possible[0].version} of "
                f"{confirmed_ms:.0f} or a newer one",
            )


def _possible_configurations(
    history: History, probe: QueueProbe
) -> list[ConfigurationChange]:
    """Return the configurations by which a probe may be answered.

    Empty if none has to be in force yet.
    """
    due_ms = probe.sent_ms - CONFIGURATION_DELAY_MAX_MS
    due = [change for change in history.configurations if change.confirmed_ms < due_ms]
    return [
        change
        for change in history.configurations
        if due
        and change.version >= due[-1].version
        and change.sent_ms <= probe.answered_ms
    ]


def evacuated_zones_get_no_starts(
    history: History, runs: list[TaskRun]
) -> Iterable[Breach]:
    """No task starts in a zone EVACUATION_DELAY_MAX_MS after it was evacuated.

    The platform's bound does not apply to a daemon that can't reach the store, so runs
    that start after a fault of the store or of the network are not checked.
    """
    for evacuation in history.evacuations:
        due_ms = evacuation.confirmed_ms + EVACUATION_DELAY_MAX_MS
        for run in runs:
            is_late = due_ms < run.start_ms < evacuation.ended_ms
            if not is_late or run.zone != evacuation.zone:
                continue
            if not _is_store_faulty(history, evacuation.confirmed_ms, run.start_ms):
                yield Breach(
                    "evacuated_zones_get_no_starts",
                    f"{run.task} on {run.worker} in {run.zone}, "
                    f"{run.start_ms - evacuation.confirmed_ms:.0f} ms after it",
                )


def _is_store_faulty(history: History, from_ms: float, to_ms: float) -> bool:
    """Return whether a daemon may have been unable to reach the store."""
    return any(
        span.fault in STORE_CONTACT_FAULTS
        and span.from_ms <= to_ms
        and from_ms <= span.to_ms
        for span in history.spans
    )


def requests_never_fail(history: History, runs: list[TaskRun]) -> Iterable[Breach]:
    """No response has the status for an internal error."""
    for job, send in _sends(history):
        if send.status == INTERNAL_ERROR:
            yield Breach("requests_never_fail", f"{job.job_id} at {send.daemon}")


# These have no time bounds, so they also hold on a slow machine.
SAFETY_CHECKS: tuple[Check, ...] = (
    runs_never_overlap,
    refused_jobs_never_run,
    only_sent_tasks_run,
    complete_means_whole,
    complete_jobs_have_no_active_runs,
    no_worker_is_overfilled,
    crashing_tasks_are_given_up,
    jobs_fail_with_cause,
    requests_never_fail,
)
TIMED_CHECKS: tuple[Check, ...] = (
    answers_come_in_time,
    stops_cut_nothing_off,
    everything_ends,
    service_returns,
    queues_follow_configuration,
    configurations_are_in_force_in_time,
    evacuated_zones_get_no_starts,
)
ALL_CHECKS = SAFETY_CHECKS + TIMED_CHECKS


def find_breaches(
    history: History, runs: list[TaskRun], checks: tuple[Check, ...] = ALL_CHECKS
) -> list[Breach]:
    """Return the violations that the checks find."""
    return [breach for check in checks for breach in check(history, runs)]


def _sends(history: History) -> Iterable[tuple[ClientJob, Send]]:
    for job in history.jobs.values():
        for send in job.sends:
            yield job, send


def _task(job: ClientJob, index: int) -> str:
    """Return the name of a task in the first and only step of a job."""
    return f"{job.job_id}.0.0.{index}"
