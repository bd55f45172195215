"""The typed messages between daemons; ``links.capnp`` has their wire form."""

from attrs import frozen

from rattanloom.placement.jobs import JobOutcome, SubmittedJob


@frozen
class Hello:
    """The first message in both directions: who speaks, and since when."""

    node: str
    zone: str
    address: str
    started_wall_ms: int


@frozen
class Ping:
    """Shows that the sender is alive."""


@frozen
class FreeCapacity:
    """Tells how much processor a placer has free; below 0 tasks wait there."""

    millicores: int


@frozen
class Submit:
    """Hands a job to a placer.

    ``former_placers`` had the job before, so that its tasks may be running.
    """

    job: SubmittedJob
    former_placers: tuple[str, ...] = ()


@frozen
class Cancel:
    """Ends a job whose client has gone."""

    job_id: str


@frozen
class Outcome:
    """Tells the end of a job."""

    outcome: JobOutcome


@frozen
class OwnerLivenessQuery:
    """Asks whether the receiver hears this owner."""

    owner: str


@frozen
class OwnerLivenessReply:
    """Answers ``OwnerLivenessQuery``."""

    owner: str
    is_alive: bool


@frozen
class TakeZones:
    """Asks the receiver to take these zones over, with these workers in use."""

    zones: tuple[str, ...]
    workers: tuple[str, ...]


@frozen
class ZoneClaims:
    """Tells of zones whose owner could not write to the store.

    ``epochs`` has one entry for each of ``zones``.
    """

    owner: str
    claim: int
    zones: tuple[str, ...]
    epochs: tuple[int, ...]


OwnershipMessage = OwnerLivenessQuery | OwnerLivenessReply | TakeZones | ZoneClaims
Message = Hello | Ping | FreeCapacity | Submit | Cancel | Outcome | OwnershipMessage
