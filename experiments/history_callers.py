"""Impatient callers: they resubmit to other hosts, ask, cancel and start over."""

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
PATIENCE_MS = (100, 400, 3_500)
GIVE_UP_MS = 6_000
THINK_MAX_MS = 120
BACKOFF_MAX_MS = 400
KEYED_SHARE = 0.2
FAILING_SHARE = 0.05
CANCEL_SHARE = 0.05
ASK_SHARE = 0.2
WHOLE = (ResultKind.COMPLETE, ResultKind.FAILED)
HOPELESS = frozenset(
    {ErrorKind.HOME_GONE, ErrorKind.TICKET_EXPIRED, ErrorKind.CANCELLED}
)


@define
class Work:
    """One submission and how it went, from its caller's side."""

    submission: str
    body: dict
    wanted: tuple[str, ...]
    begun_ms: float
    whole_ms: float | None = None
    complete: bool = False
    ended: bool = False


@define(eq=False)
class Caller:
    """One caller, working through one submission after another."""

    recorder: Recorder
    random: Random
    name: str
    cancel_share: list[float]
    stopping: bool = False
    works: list[Work] = field(factory=list)

    def run(self) -> None:
        """Work until told to stop."""
        while not self.stopping:
            gevent.sleep(self.random.uniform(0, THINK_MAX_MS) / MS_PER_S)
            work = self._new_work()
            self.works.append(work)
            self._pursue(work)

    def _new_work(self) -> Work:
        submission = f"{self.recorder.name}-{self.name}.{len(self.works)}"
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
        return Work(submission, body, tags, now_ms())

    def _task(self, tag: str, failing: bool) -> dict:
        run_ms = self.random.randint(RUN_MIN_MS, RUN_MAX_MS)
        payload = {"ms": run_ms, "answer": tag, "tag": tag}
        if failing:
            payload["fail"] = "made to fail"
        return {"kind": KIND, "payload": json.dumps(payload), "run_ms": run_ms}

    def _pursue(self, work: Work) -> None:
        action = Action.SUBMIT
        while not work.ended and now_ms() < work.begun_ms + GIVE_UP_MS:
            host = self._pick_host()
            if not self._has_name(work) and not self._take_ticket(work, host):
                self._back_off(None)
                continue
            answer = self._call(work, action, self._other_host(host))
            self._take_in(work, action, answer)
            if not work.ended:
                self._back_off(answer)
            action = self._next_action(work)

    def _has_name(self, work: Work) -> bool:
        return bool(work.body["key"] or work.body["job_id"])

    def _take_ticket(self, work: Work, host: str) -> bool:
        address = self.recorder.cluster.hosts[host].address
        try:
            page = self.recorder.request(
                "POST", address, "/v1/tickets", {"count": 1}, PATIENCE_MS[1]
            )
        except (HTTPError, ValueError):
            return False
        for ticket in page.get("tickets", ())[:1]:
            work.body["job_id"] = ticket
        return bool(work.body["job_id"])

    def _call(self, work: Work, action: Action, host: str) -> JobResult | None:
        job_id = work.body["job_id"]
        invoked = Invoked(
            now_ms(),
            self.recorder.next_call(),
            action,
            host,
            work.submission,
            job_id,
            work.body["key"],
            work.wanted,
            work.body["idempotent"],
        )
        patience_ms = self.random.choice(PATIENCE_MS)
        if action is Action.SUBMIT:
            return self.recorder.call(invoked, "/v1/jobs", work.body, patience_ms)
        path = f"/v1/jobs/{job_id}"
        if action is Action.ASK:
            path += f"?wait_ms={patience_ms // 2}"
        return self.recorder.call(invoked, path, None, patience_ms)

    def _take_in(self, work: Work, action: Action, answer: JobResult | None) -> None:
        if answer is None or answer.outcome is ResultKind.PENDING:
            return
        if answer.outcome in WHOLE:
            work.whole_ms = now_ms()
            work.complete = answer.outcome is ResultKind.COMPLETE
            work.ended = True
            return
        if answer.failure.kind in HOPELESS:
            work.ended = True
            return
        start_over = (
            answer.failure.effective_ran is Ran.NOT_RUN and not work.body["key"]
        )
        if action is Action.SUBMIT and start_over and self.random.random() < 0.5:
            work.body = {**work.body, "job_id": ""}

    def _next_action(self, work: Work) -> Action:
        drawn = self.random.random()
        if not work.body["job_id"]:
            return Action.SUBMIT
        if drawn < self.cancel_share[0]:
            return Action.CANCEL
        if drawn < self.cancel_share[0] + ASK_SHARE:
            return Action.ASK
        return Action.SUBMIT

    def _back_off(self, answer: JobResult | None) -> None:
        told_ms = 0
        if answer is not None and answer.failure is not None:
            told_ms = answer.failure.effective_retry_after_ms
        wait_ms = min(told_ms, BACKOFF_MAX_MS) + self.random.uniform(0, 20)
        gevent.sleep(wait_ms / MS_PER_S)

    def _pick_host(self) -> str:
        offered = self.recorder.offered or list(self.recorder.cluster.hosts)
        return self.random.choice(offered)

    def _other_host(self, host: str) -> str:
        return host if self.random.random() < 0.5 else self._pick_host()


@frozen
class Shares:
    """What part of the work begun in a span was answered in its deadline.

    ``whole`` counts complete and failed answers, ``complete`` complete ones.
    """

    whole: float
    complete: float


def shares_of(works: list[Work], from_ms: float, until_ms: float) -> Shares:
    """Return the shares for the work begun between two times."""
    begun = [work for work in works if from_ms <= work.begun_ms < until_ms]
    whole = [
        work
        for work in begun
        if work.whole_ms is not None and work.whole_ms - work.begun_ms <= DEADLINE_MS
    ]
    complete = [work for work in whole if work.complete]
    count = max(1, len(begun))
    return Shares(len(whole) / count, len(complete) / count)
