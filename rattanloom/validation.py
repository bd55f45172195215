"""Validators of settings that attrs does not have."""

from collections.abc import Callable

from attrs import Attribute
from attrs.validators import and_, ge, le


def in_range(low: float, high: float) -> Callable[[object, Attribute, object], None]:
    """Return a validator that accepts ``low`` to ``high``, both included."""
    return and_(ge(low), le(high))
