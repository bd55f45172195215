"""Tells whether the owner named by a zone's record still holds the zone.

A record names a node, but a restarted node holds nothing until it has acquired its
zones again. So each daemon states the zones of its incarnation on its links, and a live
link alone does not count as a live owner.
"""

from attrs import define, evolve, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link
from rattanloom.links.messages import OWNED_ZONES_VERSION, OwnedZones
from rattanloom.ownership.view import OwnerView

log = DecisionLog("ownership")

# A live owner that does not confirm its zone within this time has lost it. A restarted
# owner needs up to 850 ms with a store that takes 200 ms for a call: two writes to
# register, an idle tick and the write that acquires the zones. The rest of a takeover
# takes up to 1.6 s, and clients of every zone are to be served within 3 s.
CONFIRMATION_TIMEOUT_MS = 1_000


@define(eq=False, repr=False)
class OwnerConfirmation:
    """Announces the zones of this incarnation; compares peers' with the records.

    What a peer stated is kept with its link, so it is forgotten with its incarnation.
    ``_unconfirmed`` maps a zone whose live owner does not confirm it to the fencing
    token of its record and the time of the first check.
    """

    clock: Clock
    hub: LinkHub
    view: OwnerView
    _unconfirmed: dict[str, tuple[int, float]] = field(factory=dict)

    def announce(self) -> None:
        """Send the zones owned here to all peers if they have changed."""
        owned = self.view.owned()
        zones = tuple(sorted(owned))
        tokens = tuple(owned[zone].fencing_token for zone in zones)
        hello = self.hub.own_hello
        if (zones, tokens) == (hello.zones, hello.tokens):
            return
        self.hub.own_hello = evolve(hello, zones=zones, tokens=tokens)
        log.info("owned_zones", zones=zones)
        for link in self.hub.open_links():
            self._send(link)

    def on_link_opened(self, link: Link) -> None:
        """Send the zones again if they have changed since the link's hello was sent."""
        if link.own_hello is not self.hub.own_hello:
            self._send(link)

    def record(self, link: Link, message: OwnedZones) -> None:
        """Record the zones that a peer states to own."""
        link.peer_zones = dict(zip(message.zones, message.tokens, strict=True))

    def is_confirmed(self, zone: str) -> bool:
        """Return whether the owner is this incarnation, or is alive and confirms it."""
        owner = self.view.owners.get(zone)
        if owner is None:
            return False
        if owner.owner == self.view.own_member.node:
            return zone in self.view.owned()
        return self.hub.is_alive(owner.owner) and self.unconfirmed_ms(zone) == 0

    def is_held(self, zone: str) -> bool:
        """Return whether the owner is this incarnation, or is alive and not overdue."""
        owner = self.view.owners.get(zone)
        if owner is None:
            return False
        if owner.owner == self.view.own_member.node:
            return zone in self.view.owned()
        return self.hub.is_alive(owner.owner) and not self.is_overdue(zone)

    def is_overdue(self, zone: str) -> bool:
        """Return whether a live owner has not confirmed the zone in time."""
        return self.unconfirmed_ms(zone) > CONFIRMATION_TIMEOUT_MS

    def unconfirmed_ms(self, zone: str) -> float:
        """Return for how long the zone's live owner has not confirmed it.

        Returns 0 if it has, if it is of a build without confirmations or not alive.
        """
        owner = self.view.owners.get(zone)
        link = self.hub.link(owner.owner) if owner else None
        if link is None or not link.is_alive():
            return 0
        is_old_build = self.is_alive_old_build(owner.owner)
        if is_old_build or link.peer_zones.get(zone, 0) >= owner.fencing_token:
            self._unconfirmed.pop(zone, None)
            return 0
        now_ms = self.clock.now_ms()
        token, since_ms = self._unconfirmed.get(zone, (0, now_ms))
        if token != owner.fencing_token:
            since_ms = now_ms
            self._unconfirmed[zone] = (owner.fencing_token, now_ms)
        # Not 0 from the first check on, which tells it from a confirmed zone.
        return now_ms - since_ms or 1

    def is_alive_old_build(self, node: str) -> bool:
        """Return whether a peer is alive and of a build that states no zones."""
        link = self.hub.link(node)
        return (
            link is not None
            and link.is_alive()
            and link.peer.protocol_version < OWNED_ZONES_VERSION
        )

    def may_hold(self, link: Link, zone: str) -> bool:
        """Return whether a peer has not stated to have lost a zone."""
        is_old_build = link.peer.protocol_version < OWNED_ZONES_VERSION
        return is_old_build or zone in link.peer_zones

    def held_zones(self, node: str) -> set[str]:
        """Return the zones that a node holds, as far as this daemon knows."""
        if node == self.view.own_member.node:
            return set(self.view.owned())
        link = self.hub.link(node)
        if link is None or not link.is_alive():
            return set()
        stated = {
            zone
            for zone, token in link.peer_zones.items()
            if token >= self.view.token(zone)
        }
        return stated | {
            zone for zone in self.view.zones_of(node) if not self.is_overdue(zone)
        }

    def _send(self, link: Link) -> None:
        hello = self.hub.own_hello
        if hello.zones and link.has_job_leases:
            # The reply arrives before the jobs that the peer submits now.
            link.send_probe()
        if link.peer.protocol_version >= OWNED_ZONES_VERSION:
            link.send(OwnedZones(hello.zones, hello.tokens))
