"""The workers that owners state to use, so that the next owner knows if it has all.

An owner states its workers on its links before it uses them. The registry of the next
owner may lack some: entries expire during an outage of the store, and return later.
"""

from collections import defaultdict
from math import inf

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link, send_to_all
from rattanloom.links.messages import WORKERS_IN_USE_VERSION, WorkersInUse

# A statement counts for this time after its link was closed: the longest takeover. The
# entry of a worker that the owner has found meanwhile does not expire within it.
STATEMENT_KEPT_MS = 2_000
# Runs on a worker that its owner no longer uses are over after this time: their leases
# have expired, and those that the next placer found have been stopped.
DROPPED_KEPT_MS = 1_500


@define(eq=False)
class Statement:
    """The workers that a peer last stated on a link.

    ``dropped_ms`` has when a later statement lacked a worker, whose runs may go on.
    """

    workers: frozenset[str] = frozenset()
    dropped_ms: dict[str, float] = field(factory=dict)

    def replace(self, workers: frozenset[str], now_ms: float) -> None:
        """Record a new statement."""
        dropped = dict.fromkeys(self.workers - workers, now_ms)
        self.dropped_ms = self._recently_dropped(now_ms) | dropped
        self.workers = workers

    def used(self, now_ms: float) -> frozenset[str]:
        """Return the workers on which runs may be active."""
        return self.workers.union(self._recently_dropped(now_ms))

    def _recently_dropped(self, now_ms: float) -> dict[str, float]:
        since_ms = now_ms - DROPPED_KEPT_MS
        return {
            worker: dropped_ms
            for worker, dropped_ms in self.dropped_ms.items()
            if dropped_ms > since_ms
        }


@define(eq=False, repr=False)
class StatedWorkers:
    """States the workers in use to peers, and records the statements of these.

    ``own`` are the workers that this daemon uses, or used while it last owned zones;
    None if it has not owned any. ``_statements`` is by node and link.
    """

    clock: Clock
    hub: LinkHub
    own: frozenset[str] | None = None
    _statements: dict[str, dict[Link, Statement]] = field(
        factory=lambda: defaultdict(dict)
    )

    def state(self, workers: frozenset[str]) -> None:
        """Tell all linked peers which workers are about to be used, if they changed."""
        if workers == self.own:
            return
        self.own = workers
        links = filter(_knows_statements, self.hub.open_links())
        send_to_all(links, self._message())

    def on_link_opened(self, link: Link) -> None:
        """Tell a peer which workers are in use."""
        if self.own is not None and _knows_statements(link):
            link.send(self._message())

    def record(self, link: Link, workers: frozenset[str]) -> None:
        """Record the workers that the peer of a link uses."""
        statements = self._statements[link.peer.node]
        for other in list(statements):
            if self._is_outdated(other):
                del statements[other]
        statements.setdefault(link, Statement()).replace(workers, self.clock.now_ms())

    def used_by(self, node: str, zones_changed_ms: float) -> frozenset[str] | None:
        """Return all workers on which runs of a peer's placer may be active.

        ``zones_changed_ms`` is when it last got a zone, or lost one to a third daemon.
        None if it has not stated its workers, or on no link that is open or was closed
        after that and not long ago.
        """
        now_ms = self.clock.now_ms()
        recent = {
            link: statement.used(now_ms)
            for link, statement in self._statements.get(node, {}).items()
            if not self._is_outdated(link)
        }
        if max((link.closed_ms for link in recent), default=-inf) < zones_changed_ms:
            return None
        return frozenset().union(*recent.values()) if recent else None

    def _is_outdated(self, link: Link) -> bool:
        return self.clock.now_ms() > link.closed_ms + STATEMENT_KEPT_MS

    def _message(self) -> WorkersInUse:
        return WorkersInUse(tuple(sorted(self.own)))


def _knows_statements(link: Link) -> bool:
    return link.peer.protocol_version >= WORKERS_IN_USE_VERSION
