"""The clock, randomness and streams that are passed to every component.

Programs use an ``Environment`` instead of globals, so that tests can run them
in-process with their own.
"""

import sys
from random import Random
from typing import TextIO

from attrs import define, field

from rattanloom.clock import Clock, SystemClock


@define(eq=False)
class Environment:
    """Everything that a program uses of the operating system."""

    clock: Clock = field(factory=SystemClock)
    random: Random = field(factory=Random)
    stdout: TextIO = field(factory=lambda: sys.stdout)
    stderr: TextIO = field(factory=lambda: sys.stderr)
    log_level: str = "INFO"
