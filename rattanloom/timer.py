"""Timer service that calls its subscribers periodically."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field

from rattanloom.clock import MS_PER_S
from rattanloom.logs import get_log

log = get_log("timer")


@define(eq=False)
class Subscription:
    """A callback, called ``interval_ms`` after its last call ended, until cancelled."""

    name: str
    interval_ms: float
    callback: Callable[[], None]
    active: bool = True
    greenlet: gevent.Greenlet | None = None

    def cancel(self) -> None:
        """Stop further calls; kill a running callback unless it is the caller."""
        self.active = False
        if self.greenlet is not None and self.greenlet is not gevent.getcurrent():
            self.greenlet.kill(block=False)


@define(eq=False)
class TimerService:
    """Calls its subscribers at their intervals, each in its own greenlet."""

    subscriptions: list[Subscription] = field(factory=list)

    def subscribe(
        self, name: str, interval_ms: float, callback: Callable[[], None]
    ) -> Subscription:
        """Start to call ``callback`` periodically; its exceptions are logged."""
        subscription = Subscription(name, interval_ms, callback)
        subscription.greenlet = gevent.spawn(self._run, subscription)
        self.subscriptions.append(subscription)
        return subscription

    def close(self) -> None:
        """Cancel every subscription."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.subscriptions.clear()

    def _run(self, subscription: Subscription) -> None:
        while subscription.active:
            gevent.sleep(subscription.interval_ms / MS_PER_S)
            if not subscription.active:
                return
            try:
                subscription.callback()
            except Exception as error:
                log.error("{} failed: {!r}", subscription.name, error)


@contextmanager
def running_timers() -> Iterator[TimerService]:
    """Yield a timer service and cancel its subscriptions on exit."""
    timers = TimerService()
    try:
        yield timers
    finally:
        timers.close()
