"""The interface of this package: what an entry host uses of it and provides to it."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult


class MemberState(Enum):
    """State of another entry host, as seen by this host.

    LIVE: heartbeats arrive in both directions. SILENT: its sequence number stopped
    growing, so no host in contact with this one receives its heartbeats. CUT_OFF:
    heartbeats in one or both directions are lost, but some host receives its
    heartbeats, or all hosts of its zone timed out at once. LEAVING: as LIVE, but
    it announced that it accepts no new work. A restarted host appears as LIVE
    under a new incarnation.
    """

    LIVE = "live"
    SILENT = "silent"
    CUT_OFF = "cut_off"
    LEAVING = "leaving"


@frozen
class Member:
    """Another entry host in the membership.

    ``config_version`` is the greatest configuration version that the host reported.
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
    """Handles the requests that peers forward to this host, the issuer."""

    def submit_here(self, job: Job) -> JobResult:
        """Run a job, or join it if it already runs."""

    def ask_here(self, job_id: str, wait_ms: float) -> JobResult:
        """Return a job's result, or a pending one after ``wait_ms``."""

    def cancel_here(self, job_id: str) -> JobResult:
        """Cancel a job."""


class Peers(Protocol):
    """The other entry hosts.

    ``submit``, ``ask`` and ``cancel`` forward to the issuer. Besides the failures
    that it replies with, they return HOME_GONE (that incarnation has ended),
    HOME_UNREACHABLE, with ``ran`` NOT_RUN only if no byte was sent, or
    BAD_REQUEST (the request cannot be encoded).
    """

    def members(self) -> tuple[Member, ...]:
        """Return the other entry hosts seen alive, in every state."""

    def loads(self) -> dict[str, HostLoad]:
        """Return the last load reported by each live or leaving host, by host name."""

    def submit(self, host: str, incarnation: str, job: Job) -> JobResult | Failure:
        """Forward a submission to the incarnation that issued its ticket."""

    def ask(
        self, host: str, incarnation: str, job_id: str, wait_ms: float
    ) -> JobResult | Failure:
        """Forward a request for a job's result."""

    def cancel(self, host: str, incarnation: str, job_id: str) -> JobResult | Failure:
        """Forward a cancellation."""

    def on_config_version(self, callback: Callable[[str, int], None]) -> None:
        """Call ``callback(host, version)`` when a peer reports a newer version."""

    def fetch_config(self, host: str, version: int) -> str | Failure:
        """Return a peer's configuration document of that version or a newer one."""

    def fetch_targets(self, host: str) -> str | Failure:
        """Return the list of workers that the platform last sent to a peer, as JSON."""

    def announce_config(self) -> None:
        """Announce this host's configuration version to every peer immediately."""

    def announce_leaving(self) -> None:
        """Announce to every peer that this host accepts no new work."""
