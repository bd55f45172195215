"""The state of one worker as one entry host tracks it."""

from attrs import define, field

from rattanloom.errors import Failure
from rattanloom.platform.protocol import ListedTarget
from rattanloom.targets.client import TargetClient
from rattanloom.targets.health import TargetHealth
from rattanloom.targets.protocol import Attempt, AttemptReply, AttemptState

REPORT_MAX_AGE_MS = 1_000.0  # of a worker's reply
BUSY_BACKOFF_MS = 50.0
BUSY_BACKOFF_MAX_MS = 3_000.0


@define(eq=False)
class TargetState:
    """One worker: its listing, its connections, its load and its health.

    ``own_slots`` are the slots occupied by this host's ``own_attempts``;
    ``peer_slots`` those that each other entry host last reported to occupy.
    ``reported_other_slots`` are the slots occupied by other hosts in the worker's
    last reply, received at ``reported_at_ms``; they are exact and replace
    ``peer_slots`` for ``REPORT_MAX_AGE_MS``.
    After a BUSY reply the worker gets no tasks until ``busy_until_ms``, or until a
    task succeeds on it; the time grows with each BUSY reply in a row.
    ``connections`` is this host's share of the worker's connection limit.
    ``owned`` is whether this host is the ``owner``; this host sends no tasks to
    ``owner_overloaded`` workers.
    """

    listed: ListedTarget
    client: TargetClient | None
    connections: int = 0
    owned: bool = True
    owner: str = ""
    owner_overloaded: bool = False
    drained: bool = False
    leaving: bool = False
    own_slots: int = 0
    own_attempts: int = 0
    peer_slots: dict[str, int] = field(factory=dict)
    reported_other_slots: int = 0
    reported_at_ms: float = float("-inf")
    busy_until_ms: float = 0.0
    busy_backoff_ms: float = BUSY_BACKOFF_MS
    health: TargetHealth = field(factory=TargetHealth)

    def __attrs_post_init__(self) -> None:
        self.connections = self.connections or self.listed.connections

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.listed.name

    @property
    def closed(self) -> bool:
        """Return whether the worker is leaving or drained, so gets no new tasks."""
        return self.leaving or self.listed.leaving or self.drained

    def start(
        self, attempt: Attempt, reply_timeout_ms: float
    ) -> AttemptReply | Failure:
        """Start an attempt on the worker; see ``Target.start``."""
        return self.client.start(attempt, reply_timeout_ms)

    def look_up(self, attempt_id: str, wait_ms: float) -> AttemptReply | Failure:
        """Request the state of an attempt; see ``Target.look_up``."""
        return self.client.look_up(attempt_id, wait_ms)

    def stop(self, attempt_id: str) -> AttemptReply | Failure:
        """Stop or fence an attempt; see ``Target.stop``."""
        return self.client.stop(attempt_id)

    def probe(self) -> AttemptReply | Failure:
        """Request the worker's slots; see ``Target.probe``."""
        return self.client.probe()

    def usable(self, now_ms: float) -> bool:
        """Return whether the worker may be sent a task now, if it has free slots."""
        if (
            self.closed
            or self.owner_overloaded
            or self.own_attempts >= self.connections
        ):
            return False
        if now_ms < self.busy_until_ms:
            return False
        return self.health.accepts(now_ms, self.own_slots)

    def other_slots(self, now_ms: float) -> int:
        """Return the slots of other hosts, from the worker's last reply if recent."""
        if now_ms - self.reported_at_ms > REPORT_MAX_AGE_MS:
            return sum(self.peer_slots.values())
        return self.reported_other_slots

    def free_slots(self, now_ms: float) -> int:
        """Return the estimated free slots; below 0 if the worker holds attempts."""
        return self.listed.slots - self.own_slots - self.other_slots(now_ms)

    def occupy(self, slots: int) -> None:
        """Add the slots of an attempt that is about to be sent."""
        self.own_slots += slots
        self.own_attempts += 1

    def release(self, slots: int) -> None:
        """Release the slots of a finished attempt."""
        self.own_slots -= slots
        self.own_attempts -= 1

    def set_peer_slots(self, host: str, slots: int) -> None:
        """Set the slots that another entry host reports to occupy."""
        self.peer_slots[host] = slots

    def record_reply(self, reply: AttemptReply, now_ms: float) -> None:
        """Update the state from a reply; a reply to a probe has no ``attempt_id``."""
        self.leaving = reply.leaving or reply.state is AttemptState.LEAVING
        if reply.attempt_id:
            self.reported_other_slots = reply.busy_slots - reply.sender_slots
            self.reported_at_ms = now_ms
        if reply.state is AttemptState.BUSY:
            self.busy_until_ms = now_ms + self.busy_backoff_ms
            self.busy_backoff_ms = min(self.busy_backoff_ms * 2, BUSY_BACKOFF_MAX_MS)
        elif reply.state is AttemptState.DONE:
            self.busy_backoff_ms = BUSY_BACKOFF_MS
            self.busy_until_ms = 0.0
