"""Checks failure histories: one function for each property that must always hold.

Each function yields one text for each violation of the rule in its docstring.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from experiments.history import (
    Action,
    Call,
    ConfigAccepted,
    ConfigExemption,
    ConfigSeen,
    ConfigStored,
    History,
    HostStopped,
    Invoked,
    TargetLeaving,
    TaskStarted,
)
from rattanloom.errors import Ran
from rattanloom.job import ResultKind

# Time in which targets that are listed as leaving may still get new tasks.
LEAVING_GRACE_MS = 4_000
# Time in which hosts activate an accepted configuration.
CONFIG_WITHIN_MS = 4_000

Violations = Iterator[str]


def starts_once(history: History) -> Violations:
    """Every task of a submission starts at most once."""
    starts = Counter((s.submission, s.task) for s in history.of_type(TaskStarted))
    for (submission, task), count in starts.items():
        if count > 1:
            yield f"task {task} of {submission} started {count} times"


def outputs_all_or_none(history: History) -> Violations:
    """A complete result has all outputs, and any other result has none."""
    for call in _calls_with_response(history):
        expected, response = call.invoked.expected_outputs, call.response
        complete = response.outcome is ResultKind.COMPLETE
        if complete and len(response.outputs) != len(expected):
            yield (
                f"call {response.call}: {len(response.outputs)} outputs "
                f"of {len(expected)}"
            )
        if not complete and response.outputs:
            yield f"call {response.call}: outputs with outcome {response.outcome.value}"


def result_of_own_request(history: History) -> Violations:
    """A result is of the caller's own job, and no job is both complete and failed."""
    outcomes_by_job: dict[str, set[ResultKind]] = defaultdict(set)
    for call in _calls_with_response(history):
        invoked, response = call.invoked, call.response
        if not invoked.key and invoked.job_id and response.job_id != invoked.job_id:
            yield f"call {response.call}: result of another job {response.job_id}"
        if (
            response.outcome is ResultKind.COMPLETE
            and response.outputs != invoked.expected_outputs
        ):
            yield f"call {response.call}: outputs of another request"
        if response.outcome in (ResultKind.COMPLETE, ResultKind.FAILED):
            outcomes_by_job[response.job_id].add(response.outcome)
    for job_id, outcomes in outcomes_by_job.items():
        if len(outcomes) > 1:
            yield f"job {job_id} was reported both complete and failed"


def not_run_jobs_never_start(history: History) -> Violations:
    """A request that gets the response "not run" starts no task of its submission.

    A start is allowed if it follows the request and another submit request, which had
    not been refused by then, may have caused it.
    """
    starts: dict[str, list[TaskStarted]] = defaultdict(list)
    for start in history.of_type(TaskStarted):
        starts[start.submission].append(start)
    submits: dict[str, list[Call]] = defaultdict(list)
    for call in history.calls():
        if call.invoked.action is Action.SUBMIT:
            submits[call.invoked.submission].append(call)
    for call in _calls_with_response(history):
        if call.response.ran is not Ran.NOT_RUN:
            continue
        submission = call.invoked.submission
        for start in starts[submission]:
            if not _is_explained(call, start, submits[submission]):
                yield (
                    f"call {call.invoked.call}: {submission} reported as not run, "
                    f"but task {start.task} started"
                )


def _is_explained(refusal: Call, start: TaskStarted, submits: list[Call]) -> bool:
    """Return whether another submit request may have caused the start.

    If a cancellation got "not run", requests with its ticket do not count.
    """
    if start.at_ms < refusal.invoked.at_ms:
        return False
    cancelled = refusal.invoked.action is Action.CANCEL
    for other in submits:
        if other is refusal or other.invoked.at_ms > start.at_ms:
            continue
        if cancelled and other.invoked.job_id == refusal.invoked.job_id:
            continue
        if not _was_refused_before(other, start):
            return True
    return False


def _was_refused_before(call: Call, start: TaskStarted) -> bool:
    response = call.response
    is_refusal = response is not None and response.ran is Ran.NOT_RUN
    return is_refusal and response.at_ms < start.at_ms


def non_idempotent_once(history: History) -> Violations:
    """Non-idempotent tasks start at most once; all tasks of complete jobs did start."""
    invoked: dict[str, Invoked] = {i.submission: i for i in history.of_type(Invoked)}
    starts = Counter((s.submission, s.task) for s in history.of_type(TaskStarted))
    for (submission, task), count in starts.items():
        known = invoked.get(submission)
        if count > 1 and known is not None and not known.idempotent:
            yield f"non-idempotent task {task} of {submission} ran {count} times"
    for call in _calls_with_response(history):
        if call.response.outcome is not ResultKind.COMPLETE:
            continue
        for task in range(len(call.invoked.expected_outputs)):
            if not starts[call.invoked.submission, task]:
                yield f"call {call.invoked.call}: complete, but task {task} never ran"


def leaving_gets_no_work(history: History) -> Violations:
    """A target listed as leaving for LEAVING_GRACE_MS starts no more tasks."""
    for leaving in history.of_type(TargetLeaving):
        for start in history.of_type(TaskStarted):
            late_ms = start.at_ms - leaving.at_ms
            is_affected = (
                start.worker == leaving.worker and start.at_ms < leaving.until_ms
            )
            if is_affected and late_ms > LEAVING_GRACE_MS:
                yield f"{start.worker} started a task {late_ms:.0f} ms after leaving"


def planned_stop_cuts_nothing(history: History) -> Violations:
    """A host in a planned stop closes no connection with a request in flight."""
    for stop in history.of_type(HostStopped):
        for call in history.calls():
            if call.invoked.host != stop.host or call.no_response is None:
                continue
            in_flight = (
                call.invoked.at_ms <= stop.exited_at_ms
                and call.no_response.at_ms >= stop.requested_at_ms
            )
            if in_flight and call.no_response.cut_off:
                yield f"call {call.invoked.call} was cut off by the stop of {stop.host}"


def config_never_reverts(history: History) -> Violations:
    """Accepted versions become active on all hosts and are not reverted.

    Hosts have CONFIG_WITHIN_MS to activate one, also after the end of an exemption.
    """
    yield from _accepted_changes_stay(history)
    highest: dict[str, int] = {}
    for seen in sorted(history.of_type(ConfigSeen), key=lambda record: record.at_ms):
        if seen.version and seen.version < highest.get(seen.host, 0):
            yield f"{seen.host} reverted to version {seen.version}"
        highest[seen.host] = max(seen.version, highest.get(seen.host, 0))
        for accepted in history.of_type(ConfigAccepted):
            late = seen.at_ms > accepted.at_ms + CONFIG_WITHIN_MS
            behind = seen.version < accepted.version
            if late and behind and not _is_exempt(history, seen, accepted):
                yield f"{seen.host} has {seen.version}, not {accepted.version}"


def _accepted_changes_stay(history: History) -> Violations:
    """Each version is accepted once and stored; it and later ones have its change."""
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


def _is_exempt(history: History, seen: ConfigSeen, accepted: ConfigAccepted) -> bool:
    """Return whether a fault explains that the host lacks the accepted version."""
    return any(
        exemption.host == seen.host
        and exemption.from_ms <= seen.at_ms
        and exemption.until_ms + CONFIG_WITHIN_MS >= seen.at_ms
        and exemption.until_ms >= accepted.at_ms
        for exemption in history.of_type(ConfigExemption)
    )


def _calls_with_response(history: History) -> list[Call]:
    return [call for call in history.calls() if call.response is not None]


PROPERTIES: dict[str, Callable[[History], Violations]] = {
    "every task starts at most once": starts_once,
    "an answer is complete or failed": outputs_all_or_none,
    "each caller gets its own whole answer": result_of_own_request,
    "not run means not run": not_run_jobs_never_start,
    "a non-idempotent request runs at most once": non_idempotent_once,
    "a leaving target gets no new work": leaving_gets_no_work,
    "a planned stop cuts off nothing": planned_stop_cuts_nothing,
    "a configuration holds and never reverts": config_never_reverts,
}


def check(history: History) -> dict[str, list[str]]:
    """Return the violations of each property."""
    return {name: list(find(history)) for name, find in PROPERTIES.items()}
