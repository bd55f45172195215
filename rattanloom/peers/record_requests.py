"""What this host lacks of others' records and load names, and asks for.

Records are asked for at once. Names take several datagrams, so they are asked
of the own zone at once, and of other zones one host at a time.
"""

from attrs import define, field

REQUESTED_KEYS_MAX = 16
ADDRESSES_MAX = 64
REMOTE_NAMES_EVERY_ROUNDS = 4
NAMES_REPLY_EVERY_ROUNDS = 4


@define(eq=False)
class RecordRequests:
    """The questions to send with the next beat, by address."""

    _records: dict[str, set[int]] = field(factory=dict)
    _far_names: dict[str, int] = field(factory=dict)
    _answered_at_beat: dict[str, int] = field(factory=dict)

    def request_record(self, address: str, key: int) -> None:
        """Ask an address for the record, or the names, of a key."""
        if address not in self._records and len(self._records) >= ADDRESSES_MAX:
            return
        keys = self._records.setdefault(address, set())
        if len(keys) < REQUESTED_KEYS_MAX:
            keys.add(key)

    def request_names(self, address: str, key: int, near: bool) -> None:
        """Ask a host for the names of its load."""
        if near:
            self.request_record(address, key)
        elif len(self._far_names) < ADDRESSES_MAX:
            self._far_names[address] = key

    def take(self, beat: int) -> dict[str, tuple[int, ...]]:
        """Return the keys to ask for in this beat, by address."""
        if self._far_names and beat % REMOTE_NAMES_EVERY_ROUNDS == 0:
            address = next(iter(self._far_names))
            self.request_record(address, self._far_names.pop(address))
        records, self._records = self._records, {}
        return {address: tuple(sorted(keys)) for address, keys in records.items()}

    def allow_names_reply(self, address: str, beat: int) -> bool:
        """Say whether an address may be told the names again, and note it."""
        last_beat = self._answered_at_beat.get(address)
        if last_beat is not None and beat - last_beat < NAMES_REPLY_EVERY_ROUNDS:
            return False
        if len(self._answered_at_beat) >= ADDRESSES_MAX:
            del self._answered_at_beat[next(iter(self._answered_at_beat))]
        self._answered_at_beat[address] = beat
        return True
