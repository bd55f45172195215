"""Chooses the zone, and thereby the placer, for a new job.

The preferred placer is the reachable owner that comes first in the order of zones,
which starts with this daemon's own zone. A job goes to another zone if it is expected
to wait less there. It then uses free capacity beyond a reserve for that zone's own
clients or, if it can be on time only there, waits within a bound on their waits. The
choice is made once, before the job is sent, so a job moves at most once. Evacuated
zones are left out.
"""

from collections import deque
from collections.abc import Callable, Collection, Container, Iterator, Mapping
from enum import Enum
from math import exp, inf
from zlib import crc32

from attrs import define, field, frozen

from rattanloom.clock import Clock
from rattanloom.placement.jobs import SubmittedJob
from rattanloom.scheduling.placer_capacity import DETOUR_MS, PlacerCapacity
from rattanloom.scheduling.zone_load import ZoneLoad

# Interval at which placers announce their load in a large deployment. Reports that are
# older than the second value are ignored.
REPORT_INTERVAL_MS = 100
CAPACITY_MAX_AGE_MS = 350
# Share of the processor for a zone's own arriving work that moved jobs leave free. With
# 5%, a tenth of the free capacity at 90% load stayed unused beside full zones.
RESERVE_SHARE = 0.02
# Jobs move into the queue of another zone only while the expected wait there is below
# this. It is less than 92 ms, which the most urgent kind of job can wait without being
# late.
MOVED_WAIT_MAX_MS = 80
# In zones of 30 tasks, most daemons get no job between two reports. Shares divided by
# all daemons stay unused then. The minimum limits a sudden burst to three times these.
ACTIVITY_WINDOW_MS = 500
JOBS_PER_REPORT_MIN = 0.4


class ZoneReason(Enum):
    """Why a job goes to a zone.

    FREE_CAPACITY: it starts sooner there, in free capacity beyond the reserve. ON_TIME:
    it waits there, and would be late in the preferred zone. FREE_ONLY: the preferred
    placer announces only its free capacity, and has less than the job needs.
    NO_CAPACITY: the preferred placer has no workers, has rejected the job or handed it
    back, or its zone is evacuated.
    """

    PREFERRED = "preferred"
    FREE_CAPACITY = "free_capacity"
    ON_TIME = "on_time"
    FREE_ONLY = "free_only"
    NO_CAPACITY = "no_capacity"
    SENT_BEFORE = "sent_before"


@frozen
class ChosenPlacer:
    """A placer, the zone for which it was chosen, and why."""

    node: str
    zone: str
    reason: ZoneReason = ZoneReason.PREFERRED


@define(eq=False, repr=False)
class PlacerChoice:
    """Chooses among the owners of zones.

    ``reachable_owners`` returns the reachable owners by zone, the preferred zone
    first. ``owner_of`` returns the owner of a zone, reachable or not.
    ``evacuated_zones`` is changed by its owner; ``zones`` are all zones, ``own_zone``
    is that of this daemon. ``daemons_in`` returns the number of daemons in a zone.
    ``on_moved`` is called with the choice of another zone than the preferred one.
    ``_jobs_ms`` has the times of the last jobs.
    """

    clock: Clock
    reachable_owners: Callable[[], Mapping[str, str]]
    owner_of: Callable[[str], str | None]
    evacuated_zones: Container[str] = frozenset()
    zones: Collection[str] = ()
    own_zone: str = ""
    daemons_in: Callable[[str], int] = lambda zone: 1
    on_moved: Callable[[ChosenPlacer], None] = lambda chosen: None
    free_capacity: dict[str, PlacerCapacity] = field(factory=dict)
    _jobs_ms: deque[float] = field(factory=deque)

    def record_free_capacity(self, node: str, millicores: float) -> None:
        """Record the capacity that a placer reports; below 0 if tasks wait there."""
        self.record_load(node, ZoneLoad(millicores))

    def record_load(self, node: str, load: ZoneLoad) -> None:
        """Record the load that a placer reports."""
        now_ms = self.clock.now_ms()
        before = self._recent(node)
        since_ms = now_ms if before is None else before.heard_since_ms
        current = PlacerCapacity(load, now_ms, since_ms, load.free_millicores)
        current.sharing_daemons = self._sharing_daemons(node)
        self.free_capacity[node] = current
        debt = 0.0 if before is None else min(0.0, before.budget_millicores)
        current.budget_millicores = debt + self._allotment(current)

    def is_preferred_nearly_full(self) -> bool:
        """Return whether jobs may soon have to go to another placer.

        Always while the preferred zone is evacuated: its jobs go to all other placers.
        """
        zone, node = next(iter(self.reachable_owners().items()), ("", None))
        if node is None or zone in self.evacuated_zones:
            return True
        capacity = self._recent(node)
        return capacity is not None and capacity.is_short

    def choose(
        self,
        job: SubmittedJob,
        excluded: Container[str] = (),
        waited_ms: float = 0,
    ) -> ChosenPlacer | None:
        """Return the placer for a new job; None if none is reachable.

        The placers ``excluded`` have rejected the job or handed it back. Its client has
        waited for ``waited_ms``. A job that requires a label stays at the preferred
        placer while that has capacity: other zones may have no worker with the label.
        """
        reachable_owners = self.reachable_owners()
        owners = {
            zone: node
            for zone, node in reachable_owners.items()
            if zone not in self.evacuated_zones and node not in excluded
        }
        if not owners:
            return None
        now_ms = self.clock.now_ms()
        self._jobs_ms.append(now_ms)
        self._forget_old_jobs(now_ms)
        zone, node = next(iter(owners.items()))
        preferred = self._recent(node)
        if zone != next(iter(reachable_owners)):
            chosen = self._with_shortest_wait(owners, job)
        elif _requires_label(job) and (preferred is None or preferred.has_workers):
            chosen = ChosenPlacer(node, zone)
        elif preferred is None or preferred.load.capacity_millicores is None:
            chosen = self._choose_by_free_capacity(owners, job)
        else:
            slack_ms = job.objective_ms - job.critical_path_ms - waited_ms
            chosen = (
                self._with_budget(owners, job, preferred)
                or self._with_shorter_queue(owners, job, preferred, slack_ms)
                or self._without_capacity(owners, job, preferred)
                or ChosenPlacer(node, zone)
            )
        if chosen.node in self.free_capacity:
            self.free_capacity[chosen.node].millicores -= job.need_millicores
        if chosen.reason is not ZoneReason.PREFERRED:
            self.on_moved(chosen)
        return chosen

    def may_reach_other(self, excluded_nodes: Collection[str] = ()) -> bool:
        """Return whether a placer of an open zone is known, reachable or not.

        If it has no link yet, ``choose`` may return it in a moment. A zone may be
        without an owner for a moment, too.
        """
        open_zones = [zone for zone in self.zones if zone not in self.evacuated_zones]
        return not self.zones or any(
            self.owner_of(zone) not in excluded_nodes for zone in open_zones
        )

    def current_owner(self, zone: str) -> ChosenPlacer | None:
        """Return the current owner of a zone, for a job that was sent there before."""
        node = self.owner_of(zone)
        return (
            None if node is None else ChosenPlacer(node, zone, ZoneReason.SENT_BEFORE)
        )

    def _with_budget(
        self, owners: Mapping[str, str], job: SubmittedJob, preferred: PlacerCapacity
    ) -> ChosenPlacer | None:
        """Return the other placer with the largest budget, if the job waits less there.

        If the budget is smaller than the job's need, the job moves with the probability
        of their ratio: together, the daemons then use what the placer announced.
        """
        best, best_budget = None, _chance(job) * job.need_millicores
        for zone, node in self._others(owners, preferred):
            budget = self.free_capacity[node].budget_millicores
            if budget > best_budget:
                best, best_budget = (
                    ChosenPlacer(node, zone, ZoneReason.FREE_CAPACITY),
                    budget,
                )
        if best is not None:
            self.free_capacity[best.node].budget_millicores -= job.need_millicores
        return best

    def _with_shorter_queue(
        self,
        owners: Mapping[str, str],
        job: SubmittedJob,
        preferred: PlacerCapacity,
        slack_ms: float,
    ) -> ChosenPlacer | None:
        """Return a placer where the job waits and is on time, if it is late otherwise.

        It is on time if it waits for ``slack_ms`` at most. Moved jobs fill the other
        queue to the mean of both waits at most, and never beyond ``MOVED_WAIT_MAX_MS``;
        this daemon adds only its share of that.
        """
        wait_ms = preferred.load.wait_ms
        if wait_ms <= slack_ms:
            return None
        work_needed = job.counted_work_millicore_ms
        others = sorted(
            self._others(owners, preferred),
            key=lambda item: self.free_capacity[item[1]].load.wait_ms,
        )
        for zone, node in others:
            other = self.free_capacity[node]
            other_wait_ms = other.load.wait_ms
            if other_wait_ms + DETOUR_MS > slack_ms:
                break
            level_ms = min(MOVED_WAIT_MAX_MS, (wait_ms + other_wait_ms) / 2)
            work = (level_ms - other_wait_ms) * other.load.capacity_millicores
            share = work * other.ramp / self._sharers(other)
            if share - other.moved_work > _chance(job) * work_needed:
                other.moved_work += work_needed
                return ChosenPlacer(node, zone, ZoneReason.ON_TIME)
        return None

    def _without_capacity(
        self, owners: Mapping[str, str], job: SubmittedJob, preferred: PlacerCapacity
    ) -> ChosenPlacer | None:
        """Return the placer with the shortest wait if the preferred one has no workers.

        None if no other placer is known to be able to serve the job, either.
        """
        if preferred.has_workers:
            return None
        chosen = self._with_shortest_wait(owners, job)
        return None if self._wait_ms(chosen.node, job) == inf else chosen

    def _with_shortest_wait(
        self, owners: Mapping[str, str], job: SubmittedJob
    ) -> ChosenPlacer:
        """Return the placer with the shortest wait; of equals, with the most free."""
        need = job.need_millicores
        zone, node = min(
            owners.items(),
            key=lambda item: (
                self._wait_ms(item[1], job),
                -self._free_millicores(item[1], need),
            ),
        )
        return ChosenPlacer(node, zone, ZoneReason.NO_CAPACITY)

    def _wait_ms(self, node: str, job: SubmittedJob) -> float:
        """Return the expected wait of a job at a placer.

        Without a report of waiting work, it is 0 if the job fits into the free
        capacity, as it does without any recent report, else ``MOVED_WAIT_MAX_MS``.
        """
        capacity = self._recent(node)
        if capacity is not None and capacity.load.capacity_millicores is not None:
            return capacity.load.wait_ms
        need = job.need_millicores
        return 0 if self._free_millicores(node, need) >= need else MOVED_WAIT_MAX_MS

    def _others(
        self, owners: Mapping[str, str], preferred: PlacerCapacity
    ) -> Iterator[tuple[str, str]]:
        """Yield the zones and placers with a recent report of a shorter wait."""
        for zone, node in owners.items():
            other = self._recent(node)
            if (
                other is not None
                and other is not preferred
                and other.load.capacity_millicores
                and other.load.wait_ms + DETOUR_MS < preferred.load.wait_ms
            ):
                yield zone, node

    def _choose_by_free_capacity(
        self, owners: Mapping[str, str], job: SubmittedJob
    ) -> ChosenPlacer:
        """Choose by free capacity alone, if the preferred placer announces no more.

        This is the preferred placer or, if it has too little free capacity for the
        job, the placer with the most. A placer without a recent report counts as
        having just enough.
        """
        need = job.need_millicores
        zone, node = next(iter(owners.items()))
        if self._free_millicores(node, need) < need:
            best_zone, best_node = max(
                owners.items(), key=lambda item: self._free_millicores(item[1], need)
            )
            if best_node != node:
                return ChosenPlacer(best_node, best_zone, ZoneReason.FREE_ONLY)
        return ChosenPlacer(node, zone)

    def _allotment(self, capacity: PlacerCapacity) -> float:
        """Return this daemon's share of a placer's free capacity for moved jobs.

        All daemons of the zones that are short of capacity share it.
        """
        load = capacity.load
        spare = load.free_millicores - RESERVE_SHARE * load.own_arriving_millicores
        return max(0.0, spare) * capacity.ramp / self._sharers(capacity)

    def _sharers(self, capacity: PlacerCapacity) -> float:
        """Return how many daemons are expected to move jobs to a placer, at least 1."""
        return max(1.0, capacity.sharing_daemons * self._active_share())

    def _sharing_daemons(self, node: str) -> int:
        """Return the number of daemons that may move jobs to a placer."""
        owners = self.reachable_owners()
        zones = {
            zone
            for index, (zone, owner) in enumerate(owners.items())
            if owner != node and (index == 0 or self._is_zone_short(zone, owner))
        }
        if self.own_zone and owners.get(self.own_zone) != node:
            # Without an owner, its daemons move all their jobs.
            zones.add(self.own_zone)
        return sum(map(self.daemons_in, zones))

    def _is_zone_short(self, zone: str, owner: str) -> bool:
        capacity = self._recent(owner)
        return zone in self.evacuated_zones or (
            capacity is not None and capacity.is_short
        )

    def _active_share(self) -> float:
        """Return the share of daemons that get a job between two reports.

        All are assumed to get as many jobs as this one lately, at random times.
        """
        self._forget_old_jobs(self.clock.now_ms())
        per_report = len(self._jobs_ms) * REPORT_INTERVAL_MS / ACTIVITY_WINDOW_MS
        return 1 - exp(-max(per_report, JOBS_PER_REPORT_MIN))

    def _forget_old_jobs(self, now_ms: float) -> None:
        while self._jobs_ms and self._jobs_ms[0] < now_ms - ACTIVITY_WINDOW_MS:
            self._jobs_ms.popleft()

    def _recent(self, node: str) -> PlacerCapacity | None:
        """Return a placer's capacity, None without a recent report."""
        capacity = self.free_capacity.get(node)
        if (
            capacity is None
            or self.clock.now_ms() > capacity.received_ms + CAPACITY_MAX_AGE_MS
        ):
            return None
        return capacity

    def _free_millicores(self, node: str, default_millicores: float) -> float:
        """Return a placer's free capacity; the default without a recent report."""
        capacity = self._recent(node)
        return default_millicores if capacity is None else capacity.millicores


def _chance(job: SubmittedJob) -> float:
    """Return a number from 0 to 1 that is fixed for a job."""
    return crc32(job.job_id.encode()) / 2**32


def _requires_label(job: SubmittedJob) -> bool:
    return any(step.required_label for step in job.steps)
