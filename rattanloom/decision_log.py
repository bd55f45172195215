"""The daemon's structured logs: one JSON object per line, never blocking.

The rate of each event and the number of buffered lines are limited.
``docs/OPERATIONS.md`` lists the events and their fields.
"""

import json
import os
from collections import defaultdict, deque
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field
from gevent.event import Event
from logbook import Handler, Logger, LogRecord, lookup_level
from msgspec.json import Encoder

from rattanloom.clock import MS_PER_S, Clock

# Limit of lines buffered while the reader is slow; about 0.5 MB at 200 bytes each.
LINES_MAX = 2_000
# Limit for each event; further lines in the same second are dropped.
LINES_PER_EVENT_PER_S = 400
FLUSH_MS = 100
# Values of other types are logged as text.
ENCODER = Encoder(enc_hook=str)


@define(eq=False)
class DecisionLog:
    """The log of one component, whose name ``part`` is a field of each line.

    Each call logs one event with its fields.
    """

    part: str
    _logger: Logger = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._logger = Logger(self.part)

    def info(self, event: str, **fields: object) -> None:
        """Log a decision."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a failure that the program handles."""
        self._logger.warning(event, extra=fields)

    def error(self, event: str, **fields: object) -> None:
        """Log an unexpected failure, or one that an operator has to fix."""
        self._logger.error(event, extra=fields)


@define(eq=False)
class LineBuffer:
    """Buffers lines for a file descriptor whose reader may be slow or gone.

    ``dropped`` counts the discarded lines; a batch whose write failed counts as one.
    ``has_lines`` is set while there may be something to write.
    """

    descriptor: int
    lines: deque[bytes] = field(factory=deque)
    dropped: int = 0
    has_lines: Event = field(factory=Event)
    _unwritten: bytes = b""

    def add(self, line: bytes) -> None:
        """Queue a line; drop it if the buffer is full."""
        if len(self.lines) >= LINES_MAX:
            self.dropped += 1
        else:
            self.lines.append(line)
            self.has_lines.set()

    def flush(self) -> None:
        """Write as much as the descriptor accepts; drop all lines after an error."""
        try:
            while self._unwritten or self.lines:
                if not self._unwritten:
                    self._unwritten = b"".join(self.lines)
                    self.lines.clear()
                written = os.write(self.descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
        except BlockingIOError:
            return
        except OSError:
            self.dropped += len(self.lines) + bool(self._unwritten)
            self.lines.clear()
            self._unwritten = b""
        self.has_lines.clear()


class JsonLinesHandler(Handler):
    """Writes log records as JSON lines; limits the rate of each event.

    ``event_counts`` counts the records of each event in ``current_second``.
    """

    def __init__(self, node: str, clock: Clock, descriptor: int, level: str):
        super().__init__(level=lookup_level(level))
        self.node = node
        self.clock = clock
        self.buffer = LineBuffer(descriptor)
        self.current_second = 0
        self.event_counts: dict[str, int] = defaultdict(int)
        self.rate_limited = 0

    def emit(self, record: LogRecord) -> None:
        """Queue one record, unless its event exceeds the rate limit."""
        wall_ms = self.clock.wall_ms()
        self._start_second(wall_ms)
        self.event_counts[record.msg] += 1
        if self.event_counts[record.msg] > LINES_PER_EVENT_PER_S:
            self.rate_limited += 1
            return
        self._write(
            wall_ms, record.level_name, record.channel, record.msg, record.extra
        )

    def flush(self) -> None:
        """Write the queued lines."""
        self.buffer.flush()

    def _start_second(self, wall_ms: float) -> None:
        current_second = int(wall_ms // MS_PER_S)
        if current_second == self.current_second:
            return
        self.current_second = current_second
        self.event_counts.clear()
        dropped = self.buffer.dropped + self.rate_limited
        if dropped:
            self.buffer.dropped = self.rate_limited = 0
            self._write(wall_ms, "WARNING", "logs", "lines_dropped", {"lines": dropped})

    def _write(
        self, wall_ms: float, level: str, part: str, event: str, fields: dict
    ) -> None:
        document = {
            "wall_ms": round(wall_ms, 1),
            "level": level.lower(),
            "node": self.node,
            "part": part,
            "event": event,
            **fields,
        }
        self.buffer.add(_encode_line(document) + b"\n")


def _encode_line(document: dict) -> bytes:
    try:
        return ENCODER.encode(document)
    except UnicodeEncodeError:
        # A lone surrogate has an escaped form only.
        return json.dumps(document, separators=(",", ":"), default=str).encode()


@contextmanager
def logging_decisions(
    node: str, clock: Clock, descriptor: int, level: str
) -> Iterator[None]:
    """Write all decision logs to ``descriptor`` while the block runs."""
    os.set_blocking(descriptor, False)
    handler = JsonLinesHandler(node, clock, descriptor, level)
    flusher = gevent.spawn(_flush_all, handler)
    try:
        with handler.applicationbound():
            yield
    finally:
        flusher.kill()
        handler.flush()


def _flush_all(handler: JsonLinesHandler) -> None:
    while True:
        handler.buffer.has_lines.wait()
        gevent.sleep(FLUSH_MS / MS_PER_S)
        handler.flush()
