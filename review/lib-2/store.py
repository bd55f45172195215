"""Stand-in for the platform's store: transactions, reads and the feed of changes."""

import json
from base64 import b64encode

import gevent
from gevent.event import Event

ROWS_MAX = 500
TX_S = 0.004
PLATFORM_TABLES = ("op", "servers")


class Store:
    """Rows by table, part and key; ``version`` counts the transactions."""

    def __init__(self, clock_ms):
        """Start empty; ``clock_ms`` returns the steady clock."""
        self.clock_ms = clock_ms
        self.rows = {}
        self.version = 0
        self.changed = Event()

    def put(self, table, key, document):
        """Write a row as the platform or the operator; None drops it."""
        value = None
        if document is not None:
            value = b64encode(json.dumps(document).encode()).decode()
        self._apply([((table, "", key), value)])

    def handle(self, method, path, query, body):
        """Return status and document of the response to a call."""
        if (method, path) == ("POST", "/rows-tx"):
            return self._transact(json.loads(body))
        if (method, path) == ("GET", "/rows-get"):
            return self._read(query)
        if (method, path) == ("GET", "/rows-feed"):
            return self._feed(query)
        return 404, {}

    def _apply(self, writes):
        self.version += 1
        for ref, value in writes:
            self.rows[ref] = (self.version, value)
        self.changed.set()
        self.changed.clear()

    def _current(self, ref):
        version, value = self.rows.get(ref, (0, None))
        return 0 if value is None else version

    def _transact(self, document):
        gevent.sleep(TX_S)
        writes = [(_ref(row), row["value"]) for row in document.get("writes", ())]
        writes += [(_ref(row), None) for row in document.get("remove", ())]
        if any(ref[0] in PLATFORM_TABLES for ref, _ in writes):
            return 403, {}
        refs = [(_ref(row), row["row_version"]) for row in document["expected_rev"]]
        if any(self._current(ref) != version for ref, version in refs):
            found = [self._wire(ref) for ref, _ in refs if self._current(ref)]
            return 412, self._with_rows(found)
        self._apply(writes)
        return 200, self._with_rows([])

    def _read(self, query):
        gevent.sleep(TX_S)
        place = query["table"], query.get("part", "")
        first, limit = query.get("from", ""), query.get("target")
        refs = sorted(
            ref
            for ref, (_, value) in self.rows.items()
            if ref[:2] == place
            and value is not None
            and ref[2] >= first
            and (limit is None or ref[2] < limit)
        )
        document = self._with_rows([self._wire(ref) for ref in refs[:ROWS_MAX]])
        return 200, document | {"has_more": len(refs) > ROWS_MAX}

    def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until_ms = self.clock_ms() + int(query.get("wait_ms", 0))
        while True:
            found = sorted(
                (version, ref)
                for ref, (version, _) in self.rows.items()
                if ref[0] == table and version > after
            )
            left_ms = until_ms - self.clock_ms()
            if found or left_ms <= 0:
                gevent.sleep(TX_S)
                rows = [self._wire(ref) for _, ref in found[:ROWS_MAX]]
                document = self._with_rows(rows)
                if len(found) > ROWS_MAX:
                    document["row_version"] = found[ROWS_MAX - 1][0]
                elif found:
                    document["row_version"] = found[-1][0]
                return 200, document
            self.changed.wait(left_ms / 1_000)

    def _with_rows(self, rows):
        now_ms = int(self.clock_ms())
        return {"rows": rows, "row_version": self.version, "now_ms": now_ms}

    def _wire(self, ref):
        version, value = self.rows[ref]
        row = dict(zip(("table", "part", "key"), ref, strict=True))
        row["row_version"] = version
        return row | ({"deleted": True} if value is None else {"value": value})


def _ref(row):
    return row["table"], row.get("part", ""), row["key"]
