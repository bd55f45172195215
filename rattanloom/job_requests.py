"""Requests in flight at one entry host; a planned stop waits for them."""

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
    """Counts the requests in flight, and abandons calls to issuers during a stop.

    ``leaving`` is set when a planned stop begins, ``overdue`` when the stop has
    reached its time limit.
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
        """Return what ``call`` returns, or a LEAVING failure once ``give_up`` is set.

        The call is then abandoned, but the issuer may still carry it out.
        """
        call_greenlet = gevent.spawn(call)
        try:
            gevent.wait([call_greenlet, give_up], count=1)
            if call_greenlet.ready():
                return call_greenlet.get()
            return Failure(
                ErrorKind.LEAVING,
                "this entry host is leaving; stopped waiting for the reply",
            )
        finally:
            call_greenlet.kill(block=False)

    def await_idle(self, is_busy: Callable[[], bool], within_ms: float) -> bool:
        """Wait until no request is in flight and ``is_busy()`` is false.

        Returns False on timeout.
        """
        with gevent.Timeout(max(0.0, within_ms) / MS_PER_S, False):
            while self.requests or is_busy():
                gevent.sleep(IDLE_POLL_MS / MS_PER_S)
            return True
        return False
