"""What the rest of an entry host asks of its peers, as ``Protocol`` types."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from attrs import frozen

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult


class MemberState(Enum):
    """How another entry host looks from here.

    SILENT: no host that we hear hears it. CUT_OFF: we do not hear it, but
    hosts that we hear do, or its whole zone fell silent at once. LEAVING: it
    said so. RESTARTED hosts appear as LIVE under a new incarnation.
    """

    LIVE = "live"
    SILENT = "silent"
    CUT_OFF = "cut_off"
    LEAVING = "leaving"


@frozen
class Member:
    """One entry host as the membership knows it.

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
    """What an entry host tells its peers of its own load."""

    queued_slots: int = 0
    running_slots: int = 0
    teams: tuple[TeamLoad, ...] = ()
    targets: tuple[TargetLoad, ...] = ()


class JobRequests(Protocol):
    """What a host does for its peers: the requests they forward to it."""

    def submit_here(self, job: Job) -> JobResult:
        """Admit or join a job whose ticket this host minted."""

    def ask_here(self, job_id: str, wait_ms: float) -> JobResult:
        """Answer for a job whose ticket this host minted."""

    def cancel_here(self, job_id: str) -> JobResult:
        """Cancel a job whose ticket this host minted."""


class Peers(Protocol):
    """The other entry hosts.

    Failures of the forwarding calls are HOME_GONE (that incarnation is gone
    for good), LEAVING or HOME_UNREACHABLE; the latter with ``ran`` NOT_RUN
    only where no byte was handed over.
    """

    def members(self) -> tuple[Member, ...]:
        """Return the other entry hosts as now known, in every state."""

    def loads(self) -> dict[str, HostLoad]:
        """Return the last load told by each live host, by host name."""

    def submit(self, host: str, incarnation: str, job: Job) -> JobResult | Failure:
        """Forward a submission to the host that minted its ticket."""

    def ask(
        self, host: str, incarnation: str, job_id: str, wait_ms: float
    ) -> JobResult | Failure:
        """Forward a question for an answer."""

    def cancel(self, host: str, incarnation: str, job_id: str) -> JobResult | Failure:
        """Forward a cancellation."""

    def on_config_version(self, callback: Callable[[str, int], None]) -> None:
        """Call ``callback(host, version)`` when a peer tells a newer version."""

    def fetch_config(self, host: str, version: int) -> str | Failure:
        """Return a peer's configuration document of that version or newer."""

    def fetch_targets(self, host: str) -> str | Failure:
        """Return the workers that the platform last listed to a peer, as JSON."""

    def announce_config(self) -> None:
        """Tell every peer at once which configuration version is held here."""

    def announce_leaving(self) -> None:
        """Tell every peer that this host takes no new work."""
