"""Trace of a job, task, worker or daemon on the platform, merged from daemons' logs.

Each daemon timestamps its log lines with its own wall clock. The measured delay of a
message is its real delay, which is never negative, plus the offset between the two
clocks. The offset is estimated as half the difference between the shortest measured
delays in the two directions.
"""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import define, field, frozen

# Fields of every log line; all others belong to its event.
COMMON_FIELDS = ("wall_ms", "level", "node", "part", "event")


class TraceError(Exception):
    """No line of the log files mentions the subject of the trace."""


@frozen
class LogLine:
    """A line of a daemon's log; ``fields`` are those of its event."""

    wall_ms: float
    node: str
    event: str
    fields: dict

    def mentions(self, subject: str) -> bool:
        """Return whether the line is about this job, task, worker or daemon."""
        return self.node == subject or any(
            _mentions(value, subject) for value in self.fields.values()
        )


def read_lines(paths: Iterable[str]) -> list[LogLine]:
    """Parse log files; skip invalid lines and, in each line, text before the JSON."""
    return [
        line
        for path in paths
        for text in Path(path).read_text(errors="replace").splitlines()
        if (line := _parse(text)) is not None
    ]


def trace_lines(lines: list[LogLine], subject: str) -> Iterator[str]:
    """Yield the trace of ``subject`` in order of corrected time, one line per event.

    Raises ``TraceError`` if no log line mentions ``subject``.
    """
    found = [line for line in lines if line.mentions(subject)]
    if not found:
        raise TraceError(f"no line of the log files mentions {subject!r}")
    offsets = clock_offsets(lines)
    found.sort(key=lambda line: line.wall_ms - offsets[line.node])
    first_ms = found[0].wall_ms - offsets[found[0].node]
    for line in found:
        at_ms = line.wall_ms - offsets[line.node] - first_ms
        details = " ".join(f"{name}={value}" for name, value in line.fields.items())
        yield f"{at_ms:+10.1f} ms  {line.node:<20} {line.event:<20} {details}"


@define(eq=False)
class _MessageDelays:
    """Shortest measured delays of messages, by sender and receiver."""

    shortest_ms: dict[tuple[str, str], float] = field(factory=dict)

    def record(self, sent: LogLine, received: LogLine) -> None:
        """Record one message by its lines in the sender's and the receiver's log."""
        link = (sent.node, received.node)
        delay_ms = received.wall_ms - sent.wall_ms
        self.shortest_ms[link] = min(delay_ms, self.shortest_ms.get(link, delay_ms))

    def offsets(self, nodes: Iterable[str]) -> dict[str, float]:
        """Return how far each node's clock is ahead of a reference node's.

        The reference is the first of the nodes that are connected, directly or through
        others, by messages in both directions.
        """
        offsets: dict[str, float] = {}
        for root in nodes:
            if root in offsets:
                continue
            offsets[root] = 0.0
            pending = [root]
            while pending:
                node = pending.pop()
                for other, ahead_ms in self._neighbours(node):
                    if other not in offsets:
                        offsets[other] = offsets[node] + ahead_ms
                        pending.append(other)
        return offsets

    def _neighbours(self, node: str) -> Iterator[tuple[str, float]]:
        for (sender, receiver), forward_ms in self.shortest_ms.items():
            backward_ms = self.shortest_ms.get((receiver, sender))
            if sender == node and backward_ms is not None:
                yield receiver, (forward_ms - backward_ms) / 2


def clock_offsets(lines: list[LogLine]) -> dict[str, float]:
    """Return how far, in ms, each daemon's clock is ahead of its reference daemon's.

    Daemons without messages in both directions have different references.
    """
    delays = _MessageDelays()
    by_job: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if "job" in line.fields:
            by_job[line.fields["job"]].append(line)
    for job_lines in by_job.values():
        _record_messages(job_lines, delays)
    return delays.offsets(dict.fromkeys(line.node for line in lines))


def _record_messages(lines: list[LogLine], delays: _MessageDelays) -> None:
    """Record a job's messages: its hand-over to the placer, and its outcome back.

    Skips a job with a repeated event: it may have been sent more than once, so that
    its messages cannot be paired.
    """
    events = {line.event: line for line in lines}
    if len(events) != len(lines):
        return
    sent, accepted = events.get("job_handed_over"), events.get("job_accepted")
    ended, answered = events.get("job_ended"), events.get("job_answered")
    if sent and accepted and sent.node != accepted.node:
        delays.record(sent, accepted)
        if ended and answered and ended.fields.get("outcome") != "abandoned":
            delays.record(ended, answered)


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
        fields = {
            name: value for name, value in document.items() if name not in COMMON_FIELDS
        }
        return LogLine(document["wall_ms"], document["node"], document["event"], fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _mentions(value: object, subject: str) -> bool:
    # A task's id starts with its job's id and a dot.
    if isinstance(value, list):
        return any(_mentions(item, subject) for item in value)
    return isinstance(value, str) and (
        value == subject or value.startswith(f"{subject}.")
    )
