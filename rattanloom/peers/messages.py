"""Messages between entry hosts; ``peers.capnp`` defines their wire form."""

from functools import lru_cache
from hashlib import blake2b

from attrs import frozen

from rattanloom.errors import Failure
from rattanloom.job import Job, JobResult

KEY_BYTES = 6
KEYS_CACHED = 2_048  # of recently used incarnations


@lru_cache(maxsize=KEYS_CACHED)
def member_key(incarnation: str) -> int:
    """Return the key of an incarnation, which stands for it in heartbeats."""
    digest = blake2b(incarnation.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


@frozen
class MemberRecord:
    """The identity and address of one incarnation of an entry host."""

    host: str
    zone: str
    address: str
    incarnation: str
    started_wall_ms: int

    @property
    def key(self) -> int:
        """Return the key of this incarnation."""
        return member_key(self.incarnation)

    @property
    def rank(self) -> tuple[int, str]:
        """Return the value that orders the incarnations of one host."""
        return self.started_wall_ms, self.incarnation


@frozen
class RelayedHeartbeat:
    """The latest sequence number (``beat``) that the sender knows of a third host."""

    key: int
    beat: int
    leaving: bool = False


@frozen
class LoadName:
    """The number that replaces a team's or target's name in load updates."""

    number: int
    is_target: bool
    name: str


@frozen
class TeamUpdate:
    """One team's slots; ``number`` stands for the team's name, see ``LoadName``."""

    number: int
    running_slots: int
    queued_slots: int


@frozen
class TargetUpdate:
    """The slots in use on one target; ``number`` stands for the target's name."""

    number: int
    slots: int


@frozen
class LoadUpdate:
    """Part of a host's load: the totals, and the values of some teams and targets.

    The values replace earlier ones. A number stands for the same name throughout a
    ``generation``; generation 0 holds no load.
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

    ``sender`` is the key of its incarnation and ``beat`` its sequence number.
    ``interval_ms`` is the interval of its heartbeats to this receiver. ``told``
    are the relayed heartbeats of third hosts. ``unheard`` are keys of hosts whose
    direct heartbeats the sender misses. ``asks`` are keys whose records it
    requests; asking a host for its own key also requests its load names.
    ``introductions`` are records that the receiver may lack.
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
    """Requests a pong, to check that the peer still serves this connection."""


@frozen
class Pong:
    """Reply to a ping."""


@frozen
class Submit:
    """Forwards a submission."""

    job: Job


@frozen
class Ask:
    """Forwards a request for a job's result."""

    job_id: str
    wait_ms: float


@frozen
class Cancel:
    """Forwards a cancellation."""

    job_id: str


@frozen
class FetchConfig:
    """Requests the configuration document of this version or newer."""

    version: int


@frozen
class Document:
    """A configuration document."""

    text: str


@frozen
class FetchTargets:
    """Requests the list of workers that the platform last sent to the receiver."""


@frozen
class TargetList:
    """The list of workers as the platform last sent it, as JSON."""

    text: str


Request = Submit | Ask | Cancel | FetchConfig | FetchTargets
Reply = JobResult | Document | TargetList | Failure


@frozen
class Frame:
    """One message on a connection; ``request_id`` 0 belongs to no request."""

    body: Hello | Ping | Pong | Request | Reply
    request_id: int = 0
