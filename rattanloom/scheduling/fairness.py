"""Fairness between the sources of the jobs of one priority level."""

from math import exp

from attrs import define, field

# Work of a source counts for about this long: as long as a burst.
MEMORY_MS = 5_000
# A source is over its share from this multiple of the mean of all sources on. Zones
# differ by 0.55 in their demand, so less would hit zones in their normal peaks.
OVER_SHARE_FACTOR = 2.0
# A source is not over its share for this many jobs beyond it, since few jobs of a rare
# kind arrive at one daemon.
SPARE_JOBS = 4
# Sources remembered per level; more than a deployment has daemons.
SOURCES_MAX = 256


@define
class SourceWork:
    """The decayed work and number of jobs of one source, as of ``updated_ms``."""

    work: float
    jobs: float
    updated_ms: float

    def decay(self, now_ms: float) -> None:
        """Bring the sums to ``now_ms``."""
        factor = exp((self.updated_ms - now_ms) / MEMORY_MS)
        self.work *= factor
        self.jobs *= factor
        self.updated_ms = now_ms


@define(eq=False, repr=False)
class SourceShares:
    """Finds the sources (daemons that accept jobs) that send more than their share.

    Jobs of such a source wait behind those of all others of their level that can be on
    time. A job's place is decided once, when it arrives. A source that sends no more
    than its share therefore waits for no excess of another one, except for tasks that
    have started.
    """

    _levels: dict[int, dict[str, SourceWork]] = field(factory=dict)
    _sums: dict[int, SourceWork] = field(factory=dict)

    def add(self, level: int, source: str, work: float, now_ms: float) -> bool:
        """Count a job; return whether its source is over its share."""
        sources = self._levels.setdefault(level, {})
        own = sources.get(source)
        if own is None:
            if len(sources) >= SOURCES_MAX:
                del sources[min(sources, key=lambda name: sources[name].updated_ms)]
            own = sources[source] = SourceWork(0.0, 0.0, now_ms)
        total = self._sums.setdefault(level, SourceWork(0.0, 0.0, now_ms))
        for sums in (own, total):
            sums.decay(now_ms)
            sums.work += work
            sums.jobs += 1
        if len(sources) == 1:
            return False
        share = OVER_SHARE_FACTOR * total.work / len(sources)
        return own.work > share + SPARE_JOBS * total.work / total.jobs

    def remove_idle(self, now_ms: float) -> None:
        """Remove the sources that sent nothing for several times the memory."""
        for sources in self._levels.values():
            for name, own in list(sources.items()):
                if now_ms > own.updated_ms + 4 * MEMORY_MS:
                    del sources[name]
