"""Records of what clients, workers and the harness observed during a soak.

Times are points on ``SystemClock.now_ms``, which is the same in all processes of a
machine; only ``deadline_ms`` is a duration.
"""

import json
from collections import defaultdict
from collections.abc import Iterable
from math import inf
from pathlib import Path

from attrs import asdict, define, field, frozen

# ``Send.reason`` if no connection to the daemon could be established.
NOT_CONNECTED = "refused"
# ``Send.reason`` if the client disconnected before the response.
CLIENT_LEFT = "left"


@define(eq=False)
class Send:
    """A request that sends a job to a daemon.

    Without a response, ``status`` is 0 and ``answered_ms`` the time of the failure.
    """

    daemon: str
    sent_ms: float
    answered_ms: float = 0.0
    status: int = 0
    state: str = ""
    reason: str = ""


@define(eq=False)
class ClientJob:
    """A job of ``count`` tasks and its requests, as observed by its client.

    If ``leaves_after_ms`` is set, the client disconnects that long after the first
    request, and posts the job again.
    """

    job_id: str
    kind: str
    spec: str
    count: int
    deadline_ms: float
    prefix: str
    sends: list[Send] = field(factory=list)
    leaves_after_ms: float | None = None

    @property
    def is_complete(self) -> bool:
        """Return whether a response reported the job as complete."""
        return any(send.state == "complete" for send in self.sends)

    @property
    def is_failed(self) -> bool:
        """Return whether a response reported the job as failed."""
        return any(send.state == "failed" for send in self.sends)

    @property
    def crash_index(self) -> int | None:
        """Return the index of the task that crashes its workers, or None."""
        return json.loads(self.spec).get("crash_index")


@frozen
class TaskRun:
    """A run of a task on a worker; ``how`` is empty if it did not end.

    At its start, the worker's runs used ``used_millicores``, and were allowed to use
    ``allowed_millicores``. ``zone`` is that of the worker.
    """

    task: str
    attempt: int
    worker: str
    spec: str
    start_ms: float
    end_ms: float = inf
    how: str = ""
    used_millicores: int = 0
    allowed_millicores: int = 0
    zone: str = ""

    @property
    def job_id(self) -> str:
        """Return the id of the job that the task belongs to."""
        return self.task.partition(".")[0]

    @property
    def crashes_workers(self) -> bool:
        """Return whether the task crashes each worker that starts it."""
        index = json.loads(self.spec).get("crash_index")
        return index is not None and self.task.endswith(f".{index}")


@frozen
class Span:
    """The interval of a fault on some processes, or on all if ``names`` is empty."""

    fault: str
    from_ms: float
    to_ms: float
    names: tuple[str, ...] = ()

    def affects(self, name: str, from_ms: float, to_ms: float) -> bool:
        """Return whether the fault was active on a process in an interval."""
        overlaps = self.from_ms <= to_ms and from_ms <= self.to_ms
        return overlaps and (not self.names or name in self.names)


@frozen
class PoolKill:
    """The moment at which all workers of a zone were killed."""

    zone: str
    at_ms: float


@frozen
class ConfigurationChange:
    """A configuration that the store confirmed, with its queues' path prefixes."""

    version: int
    prefixes: tuple[str, ...]
    sent_ms: float
    confirmed_ms: float


@frozen
class Evacuation:
    """An evacuation of a zone, which the store confirmed, until its end was sent."""

    zone: str
    confirmed_ms: float
    ended_ms: float


@frozen
class QueueProbe:
    """A daemon's response to a request for the pending jobs of a queue."""

    daemon: str
    prefix: str
    sent_ms: float
    answered_ms: float
    status: int


@define(eq=False)
class History:
    """Jobs, faults (``spans``), kills of workers and planned stops of one soak.

    ``configurations`` has the changes of the configuration in order, ``probes`` the
    responses that tell which queues a daemon serves.
    """

    jobs: dict[str, ClientJob] = field(factory=dict)
    spans: list[Span] = field(factory=list)
    pool_kills: list[PoolKill] = field(factory=list)
    stops: list[Span] = field(factory=list)
    configurations: list[ConfigurationChange] = field(factory=list)
    probes: list[QueueProbe] = field(factory=list)
    evacuations: list[Evacuation] = field(factory=list)

    def is_fault_free(self, name: str, from_ms: float, to_ms: float) -> bool:
        """Return whether no fault was active on a process in an interval."""
        return not any(span.affects(name, from_ms, to_ms) for span in self.spans)


def write_history(history: History, path: Path) -> None:
    """Write a history as a JSON file, to be read with the logs."""
    document = {
        "jobs": [asdict(job) for job in history.jobs.values()],
        "faults": [asdict(span) for span in history.spans],
        "stops": [asdict(stop) for stop in history.stops],
        "configurations": [asdict(change) for change in history.configurations],
        "probes": [asdict(probe) for probe in history.probes],
        "evacuations": [asdict(evacuation) for evacuation in history.evacuations],
    }
    path.write_text(json.dumps(document, indent=1))


def read_runs(
    folder: Path, zones: Iterable[str], kills: list[PoolKill]
) -> list[TaskRun]:
    """Return the runs from the history files of the zones' workers.

    A kill ends the runs of the zone's workers that are active at that time.
    """
    runs = []
    for zone in zones:
        path = folder / f"{zone}.history"
        lines = path.read_text().splitlines() if path.exists() else []
        zone_kills = sorted(kill.at_ms for kill in kills if kill.zone == zone)
        runs += _parse_runs(lines, zone_kills, zone)
    return runs


def _parse_runs(lines: list[str], kills_ms: list[float], zone: str) -> list[TaskRun]:
    ends_by_key = defaultdict(list)
    started = []
    for line in lines:
        event = json.loads(line)
        key = (event["worker"], event["task"], event["attempt"])
        if event["event"] == "start":
            started.append((key, event))
        else:
            ends_by_key[key].append(event)
    runs = []
    for (worker, task, attempt), event in started:
        start_ms = event["at_ms"]
        killed_ms = min((at for at in kills_ms if at > start_ms), default=inf)
        ends = [
            end
            for end in ends_by_key[worker, task, attempt]
            if end["at_ms"] >= start_ms
        ]
        first_end = min(ends, key=lambda end: end["at_ms"], default=None)
        if first_end is not None and first_end["at_ms"] <= killed_ms:
            end_ms, how = first_end["at_ms"], first_end["how"]
        else:
            end_ms, how = killed_ms, "killed" if killed_ms < inf else ""
        runs.append(
            TaskRun(
                task,
                attempt,
                worker,
                event["spec"],
                start_ms,
                end_ms,
                how,
                event.get("used_millicores", 0),
                event.get("allowed_millicores", 0),
                zone,
            )
        )
    return runs
