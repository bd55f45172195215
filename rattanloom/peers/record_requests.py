"""Requests for missing member records and load names of other hosts.

Records are requested in the next round. The names of a load take several
datagrams: they are requested from local hosts in the next round, and from remote
hosts one at a time.
"""

from attrs import define, field

REQUESTED_KEYS_MAX = 16  # in one datagram
ADDRESSES_MAX = 64  # in each of the tables below
REMOTE_NAMES_EVERY_ROUNDS = 4  # between requests to two remote hosts
NAMES_REPLY_EVERY_ROUNDS = 4  # between replies to the same address


@define(eq=False)
class RecordRequests:
    """The keys to request in the next rounds, and when names were last sent.

    Rounds are counted by the sequence number of this host's heartbeats.
    """

    _records: dict[str, set[int]] = field(factory=dict)
    _remote_names: dict[str, int] = field(factory=dict)
    _replied_at: dict[str, int] = field(factory=dict)

    def request_record(self, address: str, key: int) -> None:
        """Request the record of a key; the key's own host also sends its load names."""
        if address not in self._records and len(self._records) >= ADDRESSES_MAX:
            return
        keys = self._records.setdefault(address, set())
        if len(keys) < REQUESTED_KEYS_MAX:
            keys.add(key)

    def request_names(self, address: str, key: int, is_local: bool) -> None:
        """Request the load names of the host with that address and key."""
        if is_local:
            self.request_record(address, key)
        elif len(self._remote_names) < ADDRESSES_MAX:
            self._remote_names[address] = key

    def pop_due(self, sequence: int) -> dict[str, tuple[int, ...]]:
        """Return the keys to request in this round, by address, and clear them."""
        if self._remote_names and sequence % REMOTE_NAMES_EVERY_ROUNDS == 0:
            address = next(iter(self._remote_names))
            self.request_record(address, self._remote_names.pop(address))
        records, self._records = self._records, {}
        return {address: tuple(sorted(keys)) for address, keys in records.items()}

    def allow_names_reply(self, address: str, sequence: int) -> bool:
        """Return whether to send the names to an address now, and record the reply."""
        last_reply = self._replied_at.get(address)
        if last_reply is not None and sequence - last_reply < NAMES_REPLY_EVERY_ROUNDS:
            return False
        if len(self._replied_at) >= ADDRESSES_MAX:
            del self._replied_at[next(iter(self._replied_at))]
        self._replied_at[address] = sequence
        return True
