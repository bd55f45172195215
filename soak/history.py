"""What clients, workers and the harness saw during a soak."""

import json
from collections import defaultdict
from collections.abc import Iterable
from math import inf
from pathlib import Path

from attrs import asdict, define, field, frozen

# Reason of a send that reached nobody.
NOT_CONNECTED = "refused"


@define(eq=False)
class Send:
    """One send of a job to one daemon; ``status`` 0 means that no answer came."""

    daemon: str
    sent_ms: float
    answered_ms: float = 0.0
    status: int = 0
    state: str = ""
    reason: str = ""


@define(eq=False)
class ClientJob:
    """One job as its client knows it."""

    job_id: str
    kind: str
    spec: str
    count: int
    deadline_ms: float
    prefix: str
    sends: list[Send] = field(factory=list)

    @property
    def is_complete(self) -> bool:
        """Return whether the client was told that the job is complete."""
        return any(send.state == "complete" for send in self.sends)


@frozen
class TaskRun:
    """One run of a task on one worker; ``how`` is empty while it goes on."""

    task: str
    attempt: int
    worker: str
    spec: str
    start_ms: float
    end_ms: float = inf
    how: str = ""

    @property
    def job_id(self) -> str:
        """Return the job that the task belongs to."""
        return self.task.partition(".")[0]


@frozen
class Span:
    """A fault on some processes, or on all of them if ``names`` is empty."""

    fault: str
    from_ms: float
    to_ms: float
    names: tuple[str, ...] = ()

    def affects(self, name: str, from_ms: float, to_ms: float) -> bool:
        """Return whether a process was under the fault during an interval."""
        overlaps = self.from_ms <= to_ms and from_ms <= self.to_ms
        return overlaps and (not self.names or name in self.names)


@frozen
class PoolKill:
    """All workers of a zone died at one moment."""

    zone: str
    at_ms: float


@define(eq=False)
class History:
    """Everything that was seen."""

    jobs: dict[str, ClientJob] = field(factory=dict)
    spans: list[Span] = field(factory=list)
    pool_kills: list[PoolKill] = field(factory=list)
    stops: list[Span] = field(factory=list)

    def is_fault_free(self, name: str, from_ms: float, to_ms: float) -> bool:
        """Return whether no fault touched a process during an interval."""
        return not any(span.affects(name, from_ms, to_ms) for span in self.spans)


def write_history(history: History, path: Path) -> None:
    """Write what clients and the harness saw, to read beside the logs."""
    document = {
        "jobs": [asdict(job) for job in history.jobs.values()],
        "faults": [asdict(span) for span in history.spans],
        "stops": [asdict(stop) for stop in history.stops],
    }
    path.write_text(json.dumps(document, indent=1))


def read_runs(
    folder: Path, zones: Iterable[str], kills: list[PoolKill]
) -> list[TaskRun]:
    """Return all runs that the workers of the zones recorded."""
    runs = []
    for zone in zones:
        path = folder / f"{zone}.history"
        lines = path.read_text().splitlines() if path.exists() else []
        zone_kills = sorted(kill.at_ms for kill in kills if kill.zone == zone)
        runs += _parse_runs(lines, zone_kills)
    return runs


def _parse_runs(lines: list[str], kills_ms: list[float]) -> list[TaskRun]:
    ended = defaultdict(list)
    started = []
    for line in lines:
        event = json.loads(line)
        key = (event["worker"], event["task"], event["attempt"])
        if event["event"] == "start":
            started.append((key, event))
        else:
            ended[key].append(event)
    runs = []
    for (worker, task, attempt), event in started:
        start_ms = event["at_ms"]
        killed_ms = min((at for at in kills_ms if at > start_ms), default=inf)
        ends = [end for end in ended[worker, task, attempt] if end["at_ms"] >= start_ms]
        first = min(ends, key=lambda end: end["at_ms"], default=None)
        if first is not None and first["at_ms"] <= killed_ms:
            end_ms, how = first["at_ms"], first["how"]
        else:
            end_ms, how = killed_ms, "killed" if killed_ms < inf else ""
        runs.append(
            TaskRun(task, attempt, worker, event["spec"], start_ms, end_ms, how)
        )
    return runs
