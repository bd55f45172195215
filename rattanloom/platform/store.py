"""Client of the platform's metadata store, which holds tables of versioned rows."""

from base64 import b64decode, b64encode
from collections.abc import Callable, Sequence
from http import HTTPStatus
from urllib.parse import urlencode

from attrs import define, field
from msgspec import Struct

from rattanloom.errors import ErrorKind, Failure
from rattanloom.platform.http import HttpClient, Response
from rattanloom.platform.json_format import FormatError, encode, parse
from rattanloom.platform.rows import (
    POLL_RESPONSE_TIMEOUT_MS,
    ChangedRows,
    Committed,
    Condition,
    Conflicted,
    Row,
    RowRef,
    TableSnapshot,
)

# The daemon follows three tables, each over one connection; two more connections
# serve reads and writes.
CONNECTIONS_MAX = 5
CONNECT_TIMEOUT_MS = 300
# A call normally takes 4 ms, and ten times as long while the store is slow.
CALL_TIMEOUT_MS = 1_000


class WireRow(Struct, frozen=True, rename={"version": "row_version"}):
    """A row in a response; ``value`` is base64."""

    table: str
    key: str
    version: int
    part: str = ""
    value: str = ""
    deleted: bool = False

    def decode(self) -> Row:
        """Return the row; its value is None if it is not valid base64."""
        ref = RowRef(self.table, self.part, self.key)
        if self.deleted:
            return Row(ref, self.version, None, deleted=True)
        try:
            return Row(ref, self.version, b64decode(self.value, validate=True))
        except ValueError:
            return Row(ref, self.version, None)


class RowsBody(Struct, frozen=True, rename={"version": "row_version"}):
    """The body of every response with rows; ``version`` is that of the store.

    ``has_more`` is set if a read of a table did not return all rows.
    """

    version: int = 0
    rows: tuple[WireRow, ...] = ()
    has_more: bool = False


@define(eq=False, repr=False)
class StoreClient:
    """Sends requests to the store at ``address``; failures as in ``HttpClient``.

    ``count`` is called for each call, with the name of a counter and a label: the
    response status or the kind of the failure. Connections are bound to
    ``source_ip`` if given.
    """

    address: str
    count: Callable[[str, str], None]
    source_ip: str = ""
    _http: HttpClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._http = self._connect()

    def set_address(self, address: str) -> None:
        """Send further requests to ``address``, over new connections."""
        if address != self.address:
            self.address = address
            self._http = self._connect()

    def read(self, table: str) -> TableSnapshot | Failure:
        """Return all rows of ``table`` whose part is ``""``, in several requests.

        The version is that of the first response, since rows that it returned may have
        changed before the others.
        """
        rows: list[Row] = []
        first_key = ""
        version = None
        while True:
            query = urlencode({"table": table, "part": "", "from": first_key})
            body = self._fetch(f"/rows-get?{query}", CALL_TIMEOUT_MS)
            if isinstance(body, Failure):
                return body
            rows += [row.decode() for row in body.rows]
            version = body.version if version is None else version
            if not body.has_more or not body.rows:
                return TableSnapshot(tuple(rows), version)
            # The next key after the last one, in the order of the store.
            first_key = body.rows[-1].key + "\0"

    def poll_changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> ChangedRows | Failure:
        """Return the rows that changed after ``after_version``.

        If there are none, the store waits up to ``wait_ms`` for one. A HISTORY_GONE
        failure means that the table has to be read again.
        """
        query = urlencode({"table": table, "after": after_version, "wait_ms": wait_ms})
        body = self._fetch(f"/rows-feed?{query}", wait_ms + POLL_RESPONSE_TIMEOUT_MS)
        if isinstance(body, Failure):
            return body
        return ChangedRows(tuple(row.decode() for row in body.rows), body.version)

    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[tuple[RowRef, bytes]],
        removals: Sequence[RowRef] = (),
    ) -> Committed | Conflicted | Failure:
        """Apply all writes and removals, or none if a condition fails."""
        body = encode(
            {
                "expected_rev": [
                    _encode_ref(condition.ref) | {"row_version": condition.version}
                    for condition in conditions
                ],
                "writes": [
                    _encode_ref(ref) | {"value": b64encode(value).decode()}
                    for ref, value in writes
                ],
                "remove": [_encode_ref(ref) for ref in removals],
            }
        )
        response = self._call("POST", "/rows-tx", body, CALL_TIMEOUT_MS)
        if isinstance(response, Failure):
            return response
        if response.status not in (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED):
            return _unexpected_status(response.status)
        parsed = _parse(response)
        if isinstance(parsed, Failure):
            return parsed
        if response.status == HTTPStatus.OK:
            return Committed(parsed.version)
        return Conflicted(tuple(row.decode() for row in parsed.rows))

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def _connect(self) -> HttpClient:
        return HttpClient(
            self.address, CONNECTIONS_MAX, CONNECT_TIMEOUT_MS, self.source_ip
        )

    def _call(
        self, method: str, path: str, body: bytes | None, timeout_ms: float
    ) -> Response | Failure:
        response = self._http.call(method, path, body, timeout_ms)
        failed = isinstance(response, Failure)
        self.count(
            "store_calls", response.kind.value if failed else str(response.status)
        )
        return response

    def _fetch(self, path: str, timeout_ms: float) -> RowsBody | Failure:
        response = self._call("GET", path, None, timeout_ms)
        if isinstance(response, Failure):
            return response
        if response.status == HTTPStatus.GONE:
            return Failure(
                ErrorKind.HISTORY_GONE,
                "the store no longer has the changes after this version",
            )
        if response.status != HTTPStatus.OK:
            return _unexpected_status(response.status)
        return _parse(response)


def _encode_ref(ref: RowRef) -> dict[str, object]:
    return {"table": ref.table, "part": ref.part, "key": ref.key}


def _unexpected_status(status: int) -> Failure:
    return Failure(
        ErrorKind.PLATFORM_UNREACHABLE, f"the store returned status {status}"
    )


def _parse(response: Response) -> RowsBody | Failure:
    try:
        return parse(response.body, RowsBody)
    except FormatError as error:
        return Failure(
            ErrorKind.REPLY_LOST, f"invalid response from the store: {error}"
        )
