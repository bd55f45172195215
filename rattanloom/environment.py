"""The clock, randomness and output streams that are passed to components.

Programs use an ``Environment`` instead of globals, so that a test can run them within
its own process with another clock, seed or output.
"""

import sys
from random import Random
from typing import TextIO

from attrs import define, field

from rattanloom.clock import Clock, SystemClock


@define(eq=False)
class Environment:
    """Clock, randomness, output streams and log level of one program."""

    clock: Clock = field(factory=SystemClock)
    random: Random = field(factory=Random)
    stdout: TextIO = field(factory=lambda: sys.stdout)
    stderr: TextIO = field(factory=lambda: sys.stderr)
    log_level: str = "INFO"
