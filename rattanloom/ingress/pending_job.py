"""A job posted to this daemon, and the placers that have or had it."""

from collections import Counter
from collections.abc import Callable
from random import getrandbits

from attrs import Factory, define, field
from gevent.event import AsyncResult

from rattanloom.links.link import Link
from rattanloom.placement.jobs import SubmittedJob
from rattanloom.scheduling.zone_choice import ChosenPlacer

SUBMISSION_BITS = 63


@define(eq=False, repr=False)
class PendingJob:
    """A job whose client waits for the outcome.

    ``submission`` identifies the client's request; a client may post a job again.
    ``placer`` is the daemon to which the job was sent, ``zone`` the zone whose workers
    run it. ``links`` are those on which it was sent to that daemon, if it is another
    one, and not withdrawn since. ``is_client_connected`` returns whether the client
    still waits. ``former_placers`` are all daemons to which it was ever sent and that
    may have started it, in order, including the current one; those that rejected it or
    handed it back (``returned_by``) do not count. ``completed_by`` is the former placer
    that has reported that all tasks are done. ``sends`` counts the sends to each daemon
    that were not rejected. ``rejected_ms`` is when a daemon last rejected it.
    ``unplaced_ms`` is since when a job that no placer has waits for one. ``result`` is
    set to the outcome, or to None if the client disconnects.
    """

    submitted: SubmittedJob
    arrived_ms: float
    submission: int = field(factory=lambda: getrandbits(SUBMISSION_BITS))
    result: AsyncResult = field(factory=AsyncResult)
    is_client_connected: Callable[[], bool] = lambda: True
    placer: str | None = None
    zone: str = ""
    links: tuple[Link, ...] = ()
    former_placers: tuple[str, ...] = ()
    completed_by: str = ""
    sends: Counter[str] = field(factory=Counter)
    rejected_ms: dict[str, float] = field(factory=dict)
    returned_by: tuple[str, ...] = ()
    unplaced_ms: float = field(
        default=Factory(lambda job: job.arrived_ms, takes_self=True)
    )

    def take_over(self, earlier: "PendingJob") -> None:
        """Continue for an earlier post of the job, at the placers that have it."""
        self.placer, self.zone, self.links = earlier.placer, earlier.zone, earlier.links
        self.former_placers, self.sends = earlier.former_placers, earlier.sends
        self.completed_by = earlier.completed_by
        self.rejected_ms, self.returned_by = earlier.rejected_ms, earlier.returned_by

    def assign_placer(self, chosen: ChosenPlacer) -> None:
        """Record the placer to which the job is about to be sent."""
        self.placer, self.zone = chosen.node, chosen.zone
        if chosen.node not in self.former_placers:
            self.former_placers = (*self.former_placers, chosen.node)
        self.sends[chosen.node] += 1

    def forget_send(self, node: str) -> None:
        """Undo one send to a daemon that has not started the job for it."""
        self.sends[node] -= 1
        if self.sends[node] <= 0:
            self.links = tuple(link for link in self.links if link.peer.node != node)
            self.former_placers = tuple(
                placer for placer in self.former_placers if placer != node
            )
        if self.placer == node:
            self.placer = None

    def take_back(self, placer: str, now_ms: float) -> None:
        """Record that the only placer that ever had the job handed it back."""
        self.placer, self.zone, self.links = None, "", ()
        self.former_placers, self.unplaced_ms = (), now_ms
        self.sends.clear()
        self.returned_by = (*self.returned_by, placer)
