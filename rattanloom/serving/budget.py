"""Bounds the memory and the connections that all clients of a process hold together.

All listeners of a process share one ``ClientBudget``. Each connection has a
``Holding``, which is charged with what the connection may make the process hold: its
greenlet and socket buffers, the request that is being read or served, and the response
that is being written. If a charge does not fit, connections that wait for their client
are closed, the oldest first; one whose request is being served never is.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from enum import Enum

from attrs import define, field
from gevent.event import Event

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from rattanloom.metrics import Metrics
from rattanloom.serving.limits import MEMORY_DEFAULT_BYTES, STALLED_AFTER_MS

# Socket buffers of a connection; the kernel doubles these values.
RECEIVE_BUFFER_BYTES = 16_384
SEND_BUFFER_BYTES = 16_384
# Charged for each connection: its socket, its greenlet and their objects.
IDLE_BYTES = 16_384
# Charged in addition from the first byte of a request to the end of its response:
# unread and unsent bytes, and a request and a response of an ordinary size.
ACTIVE_BYTES = 65_536
# A request body of this size needs no more than that.
ORDINARY_BYTES = 8_192
# Of the budget: only for connections and ordinary requests, not for large ones.
ORDINARY_SHARE = 0.25
# Longest wait of a large request for the memory of others.
WAIT_MAX_MS = 500
WAIT_STEP_MS = 50
LOG_INTERVAL_MS = 1_000


class Phase(Enum):
    """What a connection is waiting for; SERVING waits for this process."""

    IDLE = "idle"
    RECEIVING = "receiving"
    SERVING = "serving"
    SENDING = "sending"
    CLOSING = "closing"


# The phases in which a connection waits for its client.
WAITING = (Phase.IDLE, Phase.RECEIVING, Phase.SENDING, Phase.CLOSING)


@define(eq=False, repr=False)
class Listener:
    """One listening address, which accepts up to ``connections_max`` connections.

    ``is_internal`` ones are for the system itself, not for its callers: large messages
    there may use the part of the budget that large requests may not, and idle
    connections are not closed for the memory of others.
    ``_phases`` has the connections of each phase but SERVING, the oldest first.
    """

    name: str
    connections_max: int
    is_internal: bool = False
    connections: int = 0
    _phases: dict[Phase, dict["Holding", None]] = field(
        factory=lambda: {phase: {} for phase in WAITING}
    )

    def enter(self, holding: "Holding", phase: Phase) -> None:
        """Move a connection to the end of a phase."""
        self.leave(holding)
        holding.phase = phase
        if phase is not Phase.SERVING:
            self._phases[phase][holding] = None

    def leave(self, holding: "Holding") -> None:
        """Remove a connection from its phase."""
        if holding.phase is not Phase.SERVING:
            self._phases[holding.phase].pop(holding, None)

    def oldest(self, phase: Phase, besides: "Holding | None") -> "Holding | None":
        """Return the connection that has been in a phase longest, besides one."""
        waiting = self._phases[phase]
        return next((holding for holding in waiting if holding is not besides), None)


@define(eq=False, repr=False)
class Holding:
    """What one connection is charged with; ``close_connection`` ends the connection.

    ``since_ms`` is when its phase began. ``is_evicted`` is set once the budget has
    taken its memory for others: its request must not be served any more.
    """

    budget: "ClientBudget"
    listener: Listener
    close_connection: Callable[[], None]
    phase: Phase = Phase.IDLE
    since_ms: float = 0
    held_bytes: int = 0
    is_evicted: bool = False
    _is_released: bool = False

    def wait_for_request(self) -> None:
        """Begin to wait for a request, with the memory of an idle connection."""
        self._enter(Phase.IDLE)
        self.budget.give_back(self, self.held_bytes - IDLE_BYTES)

    def begin_request(self) -> bool:
        """Begin to read a request; return whether there is memory for it."""
        self._enter(Phase.RECEIVING)
        return self.budget.take(self, ACTIVE_BYTES)

    def begin_serving(self) -> bool:
        """Begin to serve a request; return whether this connection may still do so."""
        if not self.is_evicted:
            self._enter(Phase.SERVING)
        return not self.is_evicted

    def begin_response(self) -> None:
        """Begin to write a response."""
        self._enter(Phase.SENDING)

    def begin_closing(self) -> None:
        """Begin to wait until the client has read the last response."""
        self._enter(Phase.CLOSING)
        self.budget.give_back(self, self.held_bytes - IDLE_BYTES)

    def take_large(self, number_bytes: int) -> bool:
        """Take memory for a large request, with a wait; return whether it fits."""
        return self.budget.take_large(self, number_bytes)

    def release(self) -> None:
        """Give everything back, at the end of the connection."""
        if not self._is_released:
            self._is_released = True
            self.listener.leave(self)
            self.listener.connections -= 1
            self.budget.give_back(self, self.held_bytes)

    def _enter(self, phase: Phase) -> None:
        if not self._is_released:
            self.since_ms = self.budget.clock.now_ms()
            self.listener.enter(self, phase)


@define(eq=False, repr=False)
class ClientBudget:
    """The memory that all clients of a process may hold together.

    ``log`` is called at most once a second with the numbers of requests refused and
    connections closed since, by listener and reason.
    """

    memory_max_bytes: int = MEMORY_DEFAULT_BYTES
    stalled_after_ms: float = STALLED_AFTER_MS
    metrics: Metrics = field(factory=Metrics)
    clock: Clock = field(factory=SystemClock)
    log: Callable[[dict[str, int]], None] = lambda counts: None
    held_bytes: int = 0
    listeners: list[Listener] = field(factory=list)
    _waiting: deque[Event] = field(factory=deque)
    _unlogged: Counter[str] = field(factory=Counter)
    _logged_ms: float = float("-inf")

    @property
    def large_max_bytes(self) -> int:
        """Return the memory that large requests may use."""
        return int(self.memory_max_bytes * (1 - ORDINARY_SHARE))

    def add_listener(
        self, name: str, connections_max: int, is_internal: bool = False
    ) -> Listener:
        """Return a new listener whose connections share this budget."""
        listener = Listener(name, connections_max, is_internal)
        self.listeners.append(listener)
        return listener

    def admit(
        self, listener: Listener, close_connection: Callable[[], None]
    ) -> Holding | None:
        """Return the holding of a new connection; None if it has to be refused.

        A listener that is full closes a connection that waits for its client.
        """
        if listener.connections >= listener.connections_max:
            self._evict_for(listener)
        holding = Holding(self, listener, close_connection)
        is_full = listener.connections >= listener.connections_max
        if is_full or not self.take(holding, IDLE_BYTES):
            self.count_refused(listener, "connections" if is_full else "memory")
            return None
        listener.connections += 1
        holding.wait_for_request()
        return holding

    def take(self, holding: Holding, number_bytes: int) -> bool:
        """Charge a connection for an ordinary request; return whether that fits.

        Others that wait for their clients are closed for it, however recent.
        """
        while self.held_bytes + number_bytes > self.memory_max_bytes:
            victim = self._stalled(holding) or self._oldest(WAITING, (), holding)
            if victim is None:
                return False
            self._evict(victim, "memory")
        return self._charge(holding, number_bytes)

    def take_large(self, holding: Holding, number_bytes: int) -> bool:
        """Charge a connection for a large request or response, if it fits in time.

        Only connections that have stalled are closed for it. Clients wait in turn.
        """
        is_internal = holding.listener.is_internal
        max_bytes = self.memory_max_bytes if is_internal else self.large_max_bytes
        turn, until_ms = Event(), self.clock.now_ms() + WAIT_MAX_MS
        self._waiting.append(turn)
        try:
            while not (
                (is_internal or self._waiting[0] is turn)
                and self._make_room(holding, number_bytes, max_bytes)
            ):
                if holding.is_evicted or self.clock.now_ms() >= until_ms:
                    return False
                turn.clear()
                turn.wait(WAIT_STEP_MS / MS_PER_S)
            return self._charge(holding, number_bytes)
        finally:
            self._waiting.remove(turn)
            self._wake_first()

    def give_back(self, holding: Holding, number_bytes: int) -> None:
        """Reduce the charge of a connection."""
        if number_bytes > 0 and holding.held_bytes:
            number_bytes = min(number_bytes, holding.held_bytes)
            holding.held_bytes -= number_bytes
            self.held_bytes -= number_bytes
            self._wake_first()

    def count_refused(self, listener: Listener, reason: str) -> None:
        """Count a request, or a connection, that was refused."""
        self.metrics.count("client_requests_refused", f"{listener.name}/{reason}")
        self._log(f"{listener.name}/refused/{reason}")

    def count_closed(self, listener: Listener, reason: str) -> None:
        """Count a connection that was closed although its client may still use it."""
        self.metrics.count("client_connections_closed", f"{listener.name}/{reason}")
        self._log(f"{listener.name}/closed/{reason}")

    def update_gauges(self) -> None:
        """Set the gauges to the current values."""
        self.metrics.gauge("client_memory_bytes", self.held_bytes)
        for listener in self.listeners:
            self.metrics.gauge(
                "client_connections", listener.connections, listener.name
            )

    def _make_room(self, holding: Holding, number_bytes: int, max_bytes: int) -> bool:
        """Close stalled connections until a charge fits; return whether it does."""
        while self.held_bytes + number_bytes > max_bytes:
            victim = self._stalled(holding)
            if victim is None:
                return False
            self._evict(victim, "memory")
        return True

    def _wake_first(self) -> None:
        if self._waiting:
            self._waiting[0].set()

    def _charge(self, holding: Holding, number_bytes: int) -> bool:
        if holding.is_evicted:
            return False
        holding.held_bytes += number_bytes
        self.held_bytes += number_bytes
        return True

    def _evict_for(self, listener: Listener) -> None:
        """Close the connection of a full listener that is missed least."""
        victim = self._stalled(None, (listener,)) or self._oldest(WAITING, (listener,))
        if victim is not None:
            self._evict(victim, "connections")

    def _stalled(
        self, besides: Holding | None, listeners: Iterable[Listener] = ()
    ) -> Holding | None:
        """Return a connection that has waited long for its client.

        Idle ones come last for memory, of which they hold little, but first for the
        connections of a listener: their clients miss them least.
        """
        now_ms = self.clock.now_ms()
        active = (Phase.RECEIVING, Phase.SENDING)
        order = [(Phase.CLOSING,), active, (Phase.IDLE,)]
        if listeners:
            order = [(Phase.CLOSING,), (Phase.IDLE,), active]
        for phases in order:
            victim = self._oldest(phases, listeners, besides)
            if victim is not None and self._is_stalled(victim, now_ms):
                return victim
        return None

    def _oldest(
        self,
        phases: tuple[Phase, ...],
        listeners: Iterable[Listener] = (),
        besides: Holding | None = None,
    ) -> Holding | None:
        """Return the connection that has been in its phase longest."""
        found = [
            holding
            for listener in listeners or self.listeners
            for phase in phases
            if (listeners or phase is not Phase.IDLE or not listener.is_internal)
            and (holding := listener.oldest(phase, besides)) is not None
        ]
        return min(found, key=lambda holding: holding.since_ms, default=None)

    def _is_stalled(self, holding: Holding, now_ms: float) -> bool:
        is_closing = holding.phase is Phase.CLOSING
        return is_closing or now_ms - holding.since_ms >= self.stalled_after_ms

    def _evict(self, holding: Holding, reason: str) -> None:
        holding.is_evicted = True
        self.count_closed(holding.listener, f"{reason}_{holding.phase.value}")
        holding.release()
        holding.close_connection()

    def _log(self, event: str) -> None:
        self._unlogged[event] += 1
        now_ms = self.clock.now_ms()
        if now_ms - self._logged_ms >= LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            self.log(dict(self._unlogged))
            self._unlogged.clear()
