"""The interfaces of ``Dispatcher`` and ``Admission`` that the job service uses."""

from typing import Protocol

from gevent.event import Event

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult


class JobDispatcher(Protocol):
    """The part of ``Dispatcher`` that the job service uses."""

    def run(self, job: Job, deadline_at_ms: float, cancelled: Event) -> JobResult:
        """Run the job until its deadline or ``cancelled``; return its result."""


class JobAdmission(Protocol):
    """The part of ``Admission`` that the job service uses."""

    def admit(self, job: Job, deadline_at_ms: float) -> Failure | None:
        """Return the reason for refusing the job, or None to admit it."""
