"""Exchange of host load in heartbeats.

A heartbeat holds the totals and up to a budget of values of teams and targets, so
it stays small however many there are. Numbers stand for their names; a peer that
lacks the name of a number requests all names (see ``record_requests``).
"""

from collections.abc import Callable, Iterator

from attrs import define, field

from rattanloom.peers.messages import LoadName, LoadUpdate, TargetUpdate, TeamUpdate
from rattanloom.peers.protocol import HostLoad, TargetLoad, TeamLoad

NAMES_MAX = 4_096  # of teams and targets, numbered in one generation
NAMES_UPDATE_BYTES = 1_000  # estimated size of the names in one datagram
NAME_OVERHEAD_BYTES = 16  # of a name and its value, besides its characters
Name = tuple[bool, str]  # whether it is a target's, and the name
Value = tuple[int, int]  # running and queued slots; a target has no queued ones


@define(eq=False)
class LoadReporter:
    """Numbers the names in this host's load and selects the values to send.

    A name keeps its number, with zero slots, when the load no longer holds it.
    ``generation`` grows when numbering starts over, beyond ``NAMES_MAX`` names.
    """

    load: Callable[[], HostLoad]
    generation: int = 1
    _names: list[Name] = field(factory=list)
    _numbers: dict[Name, int] = field(factory=dict)
    _values: list[Value] = field(factory=list)
    _last_reported: list[Value | None] = field(factory=list)
    _current_load: HostLoad = field(factory=HostLoad)
    _turn: int = 0

    def refresh(self) -> None:
        """Read the host's current load."""
        self._current_load = self.load()
        values: dict[Name, Value] = {
            (False, team.team): (team.running_slots, team.queued_slots)
            for team in self._current_load.teams
        }
        for target in self._current_load.targets:
            values[True, target.target] = (target.slots, 0)
        self._assign_numbers(values)
        self._values = [values.get(name, (0, 0)) for name in self._names]

    def changes(self, budget: int) -> LoadUpdate:
        """Return up to ``budget`` values for local hosts: changes first, then in turn.

        If there are more changes, the largest are reported.
        """
        changed = [
            number
            for number, value in enumerate(self._values)
            if self._last_reported[number] != value
        ]
        if len(changed) > budget:
            changed.sort(key=self._change_slots, reverse=True)
        numbers = changed[:budget]
        spare = min(budget - len(numbers), len(self._names))
        numbers += [(self._turn + step) % len(self._names) for step in range(spare)]
        self._turn += spare
        for number in numbers:
            self._last_reported[number] = self._values[number]
        return self._make_update(numbers)

    def slice(self, start: int, budget: int) -> LoadUpdate:
        """Return up to ``budget`` values for a remote host, from number ``start`` on.

        Numbers wrap around; which values changed is not considered.
        """
        count = len(self._names)
        numbers = [(start + step) % count for step in range(min(budget, count))]
        return self._make_update(numbers)

    def name_updates(self) -> Iterator[LoadUpdate]:
        """Yield updates of all names and their values, each to fit one datagram."""
        numbers: list[int] = []
        size_bytes = 0
        for number, (_, name) in enumerate(self._names):
            size_bytes += len(name) + NAME_OVERHEAD_BYTES
            if size_bytes > NAMES_UPDATE_BYTES:
                yield self._make_update(numbers, with_names=True)
                numbers, size_bytes = [], len(name) + NAME_OVERHEAD_BYTES
            numbers.append(number)
        yield self._make_update(numbers, with_names=True)

    @property
    def name_count(self) -> int:
        """Return how many names have a number."""
        return len(self._names)

    def totals(self) -> LoadUpdate:
        """Return an update of the totals alone."""
        return self._make_update(())

    def _assign_numbers(self, values: dict[Name, Value]) -> None:
        new = [name for name in values if name not in self._numbers]
        if len(self._names) + len(new) > NAMES_MAX:
            self.generation += 1
            self._names.clear()
            self._numbers.clear()
            self._last_reported.clear()
            new = list(values)[:NAMES_MAX]
        for name in new:
            self._numbers[name] = len(self._names)
            self._names.append(name)
            self._last_reported.append(None)

    def _change_slots(self, number: int) -> int:
        """Return the change since the last report; ``NAMES_MAX`` if never reported."""
        reported = self._last_reported[number]
        if reported is None:
            return NAMES_MAX
        running, queued = self._values[number]
        return abs(running - reported[0]) + abs(queued - reported[1])

    def _make_update(self, numbers: object, with_names: bool = False) -> LoadUpdate:
        teams, targets, names = [], [], []
        for number in dict.fromkeys(numbers):
            is_target, name = self._names[number]
            running, queued = self._values[number]
            if is_target:
                targets.append(TargetUpdate(number, running))
            else:
                teams.append(TeamUpdate(number, running, queued))
            if with_names:
                names.append(LoadName(number, is_target, name))
        return LoadUpdate(
            self.generation,
            self._current_load.queued_slots,
            self._current_load.running_slots,
            tuple(teams),
            tuple(targets),
            tuple(names),
        )


@define(eq=False)
class PeerLoad:
    """The load of one incarnation of a peer, merged from its updates.

    ``sequence`` is the sequence number of the newest heartbeat merged.
    ``is_missing_names``: a value was dropped, as its number has no name yet.
    """

    generation: int = 0
    sequence: int = -1
    is_missing_names: bool = False
    _names: dict[int, str] = field(factory=dict)
    _teams: dict[int, Value] = field(factory=dict)
    _targets: dict[int, int] = field(factory=dict)
    _queued_slots: int = 0
    _running_slots: int = 0
    _load: HostLoad | None = None

    def merge(self, sequence: int, update: LoadUpdate) -> None:
        """Merge an update; one older than the newest merged is ignored."""
        if sequence < self.sequence or update.generation < self.generation:
            return
        self._load = None
        if update.generation > self.generation:
            self._clear(update.generation)
        self.sequence = sequence
        self._load = None
        self._queued_slots = update.queued_slots
        self._running_slots = update.running_slots
        for name in update.names:
            if name.number < NAMES_MAX:
                self._names[name.number] = name.name
        for team in update.teams:
            if self._has_name(team.number):
                self._teams[team.number] = (team.running_slots, team.queued_slots)
        for target in update.targets:
            if self._has_name(target.number):
                self._targets[target.number] = target.slots

    def to_load(self) -> HostLoad:
        """Return the merged load without values of zero.

        Returns the same object until the next update is merged.
        """
        if self._load is None:
            self._load = self._make_load()
        return self._load

    def _make_load(self) -> HostLoad:
        teams = tuple(
            TeamLoad(self._names[number], *value)
            for number, value in self._teams.items()
            if any(value)
        )
        targets = tuple(
            TargetLoad(self._names[number], slots)
            for number, slots in self._targets.items()
            if slots
        )
        return HostLoad(self._queued_slots, self._running_slots, teams, targets)

    def _has_name(self, number: int) -> bool:
        if number in self._names:
            return True
        self.is_missing_names = True
        return False

    def _clear(self, generation: int) -> None:
        self.generation = generation
        self._names.clear()
        self._teams.clear()
        self._targets.clear()
