"""Types of the interface between an entry host and its peers."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult


class MemberState(Enum):
    """State of another entry host, as seen by this host.

    LIVE: its heartbeats arrive here and ours arrive there. SILENT: no reachable
    host receives its heartbeats. CUT_OFF: heartbeats between it and this host
    are lost, but other hosts receive its heartbeats, or all hosts of its zone
    timed out at once. LEAVING: it announced that it accepts no new work. A
    restarted host appears as LIVE under a new incarnation.
    """

    LIVE = "live"
    SILENT = "silent"
    CUT_OFF = "cut_off"
    LEAVING = "leaving"


@frozen
class Member:
    """One entry host in the membership.

    ``incarnation`` is drawn at random at each start; ``started_wall_ms``
    orders the incarnations of one host.
    """

    host: str
    zone: str
    address: str
    incarnation: str
    started_wall_ms: int
    state: MemberState
    config_version: int = 0


@frozen
class TeamLoad:
    """One team's demand at one entry host, in slots."""

    team: str
    running_slots: int
    queued_slots: int


@frozen
class TargetLoad:
    """The slots that one entry host occupies on one worker."""

    target: str
    slots: int


@frozen
class HostLoad:
    """The load that an entry host reports to its peers."""

    queued_slots: int = 0
    running_slots: int = 0
    teams: tuple[TeamLoad, ...] = ()
    targets: tuple[TargetLoad, ...] = ()


class JobRequests(Protocol):
    """Handles the requests that peers forward to this host."""

    def submit_here(self, job: Job) -> JobResult:
        """Admit or join a job whose ticket this host issued."""

    def ask_here(self, job_id: str, wait_ms: float) -> JobResult:
        """Return the result of a job whose ticket this host issued."""

    def cancel_here(self, job_id: str) -> JobResult:
        """Cancel a job whose ticket this host issued."""


class Peers(Protocol):
    """The other entry hosts.

    Forwarding calls fail with HOME_GONE (that incarnation has ended), LEAVING
    or HOME_UNREACHABLE, the latter with ``ran`` NOT_RUN only if no byte was
    sent.
    """

    def members(self) -> tuple[Member, ...]:
        """Return the other entry hosts in every state."""

    def loads(self) -> dict[str, HostLoad]:
        """Return the last load reported by each live or leaving host, by host name."""

    def submit(self, host: str, incarnation: str, job: Job) -> JobResult | Failure:
        """Forward a submission to the host that issued its ticket."""

    def ask(
        self, host: str, incarnation: str, job_id: str, wait_ms: float
    ) -> JobResult | Failure:
        """Forward a request for a job's result."""

    def cancel(self, host: str, incarnation: str, job_id: str) -> JobResult | Failure:
        """Forward a cancellation."""

    def on_config_version(self, callback: Callable[[str, int], None]) -> None:
        """Call ``callback(host, version)`` when a peer reports a newer version."""

    def fetch_config(self, host: str, version: int) -> str | Failure:
        """Return a peer's configuration document of that version or newer."""

    def fetch_targets(self, host: str) -> str | Failure:
        """Return the list of workers that the platform last sent to a peer, as JSON."""

    def announce_config(self) -> None:
        """Announce this host's configuration version to every peer at once."""

    def announce_leaving(self) -> None:
        """Announce to every peer that this host accepts no new work."""
