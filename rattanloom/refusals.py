"""Checks of a job that don't depend on the queue: rules and worker sizes."""

from rattanloom.errors import ErrorKind, Failure
from rattanloom.job import Job, Task
from rattanloom.queue import Capacity
from rattanloom.rules import Rules


def check_task_sizes(job: Job, capacity: Capacity) -> Failure | None:
    """Return why a task of the job fits no worker, or None if every task fits one."""
    if not capacity.total_slots:
        return Failure(ErrorKind.NO_TARGETS, "no worker is usable now; retry later")
    for index, task in enumerate(job.tasks):
        if task.size_slots > capacity.largest_slots:
            return Failure(
                ErrorKind.NEVER_RUNNABLE,
                f"task {index} needs {task.size_slots} slots, but the largest "
                f"worker has {capacity.largest_slots}; split the task",
            )
        if task.accelerator and not capacity.has_accelerator:
            return Failure(
                ErrorKind.NEVER_RUNNABLE,
                f"task {index} needs an accelerator, but no worker has one",
            )
    return None


def check_rules(job: Job, rules: Rules) -> Failure | None:
    """Return why the operators' rules refuse the job, or None if they don't."""
    team = rules.teams.get(job.team)
    if team is None:
        return Failure(
            ErrorKind.UNKNOWN_TEAM,
            f"no rule for team {job.team}; ask an operator to add one",
        )
    limit = rules.deployment.tasks_per_job_max
    if len(job.tasks) > limit:
        return Failure(
            ErrorKind.TOO_LARGE,
            f"the job has {len(job.tasks)} tasks, but at most {limit} are allowed; "
            "split the job",
        )
    for index, task in enumerate(job.tasks):
        failure = _check_task(index, task, job, rules)
        if failure is not None:
            return failure
    return None


def _check_task(index: int, task: Task, job: Job, rules: Rules) -> Failure | None:
    rule = rules.kinds.get(task.kind)
    if rule is None:
        return Failure(
            ErrorKind.UNKNOWN_KIND,
            f"task {index}: no rule for kind {task.kind}; ask an operator to add one",
        )
    if rule.refuse:
        return Failure(
            ErrorKind.FORBIDDEN_BY_RULE,
            f"task {index}: kind {task.kind} is refused: {rule.refuse}",
        )
    if job.deadline_ms > rule.deadline_max_ms:
        return Failure(
            ErrorKind.FORBIDDEN_BY_RULE,
            f"task {index}: kind {task.kind} allows deadlines up to "
            f"{rule.deadline_max_ms} ms; use a shorter deadline",
        )
    quota_slots = rules.teams[job.team].quota_slots
    if task.size_slots > quota_slots:
        return Failure(
            ErrorKind.FORBIDDEN_BY_RULE,
            f"task {index} needs {task.size_slots} slots, but team {job.team} "
            f"may use {quota_slots}; ask an operator for a larger quota",
        )
    return None
