"""Former name of ``rattanloom.scheduling.assignment``, still imported by tests."""

from rattanloom.scheduling.assignment import AssignmentPass

__all__ = ["AssignmentPass"]
