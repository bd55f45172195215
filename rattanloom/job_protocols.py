"""What the job service asks of the other parts of its host."""

from typing import Protocol

from gevent.event import Event

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult


class JobDispatcher(Protocol):
    """What the job service asks of the dispatcher."""

    def run(self, job: Job, deadline_at_ms: float, cancelled: Event) -> JobResult:
        """Run the job's tasks and return its whole answer."""


class JobAdmission(Protocol):
    """What the job service asks of admission."""

    def admit(self, job: Job, deadline_at_ms: float) -> Failure | None:
        """Return why the job is refused, or None."""
