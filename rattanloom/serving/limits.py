"""Limits on one request, and on what all clients of a process hold together."""

from attrs import field, frozen

from rattanloom.validation import in_range

# Where the settings do not say how much memory the machine has.
MEMORY_DEFAULT_BYTES = 128_000_000
# Of the machine's memory; the rest is for the process itself.
MEMORY_SHARE = 0.5
# Of the descriptors that are not for files; the rest is for workers, the store and
# links to other daemons.
CONNECTIONS_SHARE = 0.52
PEER_CONNECTIONS_SHARE = 0.25
FILE_DESCRIPTORS = 200
CONNECTIONS_MAX = 2_000
STALLED_AFTER_MS = 1_000


@frozen
class RequestLimits:
    """Limits on the size of a request and on the time until its headers arrive.

    ``idle_timeout_ms`` is the longest wait for a further request on a connection.
    """

    header_bytes_max: int = 16_384
    body_bytes_max: int = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


@frozen
class ClientLimits:
    """Settings of the limits on all clients of a process.

    ``memory_max_bytes`` bounds what they hold together; 0 stands for a share of the
    machine's memory. The body of a request must arrive within ``body_timeout_ms``, and
    a client must take a response within ``response_timeout_ms``. A connection that has
    been idle, or at one request or response, for ``stalled_after_ms`` may be closed for
    others that need its memory. ``page_connections_max`` is for each address
    that serves pages to operators, ``peer_connections_max`` for the one that other
    processes of the system connect to; 0 stands for a share of the descriptors.
    """

    memory_max_bytes: int = field(default=0, validator=in_range(0, 10**12))
    body_timeout_ms: int = field(default=30_000, validator=in_range(100, 600_000))
    response_timeout_ms: int = field(default=15_000, validator=in_range(100, 600_000))
    stalled_after_ms: int = field(
        default=STALLED_AFTER_MS, validator=in_range(50, 60_000)
    )
    page_connections_max: int = field(default=64, validator=in_range(4, 10_000))
    peer_connections_max: int = field(default=0, validator=in_range(0, 100_000))


def memory_of_clients(limits: ClientLimits, machine_memory_mb: float = 0) -> int:
    """Return how many bytes all clients of a process may hold together."""
    machine_share_bytes = int(machine_memory_mb * 1_000_000 * MEMORY_SHARE)
    return limits.memory_max_bytes or machine_share_bytes or MEMORY_DEFAULT_BYTES


def connections_of_clients(descriptors_max: int) -> int:
    """Return how many connections of clients a machine's descriptors allow."""
    allowed = int(_sockets_max(descriptors_max) * CONNECTIONS_SHARE)
    return max(1, min(CONNECTIONS_MAX, allowed))


def connections_of_peers(limits: ClientLimits, descriptors_max: int) -> int:
    """Return how many connections other processes of the system may open."""
    allowed = int(_sockets_max(descriptors_max) * PEER_CONNECTIONS_SHARE)
    return limits.peer_connections_max or max(1, allowed)


def _sockets_max(descriptors_max: int) -> int:
    return max(0, descriptors_max - FILE_DESCRIPTORS)
