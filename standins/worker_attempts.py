"""Attempts of ``standins.worker``, the stand-in worker of the stand-alone version.

An attempt occupies slots while it runs, and is stopped when its lease, which counts
from its start, expires. A stop before an attempt arrives fences it: it never starts.
"""

import json
from collections import OrderedDict, deque

from attrs import define, field, frozen
from gevent.event import Event

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.targets.protocol import Attempt, AttemptReply, AttemptState

FINISHED_ATTEMPTS_MAX = 20_000
STARTS_MAX = 200_000
# Any attempt may be queued for this long, even if its start_within_ms is shorter.
START_WITHIN_MIN_MS = 10.0


@define
class AttemptSwitches:
    """Faults that tests turn on with ``POST /switches``.

    ``refuse`` replies BUSY and ``leaving`` LEAVING to new attempts; ``fail_all`` makes
    attempts fail. ``stall`` holds requests and replies until it is switched off;
    ``silent`` does so forever on the connections that are open when it is switched on.
    ``die`` ends the process. ``latency_ms`` is added each way; ``slow_factor``
    multiplies run times. ``close_before`` and ``close_after`` close the connection of a
    start request, before the attempt starts or after it has finished.
    """

    refuse: bool = False
    leaving: bool = False
    stall: bool = False
    fail_all: bool = False
    silent: bool = False
    die: bool = False
    close_before: bool = False
    close_after: bool = False
    slow_factor: float = 1.0
    latency_ms: float = 0.0


@frozen
class Start:
    """One entry of the start log; ``tag`` is a text from the task's payload."""

    attempt_id: str
    job_id: str
    task: int
    number: int
    wall_ms: float
    tag: str = ""


@define(eq=False)
class _QueuedAttempt:
    """An attempt in the queue; ``settled`` is set once it has slots or is stopped."""

    attempt: Attempt
    has_slots: bool = False
    stopped: bool = False
    settled: Event = field(factory=Event)


@frozen
class _FinishedAttempt:
    """The reply about an attempt that finished or was stopped before it started."""

    finished_ms: float
    reply: AttemptReply
    sender: str


@define(eq=False)
class _RunningAttempt:
    attempt: Attempt
    started_ms: float
    stopped: Event = field(factory=Event)
    finished: Event = field(factory=Event)


@define(eq=False)
class AttemptTable:
    """Runs attempts in slots and records the last ``finished_max`` replies about them.

    ``_queued`` contains an attempt until its start request continues: after it got
    slots, was stopped or timed out. ``_recorded_since_ms`` is the time since which all
    replies are still recorded.
    """

    clock: Clock
    slots: int
    accelerator: bool = False
    switches: AttemptSwitches = field(factory=AttemptSwitches)
    finished_max: int = FINISHED_ATTEMPTS_MAX
    starts: deque[Start] = field(factory=lambda: deque(maxlen=STARTS_MAX))
    _running: dict[str, _RunningAttempt] = field(factory=dict)
    _finished: OrderedDict[str, tuple[float, AttemptReply, str]] = field(
        factory=OrderedDict
    )
    _queued: dict[str, _QueuedAttempt] = field(factory=dict)
    _busy_slots: int = 0
    _recorded_since_ms: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._recorded_since_ms = self.clock.now_ms()

    def start(self, attempt: Attempt, received_ms: float) -> AttemptReply:
        """Run an attempt until it finishes, or refuse it.

        A repeated start returns the state of the first one, after waiting for a running
        attempt to finish. If too few slots are free, the attempt is queued until
        ``start_within_ms`` after ``received_ms``, then refused as BUSY.
        """
        attempt_id = attempt.attempt_id
        if attempt_id in self._running or attempt_id in self._queued:
            return self.look_up(attempt_id, attempt.lease_ms)
        recorded = self._recorded_reply(attempt_id)
        if recorded is not None:
            return recorded
        refusal = self._refusal(attempt)
        if refusal is not None:
            return self._reply(attempt_id, refusal, sender=attempt.sender)
        if not self._await_slots(attempt, received_ms):
            stopped = self._recorded_reply(attempt_id)
            sender = attempt.sender
            return stopped or self._reply(attempt_id, AttemptState.BUSY, sender=sender)
        return self._run(attempt)

    def look_up(self, attempt_id: str, wait_ms: float) -> AttemptReply:
        """Return an attempt's state; if it is running, wait up to ``wait_ms`` first."""
        running = self._running.get(attempt_id)
        if running is not None and wait_ms > 0:
            running.finished.wait(wait_ms / MS_PER_S)
        recorded = self._recorded_reply(attempt_id)
        if recorded is not None:
            return recorded
        active = running or self._queued.get(attempt_id)
        state = AttemptState.RUNNING if active else AttemptState.NOT_SEEN
        sender = active.attempt.sender if active else ""
        return self._reply(attempt_id, state, sender=sender)

    def stop(self, attempt_id: str) -> AttemptReply:
        """Stop a running or queued attempt, or fence one that has not arrived."""
        running = self._running.get(attempt_id)
        if running is not None:
            running.stopped.set()
            running.finished.wait()
        recorded = self._recorded_reply(attempt_id)
        if recorded is not None:
            return recorded
        self._record(self._reply(attempt_id, AttemptState.NEVER_STARTED))
        queued = self._queued.get(attempt_id)
        if queued is not None:
            queued.stopped = True
            queued.settled.set()
        return self._recorded_reply(attempt_id)

    def probe(self) -> AttemptReply:
        """Return the worker's slots and load in a reply about no attempt."""
        return self._reply("", AttemptState.NOT_SEEN)

    def stop_all(self) -> None:
        """Stop every running attempt."""
        for running in tuple(self._running.values()):
            running.stopped.set()

    def _refusal(self, attempt: Attempt) -> AttemptState | None:
        if self.switches.leaving:
            return AttemptState.LEAVING
        lacks_accelerator = attempt.accelerator and not self.accelerator
        if self.switches.refuse or lacks_accelerator or attempt.size_slots > self.slots:
            return AttemptState.BUSY
        return None

    def _await_slots(self, attempt: Attempt, received_ms: float) -> bool:
        """Occupy slots for the attempt once free; return False on timeout or stop."""
        within_ms = max(attempt.start_within_ms, START_WITHIN_MIN_MS)
        left_ms = received_ms + within_ms - self.clock.now_ms()
        if left_ms < 0:
            return False
        if not self._waiting_for_slots() and self._fits(attempt):
            self._busy_slots += attempt.size_slots
            return True
        queued = _QueuedAttempt(attempt)
        self._queued[attempt.attempt_id] = queued
        queued.settled.wait(left_ms / MS_PER_S)
        del self._queued[attempt.attempt_id]
        if queued.has_slots and queued.stopped:
            self._release_slots(attempt)
        return queued.has_slots and not queued.stopped

    def _release_slots(self, attempt: Attempt) -> None:
        """Free an attempt's slots and assign them to queued attempts, oldest first."""
        self._busy_slots -= attempt.size_slots
        for queued in self._waiting_for_slots():
            if not self._fits(queued.attempt):
                return
            self._busy_slots += queued.attempt.size_slots
            queued.has_slots = True
            queued.settled.set()

    def _fits(self, attempt: Attempt) -> bool:
        return self._busy_slots + attempt.size_slots <= self.slots

    def _run(self, attempt: Attempt) -> AttemptReply:
        running = _RunningAttempt(attempt, self.clock.now_ms())
        self._running[attempt.attempt_id] = running
        self.starts.append(_make_start(attempt, self.clock.wall_ms()))
        state, output = AttemptState.STOPPED, "stopped"
        try:
            state, output = self._execute(running)
        finally:
            self._release_slots(attempt)
            del self._running[attempt.attempt_id]
            run_ms = self.clock.now_ms() - running.started_ms
            reply = self._reply(attempt.attempt_id, state, output, run_ms)
            self._record(reply, attempt.sender)
            running.finished.set()
        return self._recorded_reply(attempt.attempt_id)

    def _execute(self, running: _RunningAttempt) -> tuple[AttemptState, str]:
        attempt = running.attempt
        if self.switches.fail_all:
            return AttemptState.FAILED, "fail_all is switched on"
        script = _parse_script(attempt.payload)
        length_ms = script.get("ms", attempt.run_ms) * self.switches.slow_factor
        stopped = running.stopped.wait(min(length_ms, attempt.lease_ms) / MS_PER_S)
        if stopped:
            return AttemptState.STOPPED, "stopped on request"
        if length_ms > attempt.lease_ms:
            return AttemptState.STOPPED, "stopped because its lease expired"
        if script.get("fail"):
            return AttemptState.FAILED, str(script["fail"])
        return AttemptState.DONE, str(script.get("answer", ""))

    def _reply(
        self,
        attempt_id: str,
        state: AttemptState,
        output: str = "",
        run_ms: float = 0.0,
        sender: str = "",
    ) -> AttemptReply:
        return AttemptReply(
            attempt_id,
            state,
            output,
            run_ms,
            self.slots,
            self._busy_slots
            + sum(queued.attempt.size_slots for queued in self._waiting_for_slots()),
            self._sender_slots(sender),
            self.switches.leaving,
            self.clock.now_ms() - self._recorded_since_ms,
        )

    def _sender_slots(self, sender: str) -> int:
        """Return the slots of one sender's running and queued attempts."""
        return sum(
            entry.attempt.size_slots
            for entry in (*self._running.values(), *self._queued.values())
            if entry.attempt.sender == sender
        )

    def _waiting_for_slots(self) -> list[_QueuedAttempt]:
        return [
            queued
            for queued in self._queued.values()
            if not (queued.has_slots or queued.stopped)
        ]

    def _recorded_reply(self, attempt_id: str) -> AttemptReply | None:
        entry = self._finished.get(attempt_id)
        if entry is None:
            return None
        reply = entry.reply
        return self._reply(
            attempt_id, reply.state, reply.output, reply.run_ms, entry.sender
        )

    def _record(self, reply: AttemptReply, sender: str = "") -> None:
        self._finished[reply.attempt_id] = _FinishedAttempt(
            self.clock.now_ms(), reply, sender
        )
        if len(self._finished) > self.finished_max:
            _, oldest = self._finished.popitem(last=False)
            self._recorded_since_ms = max(self._recorded_since_ms, oldest.finished_ms)


def _make_start(attempt: Attempt, wall_ms: float) -> Start:
    return Start(
        attempt.attempt_id,
        attempt.job_id,
        attempt.task,
        attempt.number,
        wall_ms,
        str(_parse_script(attempt.payload).get("tag", "")),
    )


def _parse_script(payload: str) -> dict:
    """Return the test script in a task's payload, empty if there is none.

    Its keys are ``ms`` (run time), ``fail`` or ``answer`` (output) and ``tag``.
    """
    try:
        script = json.loads(payload)
    except ValueError:
        return {}
    return script if isinstance(script, dict) else {}
