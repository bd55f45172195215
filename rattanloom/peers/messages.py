"""The typed messages between entry hosts; ``peers.capnp`` has their wire form."""

from functools import lru_cache
from hashlib import blake2b

from attrs import frozen

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult

KEY_BYTES = 6
KEYS_CACHED = 2_048


@lru_cache(maxsize=KEYS_CACHED)
def member_key(incarnation: str) -> int:
    """Return the short number that stands for an incarnation in heartbeats."""
    digest = blake2b(incarnation.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


@frozen
class MemberRecord:
    """Who and where one incarnation of an entry host is.

    The record with the greater ``rank`` is the newer incarnation of a host.
    """

    host: str
    zone: str
    address: str
    incarnation: str
    started_wall_ms: int

    @property
    def key(self) -> int:
        """Return the short number of this incarnation."""
        return member_key(self.incarnation)

    @property
    def rank(self) -> tuple[int, str]:
        """Return what orders the incarnations of one host."""
        return self.started_wall_ms, self.incarnation


@frozen
class RelayedHeartbeat:
    """The latest heartbeat number that the sender knows of another host."""

    key: int
    beat: int
    leaving: bool = False


@frozen
class LoadName:
    """The number that stands for a team's or target's name in load parts."""

    number: int
    is_target: bool
    name: str


@frozen
class TeamUpdate:
    """One team's slots, under its number."""

    number: int
    running_slots: int
    queued_slots: int


@frozen
class TargetUpdate:
    """The slots taken on one target, under its number."""

    number: int
    slots: int


@frozen
class LoadUpdate:
    """A part of a host's load: totals, and absolute values of some names.

    Numbers refer to names told in the same ``generation``.
    """

    generation: int = 0
    queued_slots: int = 0
    running_slots: int = 0
    teams: tuple[TeamUpdate, ...] = ()
    targets: tuple[TargetUpdate, ...] = ()
    names: tuple[LoadName, ...] = ()


@frozen
class Heartbeat:
    """One datagram from an entry host.

    ``sender`` is the key of its incarnation and ``beat`` counts its
    heartbeats. ``interval_ms`` is the time until its next one to this
    receiver. ``unheard`` are keys of hosts that the sender does not hear,
    ``asks`` keys whose records and load names it lacks.
    """

    sender: int
    beat: int
    interval_ms: int
    config_version: int = 0
    leaving: bool = False
    told: tuple[RelayedHeartbeat, ...] = ()
    unheard: tuple[int, ...] = ()
    asks: tuple[int, ...] = ()
    introductions: tuple[MemberRecord, ...] = ()
    load: LoadUpdate = LoadUpdate()


@frozen
class Hello:
    """The first frame of a connection, in both directions."""

    record: MemberRecord


@frozen
class Ping:
    """Asks whether the other end still serves this connection."""


@frozen
class Pong:
    """Answers a ping."""


@frozen
class Submit:
    """Forwards a submission."""

    job: Job


@frozen
class Ask:
    """Forwards a question for an answer."""

    job_id: str
    wait_ms: float


@frozen
class Cancel:
    """Forwards a cancellation."""

    job_id: str


@frozen
class FetchConfig:
    """Asks for the configuration document of this version or newer."""

    version: int


@frozen
class Document:
    """A configuration document."""

    text: str


@frozen
class FetchTargets:
    """Asks for the workers that the platform last listed."""


@frozen
class TargetList:
    """The workers that the platform last listed, as the platform told them."""

    text: str


Request = Submit | Ask | Cancel | FetchConfig | FetchTargets
Reply = JobResult | Document | TargetList | Failure


@frozen
class Frame:
    """One message on a connection; 0 is the ``request_id`` of no request."""

    body: Hello | Ping | Pong | Request | Reply
    request_id: int = 0
