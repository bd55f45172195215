"""Logging: one logbook logger per part, with the part's name as fixed prefix."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TextIO

from logbook import Logger, StreamHandler, lookup_level

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "{record.channel}: {record.message}"
)


def get_log(part: str) -> Logger:
    """Return the logger of a part, such as ``peers`` or ``targets``."""
    return Logger(part)


@contextmanager
def logging_to(stream: TextIO | None = None, level: str = "INFO") -> Iterator[None]:
    """Send all records at or above ``level`` to ``stream`` (standard error)."""
    handler = StreamHandler(stream or sys.stderr, level=lookup_level(level))
    handler.format_string = FORMAT
    with handler.applicationbound():
        yield
