"""Team quotas over all entry hosts, enforced without a request to any other host.

Every host computes on its own how many slots it may occupy for a team, from the
loads that its peers' heartbeats carry:

* its *base share*, the quota divided over all known hosts, is always available
  to it, so that a host or zone that is cut off can continue on its own;
* beyond it, unused quota is divided by max-min fairness over the reported demands.
  A larger part takes effect only after ``INCREASE_DELAY_MS``, a smaller one
  immediately, so that hosts that start together receive each other's loads first;
* the base shares of unreachable hosts stay reserved;
* a host that has just started, and may not yet know all others, has no base
  share for ``JOIN_MS`` (until it is *joined*) and runs one task of a team at a time.

A host that becomes active may use its base share at once, also while other hosts
still run tasks on that share. With n hosts and quota q, the slots in use then exceed
q by less than q * (n - 1) / n, plus one task for each host whose base share is
smaller than a task, until the tasks on the borrowed slots have finished. This bound
holds while loads arrive within ``INCREASE_DELAY_MS``; if they arrive later, each
host may use the whole quota until they do.
"""

from collections import defaultdict
from collections.abc import Iterable
from zlib import crc32

from attrs import define, field

from rattanloom.peers.protocol import HostLoad, Member, MemberState

JOIN_MS = 600.0
INCREASE_DELAY_MS = 2_000.0
UNREACHABLE_STATES = (MemberState.SILENT, MemberState.CUT_OFF)


@define(eq=False)
class TeamShare:
    """The slots that this host may occupy for one team.

    ``quota_slots`` is the team's quota over all hosts. ``part_slots`` is this host's
    active max-min fair part of it, ``pending_slots`` a larger part that is not active
    yet (0 for none), and ``others_running_slots`` the slots that the peers reported
    as occupied by the team.
    """

    quota_slots: int
    base_slots: int
    part_slots: int = 0
    pending_slots: int = 0
    pending_since_ms: float = 0.0
    others_running_slots: int = 0

    @property
    def allowed_slots(self) -> int:
        """Return how many slots the team may occupy on this host."""
        return max(self.base_slots, self.part_slots)

    def update_part(self, part_slots: int, now_ms: float) -> None:
        """Apply a smaller part at once, a larger one after ``INCREASE_DELAY_MS``."""
        if part_slots <= self.part_slots:
            self.part_slots = part_slots
            self.pending_slots = 0
            return
        if not self.pending_slots:
            self.pending_since_ms = now_ms
            self.pending_slots = part_slots
        self.pending_slots = min(self.pending_slots, part_slots)
        if now_ms - self.pending_since_ms >= INCREASE_DELAY_MS:
            self.part_slots = self.pending_slots
            self.pending_slots = 0

    def permits(self, running_slots: int, size_slots: int) -> bool:
        """Return whether a task may start while ``running_slots`` are occupied here.

        A task larger than ``allowed_slots`` may run as the team's only task here if
        the peers' tasks leave enough of the quota.
        """
        if running_slots + size_slots <= self.allowed_slots:
            return True
        alone = running_slots == 0
        return alone and self.others_running_slots + size_slots <= self.quota_slots


@define(eq=False)
class PeerView:
    """The peers' last reported loads by team, and the unreachable peers.

    ``hosts`` are the peers among which quotas are divided into base shares.
    ``demands`` holds the sum of running and queued slots by team and host,
    ``running`` the running slots by team.
    """

    hosts: list[str] = field(factory=list)
    unreachable_hosts: list[str] = field(factory=list)
    loads: dict[str, HostLoad] = field(factory=dict)
    demands: dict[str, dict[str, int]] = field(factory=lambda: defaultdict(dict))
    running: dict[str, int] = field(factory=lambda: defaultdict(int))


def make_peer_view(members: Iterable[Member], loads: dict[str, HostLoad]) -> PeerView:
    """Group the peers' reported loads by team; leaving peers get no base share."""
    view = PeerView(loads=loads)
    for member in members:
        if member.state is not MemberState.LEAVING:
            view.hosts.append(member.host)
        if member.state in UNREACHABLE_STATES:
            view.unreachable_hosts.append(member.host)
    for host, load in loads.items():
        for team in load.teams:
            view.demands[team.team][host] = team.running_slots + team.queued_slots
            view.running[team.team] += team.running_slots
    return view


def base_share(team: str, quota_slots: int, host: str, hosts: list[str]) -> int:
    """Return one host's part of a quota; all hosts' parts add up to the quota.

    The remainder of the division goes to hosts that differ from team to team.
    """
    all_hosts = sorted(
        {host, *hosts}, key=lambda name: (crc32(f"{team}/{name}".encode()), name)
    )
    part_slots, remainder_slots = divmod(quota_slots, len(all_hosts))
    return part_slots + (all_hosts.index(host) < remainder_slots)


def fair_part(wanted_slots: int, others: Iterable[int], total_slots: int) -> int:
    """Return the max-min fair part of ``total_slots`` for a demand of ``wanted_slots``.

    ``others`` are the other hosts' demands.
    """
    remaining_slots = total_slots
    demands = sorted(others)
    for index, demand_slots in enumerate(demands):
        level_slots = remaining_slots // (len(demands) - index + 1)
        if demand_slots >= level_slots:
            return min(wanted_slots, level_slots)
        if wanted_slots <= demand_slots:
            return wanted_slots
        remaining_slots -= demand_slots
    return max(0, min(wanted_slots, remaining_slots))


@define(eq=False)
class QuotaShares:
    """The parts of the teams' quotas that this host may use."""

    host: str
    started_at_ms: float
    is_joined: bool = False
    _view: PeerView = field(factory=PeerView)
    _shares: dict[str, TeamShare] = field(factory=dict)

    def refresh(
        self, view: PeerView, demands: dict[str, tuple[int, int]], now_ms: float
    ) -> None:
        """Recompute the shares.

        ``demands`` holds, for each team active here, its quota and the slots
        that it demands here. The shares of other teams are removed.
        """
        self._view = view
        shares = self._shares
        self._shares = {}
        self.is_joined = now_ms - self.started_at_ms >= JOIN_MS
        for team, (quota_slots, wanted_slots) in demands.items():
            share = shares.get(team)
            if share is None or share.quota_slots != quota_slots:
                share = self._new_share(team, quota_slots)
            self._shares[team] = share
            self._refresh_team(share, team, wanted_slots, now_ms)

    def share(self, team: str, quota_slots: int) -> TeamShare:
        """Return a team's share; a team not seen by ``refresh`` gets its base share."""
        share = self._shares.get(team)
        if share is None or share.quota_slots != quota_slots:
            share = self._shares[team] = self._new_share(team, quota_slots)
        return share

    def _new_share(self, team: str, quota_slots: int) -> TeamShare:
        base_slots = self._base_slots(team, quota_slots)
        share = TeamShare(quota_slots, base_slots)
        share.others_running_slots = self._view.running.get(team, 0)
        return share

    def _base_slots(self, team: str, quota_slots: int) -> int:
        if not self.is_joined:
            return 0
        return base_share(team, quota_slots, self.host, self._view.hosts)

    def _refresh_team(
        self, share: TeamShare, team: str, wanted_slots: int, now_ms: float
    ) -> None:
        view = self._view
        quota_slots = share.quota_slots
        share.base_slots = self._base_slots(team, quota_slots)
        share.others_running_slots = view.running.get(team, 0)
        reserved_slots = sum(
            base_share(team, quota_slots, host, [self.host, *view.hosts])
            for host in view.unreachable_hosts
        )
        others = view.demands.get(team, {}).values()
        part_slots = fair_part(wanted_slots, others, quota_slots - reserved_slots)
        share.update_part(part_slots, now_ms)
