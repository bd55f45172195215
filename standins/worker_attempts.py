"""The attempts of the stand-in worker: slots, leases, fences and the start log."""

import json
from collections import OrderedDict, deque

from attrs import define, field, frozen
from gevent.event import Event

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.targets.protocol import Attempt, AttemptReply, AttemptState

FINISHED_ATTEMPTS_MAX = 20_000
STARTS_MAX = 200_000
START_WITHIN_MIN_MS = 10.0


@define
class Switches:
    """Faults that tests turn on; see ``POST /switches``.

    ``latency_ms`` is added each way; ``slow_factor`` multiplies run times.
    ``close_before`` and ``close_after`` close the connection under a request,
    before the attempt starts or after it ended.
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
    """One line of the start log; ``tag`` is the caller's, from the payload."""

    attempt_id: str
    job_id: str
    task: int
    number: int
    wall_ms: float
    tag: str = ""


@define(eq=False)
class _QueuedAttempt:
    """An attempt that waits for slots until ``settled`` is set."""

    attempt: Attempt
    has_slots: bool = False
    stopped: bool = False
    settled: Event = field(factory=Event)


@frozen
class _FinishedAttempt:
    """How an attempt ended, for its sender to look up."""

    finished_ms: float
    reply: AttemptReply
    sender: str


@define(eq=False)
class _RunningAttempt:
    attempt: Attempt
    started_ms: float
    stopped: Event = field(factory=Event)
    ended: Event = field(factory=Event)


@define(eq=False)
class AttemptTable:
    """Runs attempts in slots and remembers how they ended, up to a bound."""

    clock: Clock
    slots: int
    accelerator: bool = False
    switches: Switches = field(factory=Switches)
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
        """Run an attempt to its end, or refuse it; a repeat joins the first.

        Where no slot is free the attempt is held until ``start_within_ms``
        after its receipt.
        """
        attempt_id = attempt.attempt_id
        if attempt_id in self._running or attempt_id in self._queued:
            return self.look_up(attempt_id, attempt.lease_ms)
        known = self._recorded_reply(attempt_id)
        if known is not None:
            return known
        refusal = self._refusal(attempt)
        if refusal is not None:
            return self._reply(attempt_id, refusal, sender=attempt.sender)
        if not self._await_slots(attempt, received_ms):
            fenced = self._recorded_reply(attempt_id)
            sender = attempt.sender
            return fenced or self._reply(attempt_id, AttemptState.BUSY, sender=sender)
        return self._run(attempt)

    def look_up(self, attempt_id: str, wait_ms: float) -> AttemptReply:
        """Tell how an attempt stands, waiting for its end where it runs."""
        running = self._running.get(attempt_id)
        if running is not None and wait_ms > 0:
            running.ended.wait(wait_ms / MS_PER_S)
        known = self._recorded_reply(attempt_id)
        if known is not None:
            return known
        here = running or self._queued.get(attempt_id)
        state = AttemptState.RUNNING if here else AttemptState.NOT_SEEN
        sender = here.attempt.sender if here else ""
        return self._reply(attempt_id, state, sender=sender)

    def stop(self, attempt_id: str) -> AttemptReply:
        """Stop a running attempt, or fence one that has not arrived."""
        running = self._running.get(attempt_id)
        if running is not None:
            running.stopped.set()
            running.ended.wait()
        known = self._recorded_reply(attempt_id)
        if known is not None:
            return known
        self._record(self._reply(attempt_id, AttemptState.NEVER_STARTED))
        held = self._queued.get(attempt_id)
        if held is not None:
            held.stopped = True
            held.settled.set()
        return self._recorded_reply(attempt_id)

    def probe(self) -> AttemptReply:
        """Tell the worker's slots."""
        return self._reply("", AttemptState.NOT_SEEN)

    def stop_all(self) -> None:
        """Stop every running attempt."""
        for running in tuple(self._running.values()):
            running.stopped.set()

    def _refusal(self, attempt: Attempt) -> AttemptState | None:
        if self.switches.leaving:
            return AttemptState.LEAVING
        lacking = attempt.accelerator and not self.accelerator
        if self.switches.refuse or lacking or attempt.size_slots > self.slots:
            return AttemptState.BUSY
        return None

    def _await_slots(self, attempt: Attempt, received_ms: float) -> bool:
        """Occupy the attempt's slots, waiting for them within its bound."""
        within_ms = max(attempt.start_within_ms, START_WITHIN_MIN_MS)
        left_ms = received_ms + within_ms - self.clock.now_ms()
        if left_ms < 0:
            return False
        if not self._waiting() and self._fits(attempt):
            self._busy_slots += attempt.size_slots
            return True
        held = _QueuedAttempt(attempt)
        self._queued[attempt.attempt_id] = held
        held.settled.wait(left_ms / MS_PER_S)
        del self._queued[attempt.attempt_id]
        if held.has_slots and held.stopped:
            self._release_slots(attempt)
        return held.has_slots and not held.stopped

    def _release_slots(self, attempt: Attempt) -> None:
        """Give back slots, to the held attempts in the order of their arrival."""
        self._busy_slots -= attempt.size_slots
        for held in self._waiting():
            if not self._fits(held.attempt):
                return
            self._busy_slots += held.attempt.size_slots
            held.has_slots = True
            held.settled.set()

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
            ended = self._reply(attempt.attempt_id, state, output, run_ms)
            self._record(ended, attempt.sender)
            running.ended.set()
        return self._recorded_reply(attempt.attempt_id)

    def _execute(self, running: _RunningAttempt) -> tuple[AttemptState, str]:
        attempt = running.attempt
        if self.switches.fail_all:
            return AttemptState.FAILED, "the worker fails everything"
        script = _script(attempt.payload)
        length_ms = script.get("ms", attempt.run_ms) * self.switches.slow_factor
        stopped = running.stopped.wait(min(length_ms, attempt.lease_ms) / MS_PER_S)
        if stopped:
            return AttemptState.STOPPED, "stopped on request"
        if length_ms > attempt.lease_ms:
            return AttemptState.STOPPED, "stopped at the end of its lease"
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
            self._busy_slots + sum(held.attempt.size_slots for held in self._waiting()),
            self._sender_slots(sender),
            self.switches.leaving,
            self.clock.now_ms() - self._recorded_since_ms,
        )

    def _sender_slots(self, sender: str) -> int:
        """Return the slots taken or waited for by one sender's attempts."""
        return sum(
            entry.attempt.size_slots
            for entry in (*self._running.values(), *self._queued.values())
            if entry.attempt.sender == sender
        )

    def _waiting(self) -> list[_QueuedAttempt]:
        return [
            held
            for held in self._queued.values()
            if not (held.has_slots or held.stopped)
        ]

    def _recorded_reply(self, attempt_id: str) -> AttemptReply | None:
        entry = self._finished.get(attempt_id)
        if entry is None:
            return None
        told = entry.reply
        return self._reply(
            attempt_id, told.state, told.output, told.run_ms, entry.sender
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
        str(_script(attempt.payload).get("tag", "")),
    )


def _script(payload: str) -> dict:
    try:
        script = json.loads(payload)
    except ValueError:
        return {}
    return script if isinstance(script, dict) else {}
