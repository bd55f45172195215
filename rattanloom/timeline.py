"""Timeline of the stand-alone version: a process's events, in a ring buffer."""

from collections import deque
from enum import Enum

from attrs import asdict, define, field, frozen

from rattanloom.clock import Clock

DEFAULT_RING_EVENTS = 20_000


class EventKind(Enum):
    """Every kind of event that a process records."""

    JOB_RECEIVED = "job_received"
    JOB_ADMITTED = "job_admitted"
    JOB_JOINED = "job_joined"
    JOB_FORWARDED = "job_forwarded"
    JOB_ANSWERED = "job_answered"
    JOB_CANCELLED = "job_cancelled"
    ATTEMPT_SENT = "attempt_sent"
    ATTEMPT_ENDED = "attempt_ended"
    ATTEMPT_STOPPED = "attempt_stopped"
    TASK_STARTED = "task_started"
    TASK_ENDED = "task_ended"
    TARGET_CHANGED = "target_changed"
    CONFIG_IN_FORCE = "config_in_force"
    CONFIG_PUBLISHED = "config_published"
    MEMBER_CHANGED = "member_changed"
    HOST_STARTED = "host_started"
    HOST_STOPPING = "host_stopping"


@frozen
class Event:
    """One event; fields that do not apply are empty.

    ``sequence`` orders the events of one process. ``wall_ms`` is the process's wall
    clock; ``operators.merged_timeline`` corrects it to order events of several.
    """

    wall_ms: float
    sequence: int
    process: str
    kind: EventKind
    job_id: str = ""
    task: int | None = None
    attempt: int | None = None
    target: str = ""
    detail: str = ""


@define(eq=False)
class Timeline:
    """Ring buffer of one process's events; the oldest are dropped when full."""

    process: str
    clock: Clock
    ring_events: int = DEFAULT_RING_EVENTS
    _events: deque[Event] = field(init=False)
    _next_sequence: int = field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self._events = deque(maxlen=self.ring_events)

    def record(
        self,
        kind: EventKind,
        job_id: str = "",
        task: int | None = None,
        attempt: int | None = None,
        target: str = "",
        detail: str = "",
    ) -> None:
        """Append one event with the current time."""
        self._events.append(
            Event(
                self.clock.wall_ms(),
                self._next_sequence,
                self.process,
                kind,
                job_id,
                task,
                attempt,
                target,
                detail,
            )
        )
        self._next_sequence += 1

    def events(self, job_id: str = "", target: str = "") -> list[Event]:
        """Return the stored events, filtered by job and target if given."""
        return [
            event
            for event in self._events
            if (not job_id or event.job_id == job_id)
            and (not target or event.target == target)
        ]


def event_to_json(event: Event) -> dict:
    """Return an event as a JSON-ready mapping."""
    return asdict(event, value_serializer=_enum_value)


def _enum_value(_instance: object, _attribute: object, value: object) -> object:
    return value.value if isinstance(value, Enum) else value
