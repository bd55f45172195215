"""Sends pings on idle links and probes to peers, and closes the links that are lost.

One greenlet serves all links of a daemon. With a timer for each link, an owner with
many links would wake up for each ping.
"""

from collections.abc import Callable, Collection

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.links.link import PING_INTERVAL_MS, Link

# Pings that are due within this time are sent at once, so that those of several links
# fall together. Placers announce their load every 100 ms, which replaces pings.
PING_EARLY_MS = 40
PROBE_EARLY_MS = 10
# Time to read what arrived while this process was delayed, before a link is closed.
READ_DELAY_MS = 1


@define(eq=False, repr=False)
class LinkKeepalive:
    """Pings, probes and closes the links that ``open_links`` returns.

    Peers are probed while ``is_probing`` returns true.
    ``_late`` has the links that the last call of ``serve_links`` found to be lost.
    """

    clock: Clock
    open_links: Callable[[], Collection[Link]]
    is_probing: Callable[[], bool] = lambda: False
    _late: set[Link] = field(factory=set)

    def run(self) -> None:
        """Serve the links forever."""
        while True:
            gevent.sleep(self.serve_links() / MS_PER_S)

    def serve_links(self) -> float:
        """Send what is due, close lost links; return the ms until the next call.

        A link that opens meanwhile is served in time, as the first ping on it is due
        after ``PING_INTERVAL_MS``.
        """
        now_ms = self.clock.now_ms()
        next_ms = now_ms + PING_INTERVAL_MS
        late, is_probing = set(), self.is_probing()
        for link in self.open_links():
            lost_at_ms = link.lost_at_ms
            if lost_at_ms <= now_ms:
                if link in self._late:
                    link.close("timed out")
                    continue
                late.add(link)
            if is_probing and link.has_job_leases:
                if link.probe_due_ms <= now_ms + PROBE_EARLY_MS:
                    link.send_probe()
                next_ms = min(next_ms, link.probe_due_ms)
            if link.ping_due_ms <= now_ms + PING_EARLY_MS:
                link.send_ping()
            next_ms = min(next_ms, link.ping_due_ms, lost_at_ms)
        self._late = late
        min_ms = READ_DELAY_MS if late else 0
        return max(min_ms, next_ms - self.clock.now_ms())
