"""The messages between daemons on the platform; wire format in ``links.capnp``."""

from attrs import frozen

from rattanloom.placement.crash_records import RunLoss
from rattanloom.placement.jobs import JobOutcome, ReturnedJob, SubmittedJob
from rattanloom.scheduling.zone_load import ZoneLoad

# Version of the messages; the first one with ``RunLosses``; the first one with
# ``OwnedZones``, ``SubmitRejected`` and the zones in ``Hello`` and
# ``OwnerLivenessReply``; the first one with ``JobsReturned``; the first one with
# ``AnnouncedLoad``; the first one with ``JobCancelled``; the first one with
# ``LeaseProbe``, ``LeaseProbeReply``, ``Withdraw`` and the submission in
# ``SubmitRejected``; and the first one with ``WorkersInUse``, ``JobsHeld``,
# ``ReleaseJob`` and ``JobReleased``. Builds from before the field send 0 and close a
# link on which they receive an unknown message.
PROTOCOL_VERSION = 5
RUN_LOSSES_VERSION = 1
OWNED_ZONES_VERSION = 2
JOBS_RETURNED_VERSION = 2
ZONE_LOAD_VERSION = 2
JOB_CANCELLED_VERSION = 3
JOB_LEASES_VERSION = 4
WORKERS_IN_USE_VERSION = 5
JOBS_HELD_VERSION = 5


@frozen
class Hello:
    """First message in both directions; identifies the sender.

    Peers open links to ``address``, and send no newer messages than those of
    ``protocol_version``. ``zones`` and ``tokens`` are those of ``OwnedZones``.
    """

    node: str
    zone: str
    address: str
    started_wall_ms: int
    protocol_version: int = PROTOCOL_VERSION
    zones: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()


@frozen
class Ping:
    """Keepalive of an idle link."""


@frozen
class LeaseProbe:
    """Requests a ``LeaseProbeReply``; ``sent_ms`` is a point on the sender's clock."""

    sent_ms: float


@frozen
class LeaseProbeReply:
    """Reply to the probe of ``sent_ms``.

    It renews the leases of all jobs that its sender submitted on this link and has not
    withdrawn there.
    """

    sent_ms: float


@frozen
class FreeCapacity:
    """Announces ``free_millicores`` of ``ZoneLoad`` to builds that know no more."""

    millicores: int


@frozen
class AnnouncedLoad:
    """Announces the load of the sender's workers."""

    load: ZoneLoad


@frozen
class Submit:
    """Submits a job to the receiver's placer; see ``PlacedJob`` for former placers.

    ``completed_by`` is the one that has reported that all tasks are done, if any.
    ``submission`` identifies the client's request; it is 0 from older builds.
    """

    job: SubmittedJob
    former_placers: tuple[str, ...] = ()
    completed_by: str = ""
    submission: int = 0


@frozen
class SubmitRejected:
    """Reply of a daemon without zones to ``Submit``; it has not started the job.

    ``submission`` is that of the ``Submit``; it is 0 from and to older builds.
    """

    job_id: str
    submission: int = 0


@frozen
class Cancel:
    """Cancels a job of the sender at a placer of a build that knows no ``Withdraw``."""

    job_id: str


@frozen
class Withdraw:
    """Withdraws a job that the sender submitted on this link.

    It was ``moved`` if the sender sends it to another placer. ``submission`` is that of
    the message ``Submit``.
    """

    job_id: str
    submission: int
    moved: bool = False


@frozen
class JobCancelled:
    """Tells that the client of a job has cancelled it, whichever daemon has it."""

    job_id: str


@frozen
class JobsHeld:
    """Announces the jobs that the sender's placer got, or all if it ``is_complete``.

    ``ended_ids`` are those that it no longer has, nor any run of.
    """

    job_ids: tuple[str, ...] = ()
    ended_ids: tuple[str, ...] = ()
    is_complete: bool = False


@frozen
class ReleaseJob:
    """Requests that the receiver's placer end a job, which the sender's placer has got.

    The client posted it ``age_ms`` ago; the receiver keeps a job that was posted later.
    ``submission`` is that of the message ``Submit``, ``moves`` the number of placers
    from which it was withdrawn. If the receiver is one of them (``is_withdrawn``), the
    sender takes care of the runs there.
    """

    job_id: str
    age_ms: float
    submission: int = 0
    moves: int = 0
    is_withdrawn: bool = False


@frozen
class JobReleased:
    """Reply to ``ReleaseJob``: no run of the job is active at the sender's placer.

    If it is not ``released``, the sender has a later post of the job, and keeps it.
    """

    job_id: str
    released: bool


@frozen
class Outcome:
    """Reports the outcome of a job to the daemon that submitted it.

    ``submission`` is that of the message ``Submit``; it is 0 from older builds.
    """

    outcome: JobOutcome
    submission: int = 0


@frozen
class OwnerLivenessQuery:
    """Queries whether the receiver is ``owner`` or has a live link to it."""

    owner: str


@frozen
class OwnerLivenessReply:
    """Reply to ``OwnerLivenessQuery``; ``is_alive`` as seen by the sender.

    ``zones`` are those that the sender knows to be held by the owner's incarnation.
    """

    owner: str
    is_alive: bool
    zones: tuple[str, ...] = ()


@frozen
class TakeZones:
    """Requests that the receiver take over zones of the sender.

    ``workers`` are the ids of all workers that the sender knows, for receivers of
    builds without ``WorkersInUse``.
    """

    zones: tuple[str, ...]
    workers: tuple[str, ...]


@frozen
class ZoneClaims:
    """Announces zones that ``owner`` claimed without the store, or a newer record.

    ``epochs`` has one epoch for each zone; ``claim`` is that of ``ZoneOwner``, 0 for a
    record of the store, which is sent to the former owner.
    """

    owner: str
    claim: int
    zones: tuple[str, ...]
    epochs: tuple[int, ...]


@frozen
class OwnedZones:
    """Announces all zones that the sender's incarnation owns, whenever they change.

    ``tokens`` has the fencing token of each zone's record.
    """

    zones: tuple[str, ...] = ()
    tokens: tuple[int, ...] = ()


@frozen
class WorkersInUse:
    """States the ids of all workers that the sender's placer is about to use."""

    workers: tuple[str, ...]


@frozen
class RunLosses:
    """Announces runs that were lost with their workers; see ``CrashRecords``."""

    losses: tuple[RunLoss, ...]


@frozen
class JobsReturned:
    """Hands back jobs to the daemon that submitted them; see ``ReturnedJob``."""

    jobs: tuple[ReturnedJob, ...]


OwnershipMessage = (
    OwnerLivenessQuery
    | OwnerLivenessReply
    | TakeZones
    | ZoneClaims
    | OwnedZones
    | WorkersInUse
)
PlacementMessage = (
    FreeCapacity
    | AnnouncedLoad
    | Submit
    | SubmitRejected
    | JobsReturned
    | Cancel
    | Withdraw
    | JobCancelled
    | JobsHeld
    | ReleaseJob
    | JobReleased
    | Outcome
    | RunLosses
)
Message = (
    Hello | Ping | LeaseProbe | LeaseProbeReply | PlacementMessage | OwnershipMessage
)
