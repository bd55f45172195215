"""Announces the load of this daemon's placer, and records that of other placers."""

from attrs import define

from rattanloom.clock import Clock
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link, send_to_all
from rattanloom.links.messages import ZONE_LOAD_VERSION, AnnouncedLoad, FreeCapacity
from rattanloom.metrics import Metrics
from rattanloom.ownership.ownership import Ownership
from rattanloom.placement.load_report import measure_load
from rattanloom.placement.placer import Placer
from rattanloom.scheduling.zone_choice import REPORT_INTERVAL_MS, PlacerChoice

# Limit of the gauge of the expected wait, which is infinite without capacity.
SHOWN_WAIT_MAX_MS = 60_000


@define(eq=False, repr=False)
class CapacityExchange:
    """Announces the placer's load to all linked daemons and to ``placer_choice``.

    Peers of a build that does not know the message get the free capacity only.
    """

    clock: Clock
    hub: LinkHub
    ownership: Ownership
    placer: Placer
    placer_choice: PlacerChoice
    metrics: Metrics
    _announced_ms: float = 0

    def announce_if_due(self) -> None:
        """Announce the load if ``REPORT_INTERVAL_MS`` have passed.

        Does nothing unless this daemon owns a zone and the deployment is large.
        """
        now_ms = self.clock.now_ms()
        if (
            now_ms <= self._announced_ms + REPORT_INTERVAL_MS
            or not self.ownership.owned()
            or not self.ownership.is_large_deployment()
        ):
            return
        self._announced_ms = now_ms
        load = measure_load(self.placer, self._own_sources(), now_ms)
        self.metrics.gauge("zone_free_millicores", load.free_millicores)
        self.metrics.gauge("zone_capacity_millicores", load.capacity_millicores)
        self.metrics.gauge("zone_wait_ms", min(load.wait_ms, SHOWN_WAIT_MAX_MS))
        self.placer_choice.record_load(self.ownership.own_member.node, load)
        current, older = [], []
        for node in self.hub.nodes():
            link = self.hub.link(node)
            is_current = link.peer.protocol_version >= ZONE_LOAD_VERSION
            (current if is_current else older).append(link)
        send_to_all(current, AnnouncedLoad(load))
        send_to_all(older, FreeCapacity(load.free_millicores))

    def handle(self, link: Link, message: FreeCapacity | AnnouncedLoad) -> None:
        """Record what a peer's placer announced; ignore a load that is not finite."""
        node = link.peer.node
        if isinstance(message, AnnouncedLoad):
            if message.load.is_finite:
                self.placer_choice.record_load(node, message.load)
            else:
                self.metrics.count("loads_ignored")
        else:
            self.placer_choice.record_free_capacity(node, message.millicores)

    def daemons_in(self, zone: str) -> int:
        """Return the number of registered daemons in a zone."""
        members = self.ownership.view.members.values()
        return sum(member.zone == zone for member in members)

    def _own_sources(self) -> set[str]:
        """Return the daemons in the zones that this daemon owns."""
        owned = self.ownership.owned()
        members = self.ownership.view.members.values()
        return {member.node for member in members if member.zone in owned}
