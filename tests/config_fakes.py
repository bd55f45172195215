"""In-memory platform, peers and timers, controlled by the configuration tests."""

from enum import Enum
from random import Random

from attrs import define, field

from rattanloom.configuration_document import (
    HEAD_KEY,
    Head,
    VersionRecord,
    encode_head,
    make_document,
    object_name,
)
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.platform.protocol import Change, Row
from rattanloom.timer import Subscription
from standins.platform_state import Table
from tests.utils import FakeClock

CALL_MS = 1_000


class Fault(Enum):
    """The fault injected into one call to the platform."""

    NONE = "none"
    REFUSED = "refused"
    LOST_AFTER_EFFECT = "lost after effect"
    LOST_BEFORE_EFFECT = "lost before effect"
    LOST_AND_LATE = "lost, takes effect later"


@define(eq=False, slots=False)
class FakePlatform:
    """Table and object store in memory; each call uses up one of ``faults``.

    A failing call advances the clock by ``call_ms``. ``before_transact`` runs
    once, between an operator's read and write. ``late`` holds delayed writes
    until ``deliver_late_writes`` applies them.
    """

    clock: FakeClock = field(factory=FakeClock)
    table: Table = field(factory=Table)
    objects: dict = field(factory=dict)
    faults: list = field(factory=list)
    late: list = field(factory=list)
    down: bool = False
    call_ms: float = CALL_MS
    before_transact: object = None

    def read(self, keys):
        return self._call(lambda: self.table.read(keys), is_write=False)

    def transact(self, changes):
        if self.before_transact is not None:
            run, self.before_transact = self.before_transact, None
            run()
        return self._call(lambda: self.table.transact(changes), is_write=True)

    def put(self, name, content):
        def store():
            assert self.objects.setdefault(name, content) == content

        return self._call(store, is_write=True)

    def get(self, name):
        missing = Failure(ErrorKind.NOT_FOUND, name)
        return self._call(lambda: self.objects.get(name, missing), is_write=False)

    def deliver_late_writes(self):
        while self.late:
            self.late.pop(0)()

    def _call(self, apply, is_write):
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.NONE and not self.down:
            return apply()
        self.clock.ms += self.call_ms
        if self.down or fault is Fault.REFUSED or not is_write:
            return Failure(ErrorKind.PLATFORM_UNREACHABLE, "fault")
        if fault is Fault.LOST_AFTER_EFFECT:
            apply()
        if fault is Fault.LOST_AND_LATE:
            self.late.append(apply)
        return Failure(ErrorKind.REPLY_LOST, "fault")

    def publish_version(self, version, sections=None):
        """Make a version the head, as a publication does."""
        record = VersionRecord(version, version, f"id{version}", "ama", "why", 0.0)
        document = make_document(record, sections or {}, {})
        self.objects[object_name(document.digest)] = document.text.encode()
        row = self.table.rows.get(HEAD_KEY, Row(HEAD_KEY, 0, ""))
        value = encode_head(Head(record, document.digest))
        self.table.transact((Change(HEAD_KEY, row.version, value),))
        return document


@define(eq=False)
class ManualTimers:
    """A timer service whose callbacks run only on ``tick``."""

    subscriptions: list = field(factory=list)

    def subscribe(self, name, interval_ms, callback):
        subscription = Subscription(name, interval_ms, callback)
        self.subscriptions.append(subscription)
        return subscription

    def tick(self, name):
        for subscription in list(self.subscriptions):
            if subscription.active and subscription.name == name:
                subscription.callback()


def make_environment(clock):
    return Environment(clock=clock, random=Random(1))


@define(eq=False, slots=False)
class FakePeers:
    """Peers with members and documents set by the test."""

    known: tuple = ()
    documents: dict = field(factory=dict)
    callbacks: list = field(factory=list)
    announced: int = 0

    def members(self):
        return self.known

    def announce_config(self):
        self.announced += 1

    def on_config_version(self, callback):
        self.callbacks.append(callback)

    def fetch_config(self, host, version):
        missing = Failure(ErrorKind.HOME_UNREACHABLE, "no answer")
        return self.documents.get(host, missing)
