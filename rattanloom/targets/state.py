"""What one entry host knows of one worker."""

from attrs import define, field

from rattanloom.platform.protocol import ListedTarget
from rattanloom.targets.client import TargetClient
from rattanloom.targets.protocol import Attempt, AttemptReply, AttemptState

HINT_KEEP_MS = 300.0
FAILED_JOBS_MAX = 3
QUARANTINE_MS = 2_000.0
QUARANTINE_MAX_MS = 30_000.0
UNREACHABLE_MS = 500.0


@define(eq=False)
class TargetState:
    """One worker: its listing, its connections, its load and its health.

    ``own_slots`` are occupied from here, ``peer_slots`` by each other entry
    host as it last told; ``hint_slots`` is what the worker's own last reply
    says of slots taken by others, at ``hint_at_ms``.
    """

    listed: ListedTarget
    client: TargetClient
    owned: bool = True
    own_slots: int = 0
    peer_slots: dict[str, int] = field(factory=dict)
    hint_slots: int = 0
    hint_at_ms: float = float("-inf")
    leaving: bool = False
    blocked_until_ms: float = 0.0
    on_trial: bool = False
    quarantine_ms: float = QUARANTINE_MS
    failed_jobs: set[str] = field(factory=set)

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.listed.name

    def start(self, attempt: Attempt, patience_ms: float):
        """Start an attempt on the worker; see ``Target.start``."""
        return self.client.start(attempt, patience_ms)

    def look_up(self, attempt_id: str, wait_ms: float):
        """Ask how an attempt stands; see ``Target.look_up``."""
        return self.client.look_up(attempt_id, wait_ms)

    def stop(self, attempt_id: str):
        """Stop or fence an attempt; see ``Target.stop``."""
        return self.client.stop(attempt_id)

    def probe(self):
        """Ask for the worker's slots; see ``Target.probe``."""
        return self.client.probe()

    def usable(self, now_ms: float) -> bool:
        """Say whether the worker may get new work at all."""
        if self.leaving or self.listed.leaving or now_ms < self.blocked_until_ms:
            return False
        return not (self.on_trial and self.own_slots)

    def other_slots(self, now_ms: float) -> int:
        """Return the slots that others seem to occupy."""
        told = sum(self.peer_slots.values())
        if now_ms - self.hint_at_ms > HINT_KEEP_MS:
            return told
        return max(told, self.hint_slots)

    def tell_peer_slots(self, host: str, slots: int, now_ms: float) -> None:
        """Take in the slots that another entry host occupies."""
        self.peer_slots[host] = slots

    def free_slots(self, now_ms: float) -> int:
        """Return the slots believed free."""
        return self.listed.slots - self.own_slots - self.other_slots(now_ms)

    def note_reply(self, reply: AttemptReply, now_ms: float) -> None:
        """Take in the worker's state that rides on a reply."""
        self.leaving = reply.leaving or reply.state is AttemptState.LEAVING
        self.hint_slots = max(0, reply.busy_slots - self.own_slots)
        self.hint_at_ms = now_ms

    def note_success(self) -> None:
        """Count a task that ended well: the worker is sound."""
        self.failed_jobs.clear()
        self.on_trial = False
        self.quarantine_ms = QUARANTINE_MS

    def note_task_failure(self, job_id: str, now_ms: float) -> None:
        """Count a failed task; several jobs failing in a row block the worker."""
        self.failed_jobs.add(job_id)
        if self.on_trial or len(self.failed_jobs) >= FAILED_JOBS_MAX:
            self._quarantine(now_ms)

    def note_unreachable(self, now_ms: float) -> None:
        """Give the worker nothing for a short while."""
        self.blocked_until_ms = max(self.blocked_until_ms, now_ms + UNREACHABLE_MS)
        self.on_trial = True

    def _quarantine(self, now_ms: float) -> None:
        self.blocked_until_ms = now_ms + self.quarantine_ms
        self.quarantine_ms = min(self.quarantine_ms * 2, QUARANTINE_MAX_MS)
        self.on_trial = True
        self.failed_jobs.clear()
