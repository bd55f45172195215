"""The messages between daemons on the platform; wire format in ``links.capnp``."""

from attrs import frozen

from rattanloom.placement.crash_records import RunLoss
from rattanloom.placement.jobs import JobOutcome, SubmittedJob
from rattanloom.scheduling.zone_load import ZoneLoad

# Version of the messages, and the first ones with ``RunLosses`` and ``AnnouncedLoad``.
# Builds from before the field send 0 and close a link on which they receive an unknown
# message.
PROTOCOL_VERSION = 2
RUN_LOSSES_VERSION = 1
ZONE_LOAD_VERSION = 2


@frozen
class Hello:
    """First message in both directions; identifies the sender.

    Peers open links to ``address``, and send no newer messages than those of
    ``protocol_version``.
    """

    node: str
    zone: str
    address: str
    started_wall_ms: int
    protocol_version: int = PROTOCOL_VERSION


@frozen
class Ping:
    """Keepalive of an idle link."""


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
    """Submits a job to the receiver's placer; see ``PlacedJob`` for former placers."""

    job: SubmittedJob
    former_placers: tuple[str, ...] = ()


@frozen
class Cancel:
    """Cancels a job whose client has disconnected."""

    job_id: str


@frozen
class Outcome:
    """Reports the outcome of a job to the daemon that submitted it."""

    outcome: JobOutcome


@frozen
class OwnerLivenessQuery:
    """Queries whether the receiver is ``owner`` or has a live link to it."""

    owner: str


@frozen
class OwnerLivenessReply:
    """Reply to ``OwnerLivenessQuery``; ``is_alive`` as seen by the sender."""

    owner: str
    is_alive: bool


@frozen
class TakeZones:
    """Requests that the receiver take over zones of the sender.

    ``workers`` are the ids of all workers that the sender knows.
    """

    zones: tuple[str, ...]
    workers: tuple[str, ...]


@frozen
class ZoneClaims:
    """Announces zones that ``owner`` claimed without the store.

    ``epochs`` has one epoch for each zone; ``claim`` is that of ``ZoneOwner``.
    """

    owner: str
    claim: int
    zones: tuple[str, ...]
    epochs: tuple[int, ...]


@frozen
class RunLosses:
    """Announces runs that were lost with their workers; see ``CrashRecords``."""

    losses: tuple[RunLoss, ...]


OwnershipMessage = OwnerLivenessQuery | OwnerLivenessReply | TakeZones | ZoneClaims
PlacementMessage = FreeCapacity | AnnouncedLoad | Submit | Cancel | Outcome | RunLosses
Message = Hello | Ping | PlacementMessage | OwnershipMessage
