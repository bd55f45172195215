"""Merges the events of all entry hosts into one ordered timeline."""

import json
from collections.abc import Iterable
from datetime import UTC, datetime

from attrs import frozen

from rattanloom.clock import MS_PER_S
from rattanloom.errors import Failure
from rattanloom.operators.hosts import HostPage

SHOWN_FIELDS = ("job_id", "task", "attempt", "target", "detail")
# Cuts the microseconds of ``%f`` to milliseconds.
MS_SLICE_END = -3


@frozen
class MergedEvent:
    """An event; ``at_wall_ms`` is its corrected time, on the operator's clock."""

    at_wall_ms: float
    content: dict

    @property
    def sort_key(self) -> tuple:
        """Return the corrected time, the process and the event's sequence number."""
        return (self.at_wall_ms, self.content["process"], self.content["sequence"])


def merge_events(pages: Iterable[HostPage], task: int | None) -> list[MergedEvent]:
    """Return the events of all pages in order of corrected time.

    Pages that failed are skipped; ``task`` selects the events of one task index. Events
    of one process keep their order even if its clock was set back between them.
    """
    merged = []
    for page in pages:
        if not isinstance(page.content, Failure):
            merged += _corrected_events(page)
    if task is not None:
        merged = [event for event in merged if event.content["task"] == task]
    return sorted(merged, key=_sort_key)


def event_line(event: MergedEvent) -> str:
    """Format an event as one line of text."""
    content = event.content
    at = datetime.fromtimestamp(event.at_wall_ms / MS_PER_S, UTC)
    shown = [
        f"{name}={content[name]}"
        for name in SHOWN_FIELDS
        if content.get(name) not in (None, "")
    ]
    words = [
        f"{at:%H:%M:%S.%f}"[:MS_SLICE_END],
        content["process"],
        content["kind"],
    ]
    return "  ".join([*words, *shown])


def event_json(event: MergedEvent) -> str:
    """Format an event as JSON, with ``at_wall_ms`` added as the corrected time."""
    return json.dumps(event.content | {"at_wall_ms": event.at_wall_ms})


def _corrected_events(page: HostPage) -> list[MergedEvent]:
    events = []
    last_ms = float("-inf")
    for content in sorted(page.content["events"], key=_sequence):
        last_ms = max(last_ms, content["wall_ms"] - page.clock_ahead_ms)
        events.append(MergedEvent(last_ms, content))
    return events


def _sequence(content: dict) -> int:
    return content["sequence"]


def _sort_key(event: MergedEvent) -> tuple:
    return event.sort_key
