"""The workers that an entry host may use, and what it knows of each."""

from collections.abc import Callable
from fnmatch import fnmatchcase

from attrs import define, evolve, field

from rattanloom.environment import Environment
from rattanloom.errors import Failure
from rattanloom.estimates import RunTimeEstimates
from rattanloom.job import Task
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.peers.protocol import MemberState, Peers, TargetLoad
from rattanloom.platform.protocol import HostList, ListedTarget
from rattanloom.queue import Capacity
from rattanloom.routing import choose_target, spread_owners
from rattanloom.rules import KindRule, Rules, TargetRule
from rattanloom.settings import EntrySettings
from rattanloom.targets.client import TargetClient
from rattanloom.targets.protocol import Attempt, AttemptReply, AttemptState
from rattanloom.targets.state import TargetState
from rattanloom.timeline import EventKind, TimeLine
from rattanloom.timer import TimerService

log = get_log("targets")

CONNECTIONS_MIN = 2


@define(eq=False)
class TargetDirectory:
    """Follows the host list, the operators' rules and the workers' replies."""

    settings: EntrySettings
    environment: Environment
    timers: TimerService
    time_line: TimeLine
    host_list: HostList
    rules: Callable[[], Rules | None]
    metrics: Metrics
    estimates: RunTimeEstimates = field(factory=RunTimeEstimates)
    link_filter: LinkFilter = field(factory=LinkFilter)
    _peers: Peers | None = None
    _targets: dict[str, TargetState] = field(factory=dict)
    _watchers: list[Callable[[], None]] = field(factory=list)

    def start(self, peers: Peers) -> None:
        """Begin to follow the host list and the peers' loads."""
        self._peers = peers
        self.refresh_list()
        self.timers.subscribe(
            "host list", self.settings.host_list_poll_ms, self.refresh_list
        )
        self.timers.subscribe(
            "target loads", self.settings.heartbeat_ms, self.refresh_loads
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when slots may have become usable."""
        self._watchers.append(callback)

    def refresh_list(self) -> None:
        """Take in the host list; keep the last known one in an outage."""
        listed = self.host_list.listed_targets()
        if isinstance(listed, Failure):
            self.metrics.count("host_list_failures", listed.kind.value)
            return
        names = {target.name for target in listed}
        for name in [name for name in self._targets if name not in names]:
            self._targets.pop(name).client.close()
            self._tell(name, "no longer listed")
        for target in listed:
            self._take_listed(target)
        self.refresh_loads()

    def refresh_loads(self) -> None:
        """Take in the peers' loads and the owners that follow from them."""
        self._take_loads()
        self._assign_owners()
        self._changed()

    def capacity(self) -> Capacity:
        """Return the slots on usable workers, as now known."""
        now_ms = self.environment.clock.now_ms()
        usable = [state for state in self._targets.values() if self._open(state)]
        owned = [state for state in usable if state.owned]
        return Capacity(
            total_slots=sum(state.listed.slots for state in usable),
            share_slots=sum(state.listed.slots for state in owned),
            free_slots=sum(max(0, state.free_slots(now_ms)) for state in usable),
            largest_slots=max((state.listed.slots for state in usable), default=0),
            has_accelerator=any(state.listed.accelerator for state in usable),
        )

    def find(self, task: Task) -> TargetState | None:
        """Return the worker that the task would go to now, if any."""
        now_ms = self.environment.clock.now_ms()
        allowed = self._kind_rule(task.kind).targets
        candidates = [
            state
            for state in self._targets.values()
            if self._open(state) and _matches(state.name, allowed)
        ]
        return choose_target(task, candidates, self.settings.zone, now_ms)

    def pick(self, task: Task) -> TargetState | None:
        """Reserve slots for the task; ``release`` gives them back."""
        state = self.find(task)
        if state is not None:
            state.own_slots += task.size_slots
        return state

    def release(self, state: TargetState, task: Task) -> None:
        """Give back the slots that ``pick`` reserved."""
        state.own_slots -= task.size_slots

    def note(
        self, state: TargetState, attempt: Attempt, reply: AttemptReply | Failure
    ) -> None:
        """Learn from the end of an attempt; call it after ``release``."""
        now_ms = self.environment.clock.now_ms()
        if isinstance(reply, Failure):
            state.note_unreachable(now_ms)
            self._tell(state.name, reply.reason)
            return
        was_leaving = state.leaving
        state.note_reply(reply, now_ms)
        if state.leaving and not was_leaving:
            self._tell(state.name, "says that it is leaving")
        if reply.state is AttemptState.DONE:
            state.note_success()
            self.estimates.learn(attempt.kind, reply.run_ms)
        elif reply.state is AttemptState.FAILED:
            state.note_task_failure(attempt.job_id, now_ms)

    def loads(self) -> tuple[TargetLoad, ...]:
        """Return the slots that this host occupies on each worker."""
        return tuple(
            TargetLoad(name, state.own_slots)
            for name, state in self._targets.items()
            if state.own_slots
        )

    def describe(self) -> list[dict]:
        """Return each worker's state for operators, ready for JSON."""
        now_ms = self.environment.clock.now_ms()
        return [
            {
                "name": state.name,
                "zone": state.listed.zone,
                "address": state.listed.address,
                "slots": state.listed.slots,
                "own_slots": state.own_slots,
                "other_slots": state.other_slots(now_ms),
                "owned": state.owned,
                "usable": self._open(state) and state.usable(now_ms),
                "leaving": state.leaving or state.listed.leaving,
                "drained": self._drained(state.name),
            }
            for state in self._targets.values()
        ]

    def _take_listed(self, listed: ListedTarget) -> None:
        state = self._targets.get(listed.name)
        if state is not None and state.listed.address == listed.address:
            if listed.leaving and not state.listed.leaving:
                self._tell(listed.name, "listed as leaving")
            state.listed = evolve(listed)
            return
        client = TargetClient(
            listed.name, listed.address, self._share(listed), self.link_filter
        )
        self._targets[listed.name] = TargetState(listed, client)
        self._tell(listed.name, "listed")

    def _share(self, listed: ListedTarget) -> int:
        hosts = 1 + (len(self._peers.members()) if self._peers else 0)
        return max(CONNECTIONS_MIN, listed.connections // hosts)

    def _take_loads(self) -> None:
        now_ms = self.environment.clock.now_ms()
        loads = self._peers.loads() if self._peers else {}
        told = {
            (load.target, host): load.slots
            for host, host_load in loads.items()
            for load in host_load.targets
        }
        for name, state in self._targets.items():
            for host in state.peer_slots.keys() - loads.keys():
                del state.peer_slots[host]
            for host in loads:
                state.tell_peer_slots(host, told.get((name, host), 0), now_ms)

    def _assign_owners(self) -> None:
        for zone, hosts in self._live_hosts().items():
            states = {
                name: state
                for name, state in self._targets.items()
                if state.listed.zone == zone
            }
            slots = {name: state.listed.slots for name, state in states.items()}
            owners = spread_owners(slots, hosts)
            for name, state in states.items():
                state.owned = owners[name] == self.settings.host

    def _live_hosts(self) -> dict[str, list[str]]:
        hosts = {self.settings.zone: [self.settings.host]}
        for member in self._peers.members() if self._peers else ():
            if member.state is MemberState.LIVE:
                hosts.setdefault(member.zone, []).append(member.host)
        return hosts

    def _open(self, state: TargetState) -> bool:
        return not (state.leaving or state.listed.leaving or self._drained(state.name))

    def _drained(self, name: str) -> bool:
        rules = self.rules()
        return rules is not None and rules.targets.get(name, TargetRule()).drain

    def _kind_rule(self, kind: str) -> KindRule:
        rules = self.rules()
        return KindRule() if rules is None else rules.kinds.get(kind, KindRule())

    def _tell(self, name: str, detail: str) -> None:
        log.info("worker {}: {}", name, detail)
        self.time_line.record(EventKind.TARGET_CHANGED, target=name, detail=detail)

    def _changed(self) -> None:
        for callback in self._watchers:
            callback()


def _matches(name: str, patterns: tuple[str, ...]) -> bool:
    return not patterns or any(fnmatchcase(name, pattern) for pattern in patterns)
