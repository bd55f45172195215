"""The messages between daemons; ``links.capnp`` defines their wire format."""

from attrs import frozen

from rattanloom.placement.jobs import JobOutcome, SubmittedJob


@frozen
class Hello:
    """First message in both directions; identifies the sender."""

    node: str
    zone: str
    address: str
    started_wall_ms: int


@frozen
class Ping:
    """Keepalive of an idle link."""


@frozen
class FreeCapacity:
    """Reports the free CPU of a placer; below 0 if tasks wait for CPU there."""

    millicores: int


@frozen
class Submit:
    """Sends a job to a placer.

    ``former_placers`` received the job earlier; its tasks may be running already.
    """

    job: SubmittedJob
    former_placers: tuple[str, ...] = ()


@frozen
class Cancel:
    """Cancels a job whose client has disconnected."""

    job_id: str


@frozen
class Outcome:
    """Reports how a job finished."""

    outcome: JobOutcome


@frozen
class OwnerLivenessQuery:
    """Queries whether the receiver has a live link to this owner."""

    owner: str


@frozen
class OwnerLivenessReply:
    """Reply to ``OwnerLivenessQuery``."""

    owner: str
    is_alive: bool


@frozen
class TakeZones:
    """Requests a takeover of zones; ``workers`` are those registered at the sender."""

    zones: tuple[str, ...]
    workers: tuple[str, ...]


@frozen
class ZoneClaims:
    """Announces zones claimed by an owner that could not write to the store.

    ``epochs`` has one entry for each of ``zones``.
    """

    owner: str
    claim: int
    zones: tuple[str, ...]
    epochs: tuple[int, ...]


OwnershipMessage = OwnerLivenessQuery | OwnerLivenessReply | TakeZones | ZoneClaims
Message = Hello | Ping | FreeCapacity | Submit | Cancel | Outcome | OwnershipMessage
