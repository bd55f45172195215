"""The ordered story of one job, task, worker or daemon from several log files.

Each daemon stamps its lines with its own wall clock. The offset between two of
them is estimated from messages in both directions: the line of the sender and
that of the receiver are at least no time apart.
"""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import define, field, frozen

OWN_FIELDS = ("wall_ms", "level", "node", "part", "event")


class TraceError(Exception):
    """Log files without what was asked for."""


@frozen
class LogLine:
    """One line of one daemon's log."""

    wall_ms: float
    node: str
    event: str
    fields: dict

    def mentions(self, wanted: str) -> bool:
        """Return whether the line is about a job, task, worker or daemon."""
        return self.node == wanted or any(
            _mentions(value, wanted) for value in self.fields.values()
        )


def read_lines(paths: Iterable[str]) -> list[LogLine]:
    """Return the log lines of files; text before a line's JSON is left out."""
    return [
        line
        for path in paths
        for text in Path(path).read_text(errors="replace").splitlines()
        if (line := _parse(text)) is not None
    ]


def trace_lines(lines: list[LogLine], wanted: str) -> Iterator[str]:
    """Return the story of ``wanted`` in order of time, one line an event.

    Raises ``TraceError`` where no line names it.
    """
    found = [line for line in lines if line.mentions(wanted)]
    if not found:
        raise TraceError(f"no line of the files names {wanted!r}")
    offsets = clock_offsets(lines)
    found.sort(key=lambda line: line.wall_ms - offsets[line.node])
    first_ms = found[0].wall_ms - offsets[found[0].node]
    for line in found:
        at_ms = line.wall_ms - offsets[line.node] - first_ms
        details = " ".join(f"{name}={value}" for name, value in line.fields.items())
        yield f"{at_ms:+10.1f} ms  {line.node:<20} {line.event:<20} {details}"


@define(eq=False)
class _MessageDelays:
    """The shortest time seen from one daemon's line to another's."""

    shortest: dict[tuple[str, str], float] = field(factory=dict)

    def record(self, sent: LogLine, received: LogLine) -> None:
        """Take the lines at both ends of one message."""
        way = (sent.node, received.node)
        delay_ms = received.wall_ms - sent.wall_ms
        self.shortest[way] = min(delay_ms, self.shortest.get(way, delay_ms))

    def offsets(self, nodes: Iterable[str]) -> dict[str, float]:
        """Return how far each clock is ahead of the first one it is tied to."""
        known: dict[str, float] = {}
        for root in nodes:
            if root in known:
                continue
            known[root] = 0.0
            pending = [root]
            while pending:
                node = pending.pop()
                for other, ahead_ms in self._neighbours(node):
                    if other not in known:
                        known[other] = known[node] + ahead_ms
                        pending.append(other)
        return known

    def _neighbours(self, node: str) -> Iterator[tuple[str, float]]:
        for (sender, receiver), there_ms in self.shortest.items():
            back_ms = self.shortest.get((receiver, sender))
            if sender == node and back_ms is not None:
                yield receiver, (there_ms - back_ms) / 2


def clock_offsets(lines: list[LogLine]) -> dict[str, float]:
    """Return by how many ms each daemon's clock is ahead of a common one."""
    delays = _MessageDelays()
    by_job: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if "job" in line.fields:
            by_job[line.fields["job"]].append(line)
    for same in by_job.values():
        _record_messages(same, delays)
    return delays.offsets(dict.fromkeys(line.node for line in lines))


def _record_messages(lines: list[LogLine], delays: _MessageDelays) -> None:
    """Note the way to the placer and back of a job that was sent just once."""
    events = {line.event: line for line in lines}
    if len(events) != len(lines):
        return
    sent, taken = events.get("job_handed_over"), events.get("job_accepted")
    ended, told = events.get("job_ended"), events.get("job_answered")
    if sent and taken and sent.node != taken.node:
        delays.record(sent, taken)
        if ended and told and ended.fields.get("outcome") != "abandoned":
            delays.record(ended, told)


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        fields = {
            name: value for name, value in document.items() if name not in OWN_FIELDS
        }
        return LogLine(document["wall_ms"], document["node"], document["event"], fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _mentions(value: object, wanted: str) -> bool:
    if isinstance(value, list):
        return any(_mentions(item, wanted) for item in value)
    return isinstance(value, str) and (
        value == wanted or value.startswith(f"{wanted}.")
    )
