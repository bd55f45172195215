"""The workers that an entry host knows, and how the entry hosts share them."""

from fnmatch import fnmatchcase
from math import ceil

from attrs import define, field

from rattanloom.peers.protocol import HostLoad, Member, MemberState, Peers
from rattanloom.platform.protocol import ListedTarget
from rattanloom.routing import (
    OVERCOMMIT_MAX_SHARE,
    TargetTiers,
    make_tiers,
    spread_owners,
)
from rattanloom.targets.state import TargetState

# Share of a worker's connection limit kept free for look-ups, stops and probes,
# each of which opens a new connection.
RESERVED_CONNECTIONS_SHARE = 0.125
REACHABLE_STATES = frozenset({MemberState.LIVE, MemberState.LEAVING})


@define(eq=False)
class Fleet:
    """The workers (targets) by name, and this host's share of each.

    Each worker is owned by one live entry host of its zone, which may send it an
    attempt per slot and some more (overcommitted), each over its own connection. The
    other hosts share the rest of the worker's connection limit evenly. Workers that
    are leaving or drained are closed: they have no owner.
    """

    host: str
    zone: str
    peers: Peers | None = None
    targets: dict[str, TargetState] = field(factory=dict)
    _unresponsive_zones: frozenset[str] = frozenset()
    _host_count: int = 1
    _zone_host_count: int = 1
    _loads: dict[str, HostLoad] = field(factory=dict)
    _listing_version: int = 0
    _assignment_inputs: tuple = ()
    _tiers: dict[tuple[str, ...], TargetTiers] = field(factory=dict)

    def add(self, state: TargetState) -> None:
        """Add a worker, replacing any of the same name."""
        self.remove(state.name)
        self.targets[state.name] = state
        self._loads = {}
        self._listing_version += 1

    def update_listing(self, state: TargetState, listed: ListedTarget) -> None:
        """Update a known worker from the platform's list of workers."""
        if state.listed != listed:
            state.listed = listed
            self._listing_version += 1
            self.invalidate_tiers()

    def remove(self, name: str) -> None:
        """Remove a worker and close its idle connections; its attempts continue."""
        state = self.targets.pop(name, None)
        if state is not None:
            state.client.close()
        self._listing_version += 1
        self.invalidate_tiers()

    def refresh(self) -> list[TargetState]:
        """Update loads and owners from the peers.

        Returns the workers of other zones whose entry hosts have all become
        unresponsive since the last call.
        """
        members = self.peers.members() if self.peers else ()
        self._host_count = 1 + sum(
            member.state in REACHABLE_STATES for member in members
        )
        self.update_peer_loads()
        self._assign_owners(members)
        return self._find_newly_unresponsive(members)

    def live_peers(self) -> list[str]:
        """Return the live peers' names, those of this zone first."""
        members = self.peers.members() if self.peers else ()
        live = [member for member in members if member.state is MemberState.LIVE]
        live.sort(key=lambda member: (member.zone != self.zone, member.host))
        return [member.host for member in live]

    def invalidate_tiers(self) -> None:
        """Clear the cached tiers; they are computed again at the next use."""
        self._tiers.clear()

    def tiers(self, patterns: tuple[str, ...]) -> TargetTiers:
        """Return the workers that ``allowed`` returns, by tier."""
        tiers = self._tiers.get(patterns)
        if tiers is None:
            tiers = make_tiers(self.allowed(patterns), self.zone)
            self._tiers[patterns] = tiers
        return tiers

    def allowed(self, patterns: tuple[str, ...]) -> list[TargetState]:
        """Return the workers whose names match a pattern; without patterns, all."""
        return [
            state for state in self.targets.values() if _matches(state.name, patterns)
        ]

    def share_slots(self) -> int:
        """Return this host's even share of its zone's slots, without closed workers."""
        slots = sum(
            state.listed.slots
            for state in self.targets.values()
            if state.listed.zone == self.zone and not state.closed
        )
        return ceil(slots / self._zone_host_count)

    def _find_newly_unresponsive(
        self, members: tuple[Member, ...]
    ) -> list[TargetState]:
        before = self._unresponsive_zones
        self._unresponsive_zones = _find_unresponsive_zones(members) - {self.zone}
        new = self._unresponsive_zones - before
        return [state for state in self.targets.values() if state.listed.zone in new]

    def update_peer_loads(self) -> bool:
        """Apply the peers' loads that changed; return whether any did.

        ``Peers.loads`` returns the same object for a host until its next report.
        """
        loads = self.peers.loads() if self.peers else {}
        changed = [host for host in loads if loads[host] is not self._loads.get(host)]
        gone = self._loads.keys() - loads.keys()
        for host in (*changed, *gone):
            self._remove_load(host)
        for host in changed:
            self._apply_load(host, loads[host])
        self._loads = loads
        if changed or gone:
            self._update_owner_overloaded()
        return bool(changed or gone)

    def _update_owner_overloaded(self) -> None:
        """Mark the workers whose owner is overloaded; this host sends them no tasks."""
        overloaded = {host for host, load in self._loads.items() if is_overloaded(load)}
        for state in self.targets.values():
            state.owner_overloaded = state.owner in overloaded

    def _apply_load(self, host: str, load: HostLoad) -> None:
        for entry in load.targets:
            state = self.targets.get(entry.target)
            if state is not None:
                state.set_peer_slots(host, entry.slots)

    def _remove_load(self, host: str) -> None:
        """Remove the load that was last applied for a host."""
        load = self._loads.get(host, HostLoad())
        for entry in load.targets:
            state = self.targets.get(entry.target)
            if state is not None:
                state.peer_slots.pop(host, None)

    def _assign_owners(self, members: tuple[Member, ...]) -> None:
        """Assign workers to live hosts of their zones, if any of these have changed."""
        hosts = [(self.zone, self.host)] + [
            (member.zone, member.host)
            for member in members
            if member.state is MemberState.LIVE
        ]
        closed = [state.name for state in self.targets.values() if state.closed]
        inputs = (self._listing_version, self._host_count, tuple(hosts), tuple(closed))
        if inputs == self._assignment_inputs:
            return
        self._assignment_inputs = inputs
        self._zone_host_count = sum(zone == self.zone for zone, _ in hosts)
        for zone in {state.listed.zone for state in self.targets.values()}:
            self._assign_zone(
                zone, [host for host_zone, host in hosts if host_zone == zone]
            )
        self._update_owner_overloaded()
        self.invalidate_tiers()

    def _assign_zone(self, zone: str, hosts: list[str]) -> None:
        states = [state for state in self.targets.values() if state.listed.zone == zone]
        slots = {state.name: state.listed.slots for state in states if not state.closed}
        owners = spread_owners(slots, hosts)
        for state in states:
            state.owner = owners.get(state.name, "")
            state.owned = state.owner == self.host
            state.connections = self._connections(state)

    def _connections(self, state: TargetState) -> int:
        """Return how many connections to a worker this host may use for attempts.

        The owner may use one for each attempt that it may send. The other hosts
        divide what is left after the owner's and the reserved ones, but get at least
        one each.
        """
        listed = state.listed
        by_owner = listed.slots + int(OVERCOMMIT_MAX_SHARE * listed.slots)
        if state.owned:
            return min(by_owner, listed.connections)
        reserved = by_owner + int(listed.connections * RESERVED_CONNECTIONS_SHARE)
        other_hosts = max(1, self._host_count - 1)
        return max(1, (listed.connections - reserved) // other_hosts)


def is_overloaded(load: HostLoad) -> bool:
    """Return whether a host has at least as many slots queued as running.

    Its workers then have no free slots, even if loads reported earlier show some.
    """
    return load.queued_slots > 0 and load.queued_slots >= load.running_slots


def _matches(name: str, patterns: tuple[str, ...]) -> bool:
    return not patterns or any(fnmatchcase(name, pattern) for pattern in patterns)


def _find_unresponsive_zones(members: tuple[Member, ...]) -> frozenset[str]:
    """Return the zones in which no member is reachable."""
    reachable = {member.zone for member in members if member.state in REACHABLE_STATES}
    return frozenset(member.zone for member in members) - reachable
