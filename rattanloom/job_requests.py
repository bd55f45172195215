"""The requests in flight at one entry host, for which a planned stop waits."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field
from gevent.event import Event

from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure
from rattanloom.job import JobResult

IDLE_POLL_MS = 20


@define(eq=False)
class RequestsInFlight:
    """Counts requests, and ends the waiting of those that wait on other hosts.

    ``leaving`` is set when a planned stop begins, ``overdue`` when its time
    is up.
    """

    requests: int = 0
    leaving: Event = field(factory=Event)
    overdue: Event = field(factory=Event)

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count one request while the block runs."""
        self.requests += 1
        try:
            yield
        finally:
            self.requests -= 1

    def call_issuer(
        self, call: Callable[[], JobResult | Failure], give_up: Event
    ) -> JobResult | Failure:
        """Return what the call to another host returns, until ``give_up``."""
        forwarding = gevent.spawn(call)
        try:
            gevent.wait([forwarding, give_up], count=1)
            if forwarding.ready():
                return forwarding.get()
            return Failure(ErrorKind.LEAVING, "this host is leaving and waits no more")
        finally:
            forwarding.kill(block=False)

    def await_idle(self, is_busy: Callable[[], bool], within_ms: float) -> bool:
        """Wait until no request is left and ``is_busy`` says no."""
        with gevent.Timeout(max(0.0, within_ms) / MS_PER_S, False):
            while self.requests or is_busy():
                gevent.sleep(IDLE_POLL_MS / MS_PER_S)
            return True
        return False
