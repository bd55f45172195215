"""The workers that an entry host may use, and the state of each."""

from collections.abc import Callable
from math import inf

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.estimates import RunTimeEstimates
from rattanloom.job import Task
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.peers.protocol import Peers, TargetLoad
from rattanloom.platform.messages import (
    HostsResponse,
    MessageError,
    decode_message,
    encode_message,
)
from rattanloom.platform.protocol import HostList, ListedTarget
from rattanloom.queue import Capacity
from rattanloom.routing import (
    IMMEDIATE_OVERFLOW,
    OverflowPolicy,
    TargetTiers,
    choose_target,
    make_overflow_policy,
)
from rattanloom.rules import Rules, TargetRule
from rattanloom.settings import EntrySettings
from rattanloom.targets.client import TargetClient
from rattanloom.targets.fleet import Fleet
from rattanloom.targets.protocol import AttemptReply, AttemptState
from rattanloom.targets.state import TargetState
from rattanloom.targets.success_rates import SuccessRates
from rattanloom.timeline import EventKind, Timeline
from rattanloom.timer import TimerService

log = get_log("targets")

MESSAGES_PER_PROBE = 2  # request and reply
TIMER_SLACK_MS = 5.0  # so that a busy worker is usable again when the timer fires
LOADS_INTERVAL_MS = 50.0
REFRESH_HEARTBEATS = 2


@define(eq=False)
class TargetDirectory:
    """Keeps each worker's state up to date and chooses workers for tasks.

    The state follows the host list (the platform's list of workers), the rules, the
    loads that peers report and the workers' replies.
    """

    settings: EntrySettings
    environment: Environment
    timers: TimerService
    timeline: Timeline
    host_list: HostList
    rules: Callable[[], Rules | None]
    metrics: Metrics
    estimates: RunTimeEstimates = field(factory=RunTimeEstimates)
    success_rates: SuccessRates = field(factory=SuccessRates)
    link_filter: LinkFilter = field(factory=LinkFilter)
    _fleet: Fleet = field(init=False)
    _overflow: OverflowPolicy = IMMEDIATE_OVERFLOW
    _listed: tuple[ListedTarget, ...] = ()
    _applied_rules: Rules | None = None
    _watchers: list[Callable[[], None]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._fleet = Fleet(self.settings.host, self.settings.zone)

    def start(self, peers: Peers) -> None:
        """Read the host list and start the periodic refreshes."""
        self._fleet.peers = peers
        self.refresh_list()
        self.timers.subscribe(
            "host list", self.settings.host_list_poll_ms, self.refresh_list
        )
        refresh_ms = REFRESH_HEARTBEATS * self.settings.heartbeat_ms
        self.timers.subscribe("targets", refresh_ms, self.refresh)
        self.timers.subscribe("target loads", LOADS_INTERVAL_MS, self.refresh_loads)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when slots may have become usable."""
        self._watchers.append(callback)

    def refresh_list(self) -> None:
        """Apply the host list; in an outage, the last known one or a peer's."""
        listed = self.host_list.listed_targets()
        if isinstance(listed, Failure):
            self.metrics.count("host_list_failures", listed.kind.value)
            listed = self._listed or self._fetch_list_from_peer()
        if not listed and not self._listed:
            return
        if listed is not self._listed:
            self._listed = listed
            self._apply_list(listed)
        for state in self._states():
            state.client.close_idle()
        self.refresh()

    def encode_host_list(self) -> str | Failure:
        """Return the last known host list as JSON, for a peer that cannot read it."""
        if not self._listed:
            return Failure(ErrorKind.NOT_FOUND, "this host has no list of workers")
        return encode_message(HostsResponse(self._listed)).decode()

    def _fetch_list_from_peer(self) -> tuple[ListedTarget, ...]:
        """Return the last known list of a live peer, for a host started in an outage.

        The list may be old: workers that have left since refuse attempts.
        """
        for host in self._fleet.live_peers():
            text = self._fleet.peers.fetch_targets(host)
            if isinstance(text, Failure):
                continue
            try:
                reply = decode_message(text.encode(), HostsResponse)
            except MessageError as error:
                log.warning("host {} sent a malformed list of workers: {}", host, error)
                continue
            log.info(
                "received the list of {} workers from {}", len(reply.targets), host
            )
            return reply.targets
        return ()

    def _apply_list(self, listed: tuple[ListedTarget, ...]) -> None:
        for name in self._fleet.targets.keys() - {target.name for target in listed}:
            self._fleet.remove(name)
            self._record_change(name, "no longer listed")
        for target in listed:
            self._apply_listed(target)

    def refresh_loads(self) -> None:
        """Apply the loads that peers reported since the last call."""
        if self._fleet.update_peer_loads():
            self._notify_watchers()

    def refresh(self) -> None:
        """Apply the peers' loads and the rules; start the probes that are due."""
        self._apply_rules()
        for state in self._fleet.refresh():
            self.record_unreachable(state, "no entry host of its zone responds")
        now_ms = self._now_ms()
        for state in self._states():
            if state.health.is_probe_due(now_ms):
                gevent.spawn(self._probe, state)
        self._notify_watchers()

    def capacity(self) -> Capacity:
        """Return the slots of the workers that are neither leaving nor drained.

        ``largest_slots`` and ``has_accelerator`` include the others, so that a task
        that does not fit at present is not refused permanently.
        """
        now_ms = self._now_ms()
        self._apply_rules()
        listed = [state.listed for state in self._states()]
        open_states = [state for state in self._states() if not state.closed]
        return Capacity(
            total_slots=sum(state.listed.slots for state in open_states),
            share_slots=self._fleet.share_slots(),
            free_slots=sum(max(0, state.free_slots(now_ms)) for state in open_states),
            largest_slots=max((target.slots for target in listed), default=0),
            has_accelerator=any(target.accelerator for target in listed),
        )

    def check_runnable(self, task: Task) -> Failure | None:
        """Return a NEVER_RUNNABLE failure if no listed worker can run the task."""
        self._apply_rules()
        fitting = [
            state
            for state in self._fleet.allowed(self._patterns(task.kind))
            if state.listed.slots >= task.size_slots
            and (state.listed.accelerator or not task.accelerator)
        ]
        if fitting or not self._fleet.targets:
            return None
        return Failure(
            ErrorKind.NEVER_RUNNABLE,
            f"no worker allowed for kind {task.kind} has {task.size_slots} slots"
            f"{' and an accelerator' if task.accelerator else ''}; "
            "change the task, or the kind's targets in the rules",
        )

    def find(self, task: Task, waited_ms: float = inf) -> TargetState | None:
        """Return the best worker for a task that has waited ``waited_ms``, or None."""
        self._apply_rules()
        tiers = self._tiers(task.kind)
        return choose_target(task, tiers, self._now_ms(), waited_ms, self._overflow)

    def reserve(self, state: TargetState, task: Task) -> None:
        """Reserve slots for the task until ``release`` is called."""
        state.occupy(task.size_slots)

    def release(self, state: TargetState, task: Task) -> None:
        """Release the slots that ``reserve`` reserved."""
        state.release(task.size_slots)

    def record_outcome(
        self,
        state: TargetState,
        task: Task,
        job_id: str,
        reply: AttemptReply | Failure,
    ) -> None:
        """Update the worker's state from a finished attempt, after ``release``."""
        if isinstance(reply, Failure):
            self.record_unreachable(state, reply.reason)
            return
        self._record_state(state, reply)
        if reply.state is AttemptState.DONE:
            self._record_done(state, task, reply)
        elif reply.state is AttemptState.FAILED:
            self._record_failed(state, task, job_id)

    def record_unreachable(self, state: TargetState, reason: str) -> None:
        """Mark a worker as unreachable; it gets no tasks until a probe succeeds."""
        if not state.health.unreachable:
            self._record_change(state.name, f"unreachable: {reason}")
        state.health.mark_unreachable(self._now_ms())

    def loads(self) -> tuple[TargetLoad, ...]:
        """Return the slots that this host occupies on each worker."""
        return tuple(
            TargetLoad(state.name, state.own_slots)
            for state in self._states()
            if state.own_slots
        )

    def describe(self) -> list[dict]:
        """Return each worker's state as JSON values, for operators."""
        now_ms = self._now_ms()
        self._apply_rules()
        return [_describe(state, now_ms) for state in self._states()]

    def _states(self) -> list[TargetState]:
        return list(self._fleet.targets.values())

    def _record_state(self, state: TargetState, reply: AttemptReply) -> None:
        was_leaving = state.leaving
        state.record_reply(reply, self._now_ms())
        if state.leaving and not was_leaving:
            self._record_change(state.name, "reports that it is leaving")
        if reply.state is AttemptState.BUSY:
            wait_ms = state.busy_until_ms - self._now_ms() + TIMER_SLACK_MS
            gevent.spawn_later(wait_ms / MS_PER_S, self._notify_watchers)

    def _record_done(self, state: TargetState, task: Task, reply: AttemptReply) -> None:
        state.health.record_success()
        self.success_rates.record_outcome(task.kind, state.name, done=True)
        ratio = self.estimates.learn(task, reply.run_ms)
        if ratio is not None:
            state.health.record_slowness(ratio, self._now_ms())

    def _record_failed(self, state: TargetState, task: Task, job_id: str) -> None:
        self.success_rates.record_outcome(task.kind, state.name, done=False)
        jobs = self.success_rates.quarantine_threshold(task.kind, state.name)
        if jobs is None:
            return
        if state.health.record_failure(job_id, jobs, self._now_ms()):
            self.metrics.count("targets_quarantined")
            self._record_change(
                state.name, "quarantined: fails tasks that succeed on other workers"
            )

    def _probe(self, state: TargetState) -> None:
        self.metrics.count("messages", "probe", MESSAGES_PER_PROBE)
        self.metrics.count("wasted_messages", "probe", MESSAGES_PER_PROBE)
        state.health.record_probe(False, self._now_ms())
        reply = state.probe()
        if isinstance(reply, Failure):
            return
        state.health.record_probe(True, self._now_ms())
        self._record_state(state, reply)
        self._record_change(state.name, "reachable again")
        self._notify_watchers()

    def _apply_listed(self, listed: ListedTarget) -> None:
        state = self._fleet.targets.get(listed.name)
        if state is not None and state.listed.address == listed.address:
            if listed.leaving and not state.listed.leaving:
                self._record_change(listed.name, "listed as leaving")
            self._fleet.update_listing(state, listed)
            return
        client = TargetClient(
            listed.name, listed.address, listed.slots, self.link_filter
        )
        self._fleet.add(TargetState(listed, client))
        self._record_change(listed.name, "listed")

    def _apply_rules(self) -> None:
        rules = self.rules()
        if rules is self._applied_rules:
            return
        self._applied_rules = rules
        self._overflow = (
            make_overflow_policy(rules.deployment) if rules else IMMEDIATE_OVERFLOW
        )
        self._fleet.invalidate_tiers()
        for state in self._states():
            rule = rules.targets.get(state.name, TargetRule()) if rules else None
            state.drained = rule is not None and rule.drain

    def _tiers(self, kind: str) -> TargetTiers:
        return self._fleet.tiers(self._patterns(kind))

    def _patterns(self, kind: str) -> tuple[str, ...]:
        rules = self._applied_rules
        rule = rules.kinds.get(kind) if rules else None
        return rule.targets if rule else ()

    def _record_change(self, name: str, detail: str) -> None:
        log.info("worker {}: {}", name, detail)
        self.timeline.record(EventKind.TARGET_CHANGED, target=name, detail=detail)

    def _notify_watchers(self) -> None:
        for callback in self._watchers:
            callback()

    def _now_ms(self) -> float:
        return self.environment.clock.now_ms()


def _describe(state: TargetState, now_ms: float) -> dict:
    return {
        "name": state.name,
        "zone": state.listed.zone,
        "address": state.listed.address,
        "slots": state.listed.slots,
        "own_slots": state.own_slots,
        "other_slots": state.other_slots(now_ms),
        "owned": state.owned,
        "connections": state.connections,
        "usable": state.usable(now_ms),
        "leaving": state.leaving or state.listed.leaving,
        "drained": state.drained,
        "unreachable": state.health.unreachable,
        "on_trial": state.health.on_trial,
        "slowness": round(state.health.slowness(now_ms), 2),
    }
