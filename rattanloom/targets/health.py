"""Health of one worker: quarantine, reachability, probes and speed."""

from math import exp

from attrs import define, field

QUARANTINE_MS = 2_000.0
QUARANTINE_MAX_MS = 30_000.0
PROBE_DELAY_MS = 500.0
PROBE_DELAY_MAX_MS = 10_000.0
SLOWNESS_GAIN = 0.1  # weight of a new ratio in the moving average
SLOWNESS_MAX = 4.0
SLOW_THRESHOLD = 1.8
SLOWNESS_DECAY_MS = 20_000.0


@define(eq=False)
class TargetHealth:
    """One worker's health as observed by this host.

    An unreachable worker gets no tasks until it replies to a probe; one that
    fails its tasks is quarantined, each time for longer: ``quarantine_ms`` is the
    length of the next quarantine. Either is then on trial: it gets one task at a
    time, until one succeeds.
    """

    quarantined_until_ms: float = 0.0
    on_trial: bool = False
    quarantine_ms: float = QUARANTINE_MS
    failed_jobs: set[str] = field(factory=set)
    unreachable: bool = False
    probe_at_ms: float = 0.0
    probe_delay_ms: float = PROBE_DELAY_MS
    _slowness: float = 1.0
    _slowness_at_ms: float = 0.0

    def accepts(self, now_ms: float, own_slots: int) -> bool:
        """Return whether the worker may get a task while it runs ``own_slots``."""
        if self.unreachable or now_ms < self.quarantined_until_ms:
            return False
        return not (self.on_trial and own_slots)

    def record_success(self) -> None:
        """Record a successful task: end the trial, reset failures and delays."""
        self.failed_jobs.clear()
        self.on_trial = False
        self.quarantine_ms = QUARANTINE_MS
        self.probe_delay_ms = PROBE_DELAY_MS

    def record_failure(
        self, job_id: str, quarantine_threshold: int, now_ms: float
    ) -> bool:
        """Record a failed task; return whether this quarantines the worker.

        ``quarantine_threshold`` is how many jobs must have failed tasks since the
        last success; on trial, one is enough.
        """
        self.failed_jobs.add(job_id)
        if not self.on_trial and len(self.failed_jobs) < quarantine_threshold:
            return False
        self.quarantined_until_ms = now_ms + self.quarantine_ms
        self.quarantine_ms = min(self.quarantine_ms * 2, QUARANTINE_MAX_MS)
        self.on_trial = True
        self.failed_jobs.clear()
        return True

    def mark_unreachable(self, now_ms: float) -> None:
        """Stop sending tasks until the worker replies to a probe."""
        if self.unreachable:
            return
        self.unreachable = True
        self.on_trial = True
        self._delay_probe(now_ms)

    def is_probe_due(self, now_ms: float) -> bool:
        """Return whether the worker should be probed now."""
        return self.unreachable and now_ms >= self.probe_at_ms

    def record_probe(self, replied: bool, now_ms: float) -> None:
        """Record whether the worker replied to a probe.

        Called with False when the probe is sent, to schedule the next one.
        """
        self.unreachable = not replied
        if not replied:
            self._delay_probe(now_ms)

    def record_slowness(self, ratio: float, now_ms: float) -> None:
        """Record the ratio of a task's run time to the expected one."""
        slowness = self.slowness(now_ms)
        ratio = min(ratio, SLOWNESS_MAX)
        self._slowness = slowness + SLOWNESS_GAIN * (ratio - slowness)
        self._slowness_at_ms = now_ms

    def slowness(self, now_ms: float) -> float:
        """Return the moving average of the ratios; without new ones it decays to 1."""
        age_ms = now_ms - self._slowness_at_ms
        return 1 + (self._slowness - 1) * exp(-age_ms / SLOWNESS_DECAY_MS)

    def is_slow(self, now_ms: float) -> bool:
        """Return whether the worker is slow, hence used only if no other is free."""
        return (
            self._slowness > SLOW_THRESHOLD and self.slowness(now_ms) > SLOW_THRESHOLD
        )

    def _delay_probe(self, now_ms: float) -> None:
        self.probe_at_ms = now_ms + self.probe_delay_ms
        self.probe_delay_ms = min(self.probe_delay_ms * 2, PROBE_DELAY_MAX_MS)
