"""Team quotas over all entry hosts, without asking anyone for each request.

Every host works out alone how many slots it may occupy for a team, from the
loads that ride on its peers' heartbeats:

* its *base share*, the quota divided over all known hosts, is always its own,
  so that a host or zone that is cut off goes on with what it may use alone;
* beyond it, unused quota is divided by max-min fairness over the demands told.
  A larger allowance counts only once it has held for ``INCREASE_DELAY_MS``, a smaller
  one at once, so that hosts that start together see each other first;
* the base shares of hosts that are not heard stay set aside;
* a host that has just started, and may not yet know all others, has no base
  share for ``JOIN_MS`` and runs one task of a team at a time.

With n hosts and quota q, hosts that wake while others hold what they lent
exceed q by less than q * (n - 1) / n, plus one task a host where the base share
is below a task's size, until the lent slots' tasks have ended. This holds while
loads arrive within ``INCREASE_DELAY_MS``; until they do, each host may use the whole quota.
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
    """What this host may occupy for one team, in slots.

    ``part_slots`` is its settled part of what the demands leave,
    ``pending_slots`` the larger part that waits to settle, and
    ``others_running_slots`` what the peers said they occupy.
    """

    quota_slots: int
    base_slots: int
    part_slots: int = 0
    pending_slots: int = 0
    pending_since_ms: float = 0.0
    others_running_slots: int = 0

    @property
    def allowed_slots(self) -> int:
        """Return how many slots may be occupied here."""
        return max(self.base_slots, self.part_slots)

    def update_part(self, part_slots: int, now_ms: float) -> None:
        """Move to a new part: down at once, up after ``INCREASE_DELAY_MS``."""
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
        """Return whether a task may start beside ``running_slots`` here."""
        if running_slots + size_slots <= self.allowed_slots:
            return True
        alone = running_slots == 0
        return alone and self.others_running_slots + size_slots <= self.quota_slots


@define(eq=False)
class PeerView:
    """The peers as last told: their demands by team, and who is not heard."""

    hosts: list[str] = field(factory=list)
    unreachable_hosts: list[str] = field(factory=list)
    loads: dict[str, HostLoad] = field(factory=dict)
    demands: dict[str, dict[str, int]] = field(factory=lambda: defaultdict(dict))
    running: dict[str, int] = field(factory=lambda: defaultdict(int))


def make_peer_view(members: Iterable[Member], loads: dict[str, HostLoad]) -> PeerView:
    """Sort what the peers told by team."""
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
    """Return one host's part of a quota; all hosts' parts add up to it.

    What does not divide evenly goes to hosts that differ from team to team.
    """
    everyone = sorted(
        {host, *hosts}, key=lambda name: (crc32(f"{team}/{name}".encode()), name)
    )
    part_slots, rest_slots = divmod(quota_slots, len(everyone))
    return part_slots + (everyone.index(host) < rest_slots)


def fair_part(wanted_slots: int, others: Iterable[int], total_slots: int) -> int:
    """Return what max-min fairness gives one demand out of ``total_slots``."""
    left_slots = total_slots
    demands = sorted(others)
    for index, demand_slots in enumerate(demands):
        level_slots = left_slots // (len(demands) - index + 1)
        if demand_slots >= level_slots:
            return min(wanted_slots, level_slots)
        if wanted_slots <= demand_slots:
            return wanted_slots
        left_slots -= demand_slots
    return max(0, min(wanted_slots, left_slots))


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
        """Work the shares out anew.

        ``demands`` holds, for each team active here, its quota and the slots
        it wants here. The shares of other teams are forgotten.
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
        """Return a team's share; its base share where it was not active."""
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
        set_aside_slots = sum(
            base_share(team, quota_slots, host, [self.host, *view.hosts])
            for host in view.unreachable_hosts
        )
        others = view.demands.get(team, {}).values()
        part_slots = fair_part(wanted_slots, others, quota_slots - set_aside_slots)
        share.update_part(part_slots, now_ms)
