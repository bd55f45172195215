"""Logging with logbook: one logger per part of the program, named in each line."""

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
    """Return the logger of a part of the program, such as ``peers``."""
    return Logger(part)


@contextmanager
def logging_to(stream: TextIO | None = None, level: str = "INFO") -> Iterator[None]:
    """Write records of ``level`` and above to ``stream``, by default stderr."""
    handler = StreamHandler(stream or sys.stderr, level=lookup_level(level))
    handler.format_string = FORMAT
    with handler.applicationbound():
        yield
