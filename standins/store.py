"""Stand-in for the metadata store of the daemons' platform.

``python -m standins.store --help`` explains its use. Serves the platform's store
protocol; a test harness writes platform rows and injects faults under ``/standin/``.
"""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import json

import gevent
from attrs import asdict, define, evolve, field, frozen
from bottle import Bottle, HTTPResponse, request
from fire import Fire
from gevent.event import Event

from rattanloom.clock import MS_PER_S, Clock, SystemClock
from standins.handler import drop_connection, hold_until_closed, serving_at
from standins.table_rows import RowRef, StoredRow, TableRows

# Tables that only the platform and its operators may write; others get 403.
PLATFORM_TABLES = ("op", "servers")
# Most rows in the response to a read or a poll.
ROWS_MAX = 500
# Time between two checks for expired rows.
EXPIRY_TICK_MS = 100


@frozen
class StoreSwitches:
    """Faults of the store.

    ``latency_ms`` delays each request. ``down`` responds 503 to each. ``silent`` holds
    all requests until it is switched off. The next ``lose_replies`` transactions take
    effect, but their connections are closed without a response. Requests that arrive or
    wait while ``lose_requests`` is set have no effect and never get a response.
    """

    latency_ms: float = 4.0
    down: bool = False
    silent: bool = False
    lose_replies: int = 0
    lose_requests: bool = False


@define(eq=False)
class Store:
    """HTTP interface of the store.

    ``requests_lost`` counts the requests without a response, see ``lose_requests``.
    ``_losses`` counts how often that was set. ``_changed`` wakes the waiting polls.
    """

    clock: Clock = field(factory=SystemClock)
    rows: TableRows = field(factory=TableRows)
    switches: StoreSwitches = field(factory=StoreSwitches)
    requests_lost: int = 0
    _losses: int = 0
    _changed: Event = field(factory=Event)
    _expire_at_ms: dict[RowRef, float] = field(factory=dict)

    def application(self) -> Bottle:
        """Return the WSGI application of the store."""
        app = Bottle()
        app.post("/rows-tx", callback=self._transact)
        app.get("/rows-get", callback=self._read)
        app.get("/rows-feed", callback=self._poll_changes)
        app.post("/standin/rows", callback=self._write_as_platform)
        app.post("/standin/switches", callback=self._set_switches)
        app.post("/standin/drop-history", callback=self._drop_history)
        return app

    def _transact(self) -> HTTPResponse:
        refusal = self._apply_faults()
        if refusal is not None:
            return refusal
        document = request.json
        writes = [(_ref(row), row["value"]) for row in document.get("writes", ())]
        writes += [(_ref(row), None) for row in document.get("remove", ())]
        if any(ref.table in PLATFORM_TABLES for ref, _ in writes):
            return _json_response(403, {})
        expected = [
            (_ref(row), row["row_version"]) for row in document.get("expected_rev", ())
        ]
        differing = self.rows.transact(expected, writes)
        self._notify_pollers()
        if self.switches.lose_replies:
            remaining = self.switches.lose_replies - 1
            self.switches = evolve(self.switches, lose_replies=remaining)
            drop_connection()
        status = 412 if differing else 200
        return self._rows_response(differing, status, self.rows.version)

    def _read(self) -> HTTPResponse:
        refusal = self._apply_faults()
        if refusal is not None:
            return refusal
        query = request.query
        rows = self.rows.read(query["table"], query.get("part", ""), query["from"])
        response_rows, has_more = rows[:ROWS_MAX], len(rows) > ROWS_MAX
        return self._rows_response(response_rows, 200, self.rows.version, has_more)

    def _poll_changes(self) -> HTTPResponse:
        refusal = self._apply_faults()
        if refusal is not None:
            return refusal
        table, after = request.query["table"], int(request.query["after"])
        deadline_ms = self.clock.now_ms() + int(request.query.get("wait_ms", 0))
        losses = self._losses
        while True:
            if self._losses != losses:
                self._lose_request()
            rows = self.rows.changes(table, after)
            left_ms = deadline_ms - self.clock.now_ms()
            if rows is None or rows or left_ms <= 0:
                return self._apply_faults() or self._changes_response(table, after)
            self._changed.wait(left_ms / MS_PER_S)

    def _changes_response(self, table: str, after_version: int) -> HTTPResponse:
        """Respond with the changes up to now, and the version up to which they go."""
        rows = self.rows.changes(table, after_version)
        if rows is None:
            return _json_response(410, {})
        is_cut = len(rows) > ROWS_MAX
        version = rows[ROWS_MAX - 1].version if is_cut else self.rows.version
        return self._rows_response(rows[:ROWS_MAX], 200, version, is_cut)

    def _write_as_platform(self) -> HTTPResponse:
        """Write rows as the platform; a row with ``ttl_ms`` expires if not renewed."""
        now_ms = self.clock.now_ms()
        changed = []
        for row in request.json:
            ref = _ref(row)
            if "ttl_ms" in row:
                self._expire_at_ms[ref] = now_ms + row["ttl_ms"]
            current = self.rows.rows.get(ref)
            if current is None or current.value != row["value"]:
                changed.append((ref, row["value"]))
        self.write(changed)
        return _json_response(200, {"row_version": self.rows.version})

    def expire_rows(self) -> None:
        """Remove rows that were not renewed within their ``ttl_ms``; never returns."""
        while True:
            gevent.sleep(EXPIRY_TICK_MS / MS_PER_S)
            now_ms = self.clock.now_ms()
            expired = [
                ref for ref, at_ms in self._expire_at_ms.items() if at_ms < now_ms
            ]
            for ref in expired:
                del self._expire_at_ms[ref]
            self.write([(ref, None) for ref in expired])

    def write(self, writes: list[tuple[RowRef, str | None]]) -> None:
        """Write or remove rows as the platform, and wake the waiting polls."""
        if writes:
            self.rows.transact((), writes)
            self._notify_pollers()

    def _set_switches(self) -> HTTPResponse:
        self.set_switches(**request.json)
        return _json_response(200, asdict(self.switches))

    def set_switches(self, **switches: object) -> None:
        """Change some of the switches."""
        self.switches = evolve(self.switches, **switches)
        if self.switches.lose_requests:
            self._losses += 1
            self._notify_pollers()

    def _drop_history(self) -> HTTPResponse:
        self.rows.drop_history()
        return _json_response(200, {})

    def _apply_faults(self) -> HTTPResponse | None:
        """Delay or lose the request; return a 503 response if the store is down."""
        if self.switches.lose_requests:
            self._lose_request()
        while self.switches.silent:
            gevent.sleep(self.switches.latency_ms / MS_PER_S)
        gevent.sleep(self.switches.latency_ms / MS_PER_S)
        return _json_response(503, {}) if self.switches.down else None

    def _lose_request(self) -> None:
        self.requests_lost += 1
        hold_until_closed()

    def _notify_pollers(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _rows_response(
        self, rows: list[StoredRow], status: int, version: int, has_more: bool = False
    ) -> HTTPResponse:
        document = {
            "rows": [_wire_row(row) for row in rows],
            "row_version": version,
            "now_ms": int(self.clock.now_ms()),
            "has_more": has_more,
        }
        return _json_response(status, document)


def _ref(row: dict) -> RowRef:
    return RowRef(row["table"], row.get("part", ""), row["key"])


def _wire_row(row: StoredRow) -> dict:
    wire = asdict(row.ref) | {"row_version": row.version}
    if row.value is None:
        return wire | {"deleted": True}
    return wire | {"value": row.value}


def _json_response(status: int, document: dict) -> HTTPResponse:
    return HTTPResponse(
        json.dumps(document), status, headers={"Content-Type": "application/json"}
    )


def run(address: str) -> None:
    """Run the store until it is terminated.

    Args:
        address: the host:port to serve on.
    """
    store = Store()
    with serving_at(address, store.application()):
        store.expire_rows()


if __name__ == "__main__":
    Fire(run)
