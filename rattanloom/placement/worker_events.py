"""States of a pooled worker, and the events that it reports to its placer."""

from enum import Enum
from typing import Protocol, TypeVar

from rattanloom.placement.runs import Run
from rattanloom.placement.start_evidence import NoEffect
from rattanloom.placement.workers import FinishedRun, RefusalReason

# The type of the pooled workers; they import this module.
Worker = TypeVar("Worker", contravariant=True)


class WorkerState(Enum):
    """State of a worker as the placer tracks it.

    SYNCING until a report lists its runs; UNRESPONSIVE after two missed replies in a
    row; FENCED once it has refused the placer's fencing token.
    """

    SYNCING = "syncing"
    READY = "ready"
    UNRESPONSIVE = "silent"
    FENCED = "fenced"


class LossCause(Enum):
    """Why a run has definitely stopped without a reported outcome.

    LEASE_EXPIRED: its worker does not respond, and its lease has expired.
    WORKER_RESTARTED: its worker responds in a new incarnation. NOT_LISTED: the worker's
    report lacks it. LEFT_POOL: its worker was removed from the pool before.
    """

    LEASE_EXPIRED = "lease_expired"
    WORKER_RESTARTED = "worker_restarted"
    NOT_LISTED = "not_listed"
    LEFT_POOL = "left_pool"


class WorkerEvents(Protocol[Worker]):
    """Event handlers of a placer, called by its pooled workers; must not block."""

    def may_give_orders(self) -> bool:
        """Return whether the placer may start runs and extend leases now."""

    def may_send_start(self, run: Run) -> bool:
        """Return whether the start order of a run may be sent now."""

    def on_run_finished(self, worker: Worker, run: Run, finished: FinishedRun) -> None:
        """Handle a finished run of this placer."""

    def on_run_lost(self, worker: Worker, run: Run, cause: LossCause) -> None:
        """Handle a run that has definitely stopped, with an unknown outcome."""

    def on_run_not_started(
        self,
        worker: Worker,
        run: Run,
        evidence: NoEffect,
        refusal: RefusalReason | None,
    ) -> None:
        """Handle a start order that definitely had no effect.

        ``refusal`` is None unless the worker refused the order.
        """

    def on_earlier_run(self, task_name: str) -> None:
        """Record that a worker shows an earlier run of a task, which may have begun."""

    def on_inherited_run(self, worker: Worker, run: Run) -> None:
        """Handle a run that a report lists and another placer ordered."""

    def on_inherited_run_finished(self, worker: Worker, finished: FinishedRun) -> None:
        """Handle a finished run that another placer ordered."""

    def on_worker_replaced(self, worker: Worker) -> None:
        """Handle that another worker has the address, so this one is gone."""

    def on_worker_changed(self, worker: Worker) -> None:
        """Handle a changed state of a worker."""
