"""The environment handed to every part: clock, timers, randomness, streams.

Programs take an ``Environment`` instead of reaching for globals, so that
tests run them in-process with their own.
"""

import sys
from random import Random
from typing import TextIO

from attrs import define, field

from rattanloom.clock import Clock, SystemClock


@define(eq=False)
class Environment:
    """What a program may touch of the machine it runs on."""

    clock: Clock = field(factory=SystemClock)
    random: Random = field(factory=Random)
    stdout: TextIO = field(factory=lambda: sys.stdout)
    stderr: TextIO = field(factory=lambda: sys.stderr)
    log_level: str = "INFO"
