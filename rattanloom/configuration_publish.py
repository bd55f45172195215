"""Publishes an operator's change as the next configuration version.

The document is written to the object store first. One table transaction then
updates the head row and inserts the version's row. The version is published
once that transaction has committed. After a lost reply the same transaction is
sent again: it can commit only once, and the version's row contains the id of the
publication that committed.
"""

from collections.abc import Callable, Iterable
from secrets import token_hex
from typing import TypeVar

import gevent
from attrs import define, frozen
from tenacity import (
    RetryCallState,
    Retrying,
    retry_if_result,
    wait_random_exponential,
)

from rattanloom.clock import MS_PER_S
from rattanloom.configuration_document import (
    HEAD_KEY,
    Document,
    Head,
    VersionRecord,
    encode_head,
    make_document,
    object_name,
    parse_document,
    parse_head,
    version_key,
)
from rattanloom.environment import Environment
from rattanloom.errors import ErrorKind, Failure
from rattanloom.platform.protocol import (
    ABSENT,
    Change,
    Committed,
    Conflicted,
    ObjectStore,
    Row,
    Table,
)

T = TypeVar("T")

PUBLISH_ID_BYTES = 8
# Time after which a failing call to the platform is not retried.
RETRY_TIMEOUT_MS = 6_000
RETRY_BASE_MS = 50
RETRY_MAX_MS = 1_000
TRANSIENT_KINDS = frozenset({ErrorKind.PLATFORM_UNREACHABLE, ErrorKind.REPLY_LOST})


@frozen
class DocumentParts:
    """The two parts of a document, as returned by an edit."""

    folder: dict
    overrides: dict


@frozen
class HeadState:
    """The newest version as read from the platform.

    ``row_version`` is the table's version of the head row; ``document`` is None if
    nothing is published.
    """

    row_version: int
    document: Document | None

    @property
    def version(self) -> int:
        """Return the configuration version, or 0 if none is published."""
        return 0 if self.document is None else self.document.version

    @property
    def folder_version(self) -> int:
        """Return the last version that changed the folder part, or 0."""
        return 0 if self.document is None else self.document.record.folder_version

    @property
    def parts(self) -> DocumentParts:
        """Return the document's parts, empty if none is published."""
        if self.document is None:
            return DocumentParts({}, {})
        return DocumentParts(self.document.folder, self.document.overrides)


@frozen
class Published:
    """The platform has committed the change; the entry hosts will activate it."""

    record: VersionRecord


@frozen
class Unchanged:
    """The head already equals the result of the edit; nothing was published."""

    version: int


class VersionTaken:
    """Another publication has committed a version of the same number."""


# Returns the new parts made from the newest version, or why they conflict with it.
Edit = Callable[[HeadState], DocumentParts | Failure]


@define(eq=False)
class Publisher:
    """Publishes one operator's changes.

    ``fetch_copies`` returns the texts of the documents that entry hosts hold, used if
    a document is missing or corrupt in the object store.
    """

    operator: str
    environment: Environment
    table: Table
    objects: ObjectStore
    retry_timeout_ms: float = RETRY_TIMEOUT_MS
    retry_base_ms: float = RETRY_BASE_MS
    fetch_copies: Callable[[], Iterable[str]] = tuple

    def publish(self, edit: Edit, message: str) -> Published | Unchanged | Failure:
        """Apply ``edit`` to the head and publish the result.

        If another publication commits first, ``edit`` is called again with the
        new head and may report a conflict. Raises ``SettingsError`` if the result
        is invalid. Failures: CONFLICT, PLATFORM_UNREACHABLE and INTERNAL (not
        published), REPLY_LOST (may have been published).
        """
        while True:
            head = self.read_head()
            if isinstance(head, Failure):
                return head
            parts = edit(head)
            if isinstance(parts, Failure):
                return parts
            if head.document is not None and parts == head.parts:
                return Unchanged(head.version)
            document = self._next_document(head, parts, message)
            outcome = self._commit(head, document)
            if not isinstance(outcome, VersionTaken):
                return outcome

    def read_head(self) -> HeadState | Failure:
        """Read the head row and its document."""
        rows = self._retry(lambda: self.table.read([HEAD_KEY]))
        if isinstance(rows, Failure):
            return rows
        if not rows:
            return HeadState(ABSENT, None)
        head = parse_head(rows[0].value)
        if isinstance(head, Failure):
            return head
        document = self.fetch_document(head)
        if isinstance(document, Failure):
            return document
        return HeadState(rows[0].version, document)

    def fetch_document(self, head: Head) -> Document | Failure:
        """Fetch the document of a head or version row.

        If it is missing or corrupt in the object store, an entry host's copy with
        the same digest is returned instead.
        """
        document = self._read_object(head)
        if isinstance(document, Document) or _is_transient(document):
            return document
        for text in self.fetch_copies():
            copy = parse_document(text)
            if isinstance(copy, Document) and copy.digest == head.digest:
                return copy
        reason = f"{document.reason}; no entry host returned a copy either"
        return Failure(ErrorKind.INTERNAL, reason)

    def _read_object(self, head: Head) -> Document | Failure:
        name = object_name(head.digest)
        content = self._retry(lambda: self.objects.get(name))
        if isinstance(content, Failure):
            return content
        document = parse_document(content.decode(errors="replace"))
        if isinstance(document, Failure):
            return Failure(document.kind, f"object {name}: {document.reason}")
        if document.digest != head.digest:
            return Failure(
                ErrorKind.INTERNAL, f"object {name} contains another document"
            )
        return document

    def read_versions(self, newest: int, count: int) -> list[VersionRecord] | Failure:
        """Return the metadata of up to ``count`` versions, ``newest`` first."""
        oldest = max(1, newest - count + 1)
        keys = [version_key(version) for version in range(newest, oldest - 1, -1)]
        rows = self._retry(lambda: self.table.read(keys))
        if isinstance(rows, Failure):
            return rows
        heads = [parse_head(row.value) for row in rows]
        return [head.record for head in heads if isinstance(head, Head)]

    def _next_document(
        self, head: HeadState, parts: DocumentParts, message: str
    ) -> Document:
        version = head.version + 1
        folder_changed = head.document is None or parts.folder != head.parts.folder
        record = VersionRecord(
            version,
            version if folder_changed else head.folder_version,
            token_hex(PUBLISH_ID_BYTES),
            self.operator,
            message,
            self.environment.clock.wall_ms(),
        )
        return make_document(record, parts.folder, parts.overrides)

    def _commit(
        self, head: HeadState, document: Document
    ) -> Published | VersionTaken | Failure:
        name, content = object_name(document.digest), document.text.encode()
        stored = self._retry(lambda: self.objects.put(name, content))
        if isinstance(stored, Failure):
            return Failure(ErrorKind.PLATFORM_UNREACHABLE, stored.reason)
        return self._retry(Commit(self.table, head, document).send)

    def _retry(self, call: Callable[[], T]) -> T:
        """Repeat a call that fails transiently, for up to ``retry_timeout_ms``."""
        clock = self.environment.clock
        give_up_at_ms = clock.now_ms() + self.retry_timeout_ms
        retrying = Retrying(
            stop=lambda _: clock.now_ms() >= give_up_at_ms,
            wait=wait_random_exponential(
                self.retry_base_ms / MS_PER_S, RETRY_MAX_MS / MS_PER_S
            ),
            retry=retry_if_result(_is_transient),
            retry_error_callback=_last_result,
            sleep=gevent.sleep,
        )
        return retrying(call)


@define(eq=False)
class Commit:
    """The transaction of one publication: sent several times, committed at most once.

    ``may_have_committed`` is True once a failed try may have taken effect.
    """

    table: Table
    head: HeadState
    document: Document
    may_have_committed: bool = False

    def send(self) -> Published | VersionTaken | Failure:
        """Send the transaction; on a conflict, check if an earlier try committed."""
        outcome = self.table.transact(self._changes())
        if isinstance(outcome, Committed):
            return Published(self.document.record)
        if isinstance(outcome, Conflicted):
            return (
                self._check_committed() if self.may_have_committed else VersionTaken()
            )
        self.may_have_committed |= outcome.kind is not ErrorKind.PLATFORM_UNREACHABLE
        return self._qualify_failure(outcome)

    def _changes(self) -> tuple[Change, ...]:
        record = self.document.record
        value = encode_head(Head(record, self.document.digest))
        return (
            Change(HEAD_KEY, self.head.row_version, value),
            Change(version_key(record.version), ABSENT, value),
        )

    def _check_committed(self) -> Published | VersionTaken | Failure:
        record = self.document.record
        rows = self.table.read([version_key(record.version)])
        if isinstance(rows, Failure):
            return self._qualify_failure(rows)
        return Published(record) if self._has_own_row(rows) else VersionTaken()

    def _has_own_row(self, rows: tuple[Row, ...]) -> bool:
        heads = [parse_head(row.value) for row in rows]
        publish_id = self.document.record.publish_id
        return any(
            isinstance(head, Head) and head.record.publish_id == publish_id
            for head in heads
        )

    def _qualify_failure(self, failure: Failure) -> Failure:
        """Return REPLY_LOST instead of ``failure`` if a try may have committed."""
        if not self.may_have_committed:
            return failure
        record = self.document.record
        return Failure(
            ErrorKind.REPLY_LOST,
            f"version {record.version} may have been published ({failure.reason}); "
            f"look for publication {record.publish_id} with the command versions",
        )


def _is_transient(result: object) -> bool:
    return isinstance(result, Failure) and result.kind in TRANSIENT_KINDS


def _last_result(state: RetryCallState) -> object:
    return state.outcome.result()
