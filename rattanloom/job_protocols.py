"""Interfaces of the host's components that the job service uses."""

from typing import Protocol

from gevent.event import Event

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult


class JobDispatcher(Protocol):
    """The dispatcher, as the job service uses it."""

    def run(self, job: Job, deadline_at_ms: float, cancelled: Event) -> JobResult:
        """Run the job's tasks until the deadline; return the job's result."""


class JobAdmission(Protocol):
    """The admission, as the job service uses it."""

    def admit(self, job: Job, deadline_at_ms: float) -> Failure | None:
        """Return the reason for refusing the job, or None to admit it."""
