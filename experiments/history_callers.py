"""Simulated callers of the failure histories, with short timeouts.

They resubmit jobs to other hosts, query results, cancel, and start again with new
tickets.
"""

import json
from random import Random

import gevent
from attrs import define, field, frozen
from urllib3.exceptions import HTTPError

from experiments.history import Action, Invoked
from experiments.history_recorder import Recorder, now_ms
from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Ran
from rattanloom.job import JobResult, ResultKind

TEAMS = ("commissions", "booking")
KIND = "proof_crop"
TASKS_MAX = 4
RUN_MIN_MS = 5
RUN_MAX_MS = 80
DEADLINE_MS = 2_000
# One is chosen at random for each request.
TIMEOUTS_MS = (100, 400, 3_500)
# Time after which a caller abandons a submission.
GIVE_UP_MS = 6_000
# Longest pause before a new submission.
THINK_MAX_MS = 120
# Limit on the wait that a host requests with retry_after_ms.
BACKOFF_MAX_MS = 400
# Share of submissions with an idempotency key instead of a ticket.
KEYED_SHARE = 0.2
# Share of submissions whose last task is made to fail.
FAILING_SHARE = 0.05
# Probabilities that a request cancels a job or queries its result.
CANCEL_SHARE = 0.05
ASK_SHARE = 0.2
FINAL_OUTCOMES = (ResultKind.COMPLETE, ResultKind.FAILED)
PERMANENT_ERRORS = frozenset(
    {ErrorKind.HOME_GONE, ErrorKind.TICKET_EXPIRED, ErrorKind.CANCELLED}
)


@define
class SubmissionState:
    """The progress of one submission, as observed by its caller.

    ``final_at_ms`` is the time of a complete or failed result. ``ended`` is true after
    such a result and after a permanent error.
    """

    submission: str
    body: dict
    expected_outputs: tuple[str, ...]
    started_at_ms: float
    final_at_ms: float | None = None
    complete: bool = False
    ended: bool = False


@define(eq=False)
class Caller:
    """One caller, which makes one submission after another.

    ``cancel_share`` is a list with one item, shared by all callers and changed by
    faults: the probability that the next request is a cancellation.
    """

    recorder: Recorder
    random: Random
    name: str
    cancel_share: list[float]
    stopping: bool = False
    states: list[SubmissionState] = field(factory=list)

    def run(self) -> None:
        """Make submissions until ``stopping`` is set."""
        while not self.stopping:
            gevent.sleep(self.random.uniform(0, THINK_MAX_MS) / MS_PER_S)
            state = self._new_submission()
            self.states.append(state)
            self._run_submission(state)

    def _new_submission(self) -> SubmissionState:
        submission = f"{self.recorder.name}-{self.name}.{len(self.states)}"
        count = self.random.randint(1, TASKS_MAX)
        tags = tuple(f"{submission}/{number}" for number in range(count))
        failing = self.random.random() < FAILING_SHARE
        tasks = [self._task(tag, failing and tag is tags[-1]) for tag in tags]
        keyed = self.random.random() < KEYED_SHARE
        body = {
            "team": self.random.choice(TEAMS),
            "tasks": tasks,
            "deadline_ms": DEADLINE_MS,
            "idempotent": self.random.random() < 0.5,
            "key": submission if keyed else "",
            "job_id": "",
        }
        return SubmissionState(submission, body, tags, now_ms())

    def _task(self, tag: str, failing: bool) -> dict:
        run_ms = self.random.randint(RUN_MIN_MS, RUN_MAX_MS)
        payload = {"ms": run_ms, "answer": tag, "tag": tag}
        if failing:
            payload["fail"] = "made to fail"
        return {"kind": KIND, "payload": json.dumps(payload), "run_ms": run_ms}

    def _run_submission(self, state: SubmissionState) -> None:
        action = Action.SUBMIT
        while not state.ended and now_ms() < state.started_at_ms + GIVE_UP_MS:
            host = self._pick_host()
            if not self._has_id(state) and not self._request_ticket(state, host):
                self._back_off(None)
                continue
            result = self._send_request(state, action, self._same_or_random_host(host))
            self._apply_result(state, action, result)
            if not state.ended:
                self._back_off(result)
            action = self._next_action(state)

    def _has_id(self, state: SubmissionState) -> bool:
        return bool(state.body["key"] or state.body["job_id"])

    def _request_ticket(self, state: SubmissionState, host: str) -> bool:
        address = self.recorder.cluster.hosts[host].address
        try:
            page = self.recorder.request(
                "POST", address, "/v1/tickets", {"count": 1}, TIMEOUTS_MS[1]
            )
        except (HTTPError, ValueError):
            return False
        for ticket in page.get("tickets", ())[:1]:
            state.body["job_id"] = ticket
        return bool(state.body["job_id"])

    def _send_request(
        self, state: SubmissionState, action: Action, host: str
    ) -> JobResult | None:
        job_id = state.body["job_id"]
        invoked = Invoked(
            now_ms(),
            self.recorder.next_call(),
            action,
            host,
            state.submission,
            job_id,
            state.body["key"],
            state.expected_outputs,
            state.body["idempotent"],
        )
        timeout_ms = self.random.choice(TIMEOUTS_MS)
        if action is Action.SUBMIT:
            return self.recorder.call(invoked, "/v1/jobs", state.body, timeout_ms)
        path = f"/v1/jobs/{job_id}"
        if action is Action.ASK:
            path += f"?wait_ms={timeout_ms // 2}"
        return self.recorder.call(invoked, path, None, timeout_ms)

    def _apply_result(
        self, state: SubmissionState, action: Action, result: JobResult | None
    ) -> None:
        if result is None or result.outcome is ResultKind.PENDING:
            return
        if result.outcome in FINAL_OUTCOMES:
            state.final_at_ms = now_ms()
            state.complete = result.outcome is ResultKind.COMPLETE
            state.ended = True
            return
        if result.failure.kind in PERMANENT_ERRORS:
            state.ended = True
            return
        start_over = (
            result.failure.effective_ran is Ran.NOT_RUN and not state.body["key"]
        )
        if action is Action.SUBMIT and start_over and self.random.random() < 0.5:
            state.body = {**state.body, "job_id": ""}

    def _next_action(self, state: SubmissionState) -> Action:
        drawn = self.random.random()
        if not state.body["job_id"]:
            return Action.SUBMIT
        if drawn < self.cancel_share[0]:
            return Action.CANCEL
        if drawn < self.cancel_share[0] + ASK_SHARE:
            return Action.ASK
        return Action.SUBMIT

    def _back_off(self, result: JobResult | None) -> None:
        retry_after_ms = 0
        if result is not None and result.failure is not None:
            retry_after_ms = result.failure.effective_retry_after_ms
        wait_ms = min(retry_after_ms, BACKOFF_MAX_MS) + self.random.uniform(0, 20)
        gevent.sleep(wait_ms / MS_PER_S)

    def _pick_host(self) -> str:
        offered = self.recorder.offered or list(self.recorder.cluster.hosts)
        return self.random.choice(offered)

    def _same_or_random_host(self, host: str) -> str:
        return host if self.random.random() < 0.5 else self._pick_host()


@frozen
class ResultShares:
    """The shares of submissions with a result within DEADLINE_MS.

    ``final`` includes complete and failed results, ``complete`` only complete ones.
    """

    final: float
    complete: float


def compute_shares(
    states: list[SubmissionState], from_ms: float, until_ms: float
) -> ResultShares:
    """Return the shares for the submissions started between two times."""
    started = [state for state in states if from_ms <= state.started_at_ms < until_ms]
    final = [
        state
        for state in started
        if state.final_at_ms is not None
        and state.final_at_ms - state.started_at_ms <= DEADLINE_MS
    ]
    complete = [state for state in final if state.complete]
    count = max(1, len(started))
    return ResultShares(len(final) / count, len(complete) / count)
