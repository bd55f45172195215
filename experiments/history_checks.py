"""The checker: one function for each property that must always hold.

Each function takes a history and returns one text for each violation.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from experiments.history import (
    Action,
    Call,
    ConfigAccepted,
    ConfigSeen,
    ConfigStored,
    Disturbed,
    History,
    HostStopped,
    Invoked,
    TargetLeaving,
    TaskStarted,
)
from rattanloom.errors import Ran
from rattanloom.job import ResultKind

LEAVING_GRACE_MS = 4_000
CONFIG_WITHIN_MS = 4_000

Violations = Iterator[str]


def starts_once(history: History) -> Violations:
    """Every task of a submission starts at most once."""
    starts = Counter((s.submission, s.task) for s in history.of_type(TaskStarted))
    for (submission, task), count in starts.items():
        if count > 1:
            yield f"task {task} of {submission} started {count} times"


def complete_or_failed(history: History) -> Violations:
    """Every job's answer is either complete or failed, never partial."""
    for call in _answered(history):
        wanted, answer = call.invoked.wanted, call.answered
        complete = answer.outcome is ResultKind.COMPLETE
        if complete and len(answer.outputs) != len(wanted):
            yield f"call {answer.call}: {len(answer.outputs)} outputs of {len(wanted)}"
        if not complete and answer.outputs:
            yield f"call {answer.call}: outputs with outcome {answer.outcome.value}"


def own_whole_answer(history: History) -> Violations:
    """Each caller receives the whole answer to its own request."""
    ends: dict[str, set[ResultKind]] = defaultdict(set)
    for call in _answered(history):
        invoked, answer = call.invoked, call.answered
        if not invoked.key and invoked.job_id and answer.job_id != invoked.job_id:
            yield f"call {answer.call}: answer of another job {answer.job_id}"
        if answer.outcome is ResultKind.COMPLETE and answer.outputs != invoked.wanted:
            yield f"call {answer.call}: outputs of another request"
        if answer.outcome in (ResultKind.COMPLETE, ResultKind.FAILED):
            ends[answer.job_id].add(answer.outcome)
    for job_id, outcomes in ends.items():
        if len(outcomes) > 1:
            yield f"job {job_id} was told both complete and failed"


def not_run_is_true(history: History) -> Violations:
    """A refusal that says "not run" means that the task was truly not run.

    A later start needs another submission, open at or after the refusal.
    """
    starts: dict[str, list[TaskStarted]] = defaultdict(list)
    for start in history.of_type(TaskStarted):
        starts[start.submission].append(start)
    submits: dict[str, list[Call]] = defaultdict(list)
    for call in history.calls():
        if call.invoked.action is Action.SUBMIT:
            submits[call.invoked.submission].append(call)
    for call in _answered(history):
        if call.answered.ran is not Ran.NOT_RUN:
            continue
        submission = call.invoked.submission
        for start in starts[submission]:
            if not _explained(call, start, submits[submission]):
                yield (
                    f"call {call.invoked.call}: told {submission} was not run, "
                    f"but task {start.task} started"
                )


def _explained(refusal: Call, start: TaskStarted, submits: list[Call]) -> bool:
    """Say whether another submission accounts for a start."""
    if start.at_ms < refusal.invoked.at_ms:
        return False
    cancelled = refusal.invoked.action is Action.CANCEL
    for other in submits:
        if other is refusal or other.invoked.at_ms > start.at_ms:
            continue
        if cancelled and other.invoked.job_id == refusal.invoked.job_id:
            continue
        if not _told_not_run_before(other, start):
            return True
    return False


def _told_not_run_before(call: Call, start: TaskStarted) -> bool:
    answer = call.answered
    told = answer is not None and answer.ran is Ran.NOT_RUN
    return told and answer.at_ms < start.at_ms


def non_idempotent_once(history: History) -> Violations:
    """A non-idempotent request runs at most once, and as often as is told."""
    invoked: dict[str, Invoked] = {i.submission: i for i in history.of_type(Invoked)}
    starts = Counter((s.submission, s.task) for s in history.of_type(TaskStarted))
    for (submission, task), count in starts.items():
        known = invoked.get(submission)
        if count > 1 and known is not None and not known.idempotent:
            yield f"non-idempotent task {task} of {submission} ran {count} times"
    for call in _answered(history):
        if call.answered.outcome is not ResultKind.COMPLETE:
            continue
        for task in range(len(call.invoked.wanted)):
            if not starts[call.invoked.submission, task]:
                yield f"call {call.invoked.call}: complete, but task {task} never ran"


def leaving_gets_no_work(history: History) -> Violations:
    """A target that is leaving receives no new work after a few seconds."""
    for leaving in history.of_type(TargetLeaving):
        for start in history.of_type(TaskStarted):
            late_ms = start.at_ms - leaving.at_ms
            meant = start.worker == leaving.worker and start.at_ms < leaving.until_ms
            if meant and late_ms > LEAVING_GRACE_MS:
                yield f"{start.worker} started a task {late_ms:.0f} ms after leaving"


def planned_stop_cuts_nothing(history: History) -> Violations:
    """A planned stop cuts off no request in flight."""
    for stop in history.of_type(HostStopped):
        for call in history.calls():
            if call.invoked.host != stop.host or call.unanswered is None:
                continue
            in_flight = (
                call.invoked.at_ms <= stop.ended_at_ms
                and call.unanswered.at_ms >= stop.told_at_ms
            )
            if in_flight and call.unanswered.cut_off:
                yield f"call {call.invoked.call} was cut off by the stop of {stop.host}"


def config_holds(history: History) -> Violations:
    """A configuration, once accepted, is in force everywhere and never reverts."""
    yield from _accepted_changes_stay(history)
    highest: dict[str, int] = {}
    for seen in sorted(history.of_type(ConfigSeen), key=lambda record: record.at_ms):
        if seen.version and seen.version < highest.get(seen.host, 0):
            yield f"{seen.host} went back to version {seen.version}"
        highest[seen.host] = max(seen.version, highest.get(seen.host, 0))
        for accepted in history.of_type(ConfigAccepted):
            late = seen.at_ms > accepted.at_ms + CONFIG_WITHIN_MS
            behind = seen.version < accepted.version
            if late and behind and not _was_disturbed(history, seen, accepted):
                yield f"{seen.host} has {seen.version}, not {accepted.version}"


def _accepted_changes_stay(history: History) -> Violations:
    accepted = history.of_type(ConfigAccepted)
    for version, count in Counter(record.version for record in accepted).items():
        if count > 1:
            yield f"version {version} was accepted {count} times"
    stored = {
        record.version: record.changes for record in history.of_type(ConfigStored)
    }
    for record in accepted:
        if record.version not in stored:
            yield f"accepted version {record.version} is not stored"
        for version, changes in stored.items():
            if version >= record.version and record.change not in changes:
                yield f"version {version} lacks a change accepted as {record.version}"


def _was_disturbed(
    history: History, seen: ConfigSeen, accepted: ConfigAccepted
) -> bool:
    return any(
        disturbed.host == seen.host
        and disturbed.from_ms <= seen.at_ms
        and disturbed.until_ms + CONFIG_WITHIN_MS >= seen.at_ms
        and disturbed.until_ms >= accepted.at_ms
        for disturbed in history.of_type(Disturbed)
    )


def _answered(history: History) -> list[Call]:
    return [call for call in history.calls() if call.answered is not None]


PROPERTIES: dict[str, Callable[[History], Violations]] = {
    "every task starts at most once": starts_once,
    "an answer is complete or failed": complete_or_failed,
    "each caller gets its own whole answer": own_whole_answer,
    "not run means not run": not_run_is_true,
    "a non-idempotent request runs at most once": non_idempotent_once,
    "a leaving target gets no new work": leaving_gets_no_work,
    "a planned stop cuts off nothing": planned_stop_cuts_nothing,
    "a configuration holds and never reverts": config_holds,
}


def check(history: History) -> dict[str, list[str]]:
    """Return the violations of each property."""
    return {name: list(find(history)) for name, find in PROPERTIES.items()}
