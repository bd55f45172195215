"""Bounded tables of what is learned of each kind of task, and averages for them.

Shared by ``run_times``, ``estimates`` and ``scheduling.run_time_model``.
"""

from collections import OrderedDict
from typing import Generic, TypeVar

from attrs import define, field

KINDS_MAX = 256

V = TypeVar("V")


@define(eq=False, repr=False)
class KindTable(Generic[V]):
    """Values by kind; drops the least recently stored one above ``KINDS_MAX``."""

    _values: OrderedDict[str, V] = field(factory=OrderedDict)

    def __contains__(self, kind: str) -> bool:
        """Return whether there is a value for a kind."""
        return kind in self._values

    def __len__(self) -> int:
        """Return the number of kinds."""
        return len(self._values)

    def get(self, kind: str, default: V | None = None) -> V | None:
        """Return the value of a kind, or ``default``."""
        return self._values.get(kind, default)

    def store(self, kind: str, value: V) -> None:
        """Store the value of a kind, as the most recent one."""
        self._values[kind] = value
        self._values.move_to_end(kind)
        if len(self._values) > KINDS_MAX:
            self._values.popitem(last=False)


def gain(samples: int, gain_min: float) -> float:
    """Return the weight of the newest of ``samples`` measurements in their average.

    The average is the mean of all at first, and a moving average from ``gain_min`` on.
    """
    return max(gain_min, 1 / samples)
