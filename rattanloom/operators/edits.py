"""The edits that operators publish: a folder, a drain, the end of a drain."""

from datetime import UTC, datetime

from attrs import evolve

from rattanloom.clock import MS_PER_S
from rattanloom.configuration_document import VersionRecord
from rattanloom.configuration_folder import merge_sections
from rattanloom.configuration_publish import Edit, HeadState, Parts, Publisher
from rattanloom.errors import ErrorKind, Failure

NAMED_VERSIONS_MAX = 10


def folder_edit(sections: dict, base_version: int, publisher: Publisher) -> Edit:
    """Return the edit that replaces the folder part.

    It is a conflict if the folder part changed after ``base_version``.
    """

    def edit(head: HeadState) -> Parts | Failure:
        if head.folder_version > base_version:
            return _conflict(head, base_version, publisher)
        if base_version > head.version:
            reason = f"base {base_version} is newer than the head {head.version}"
            return Failure(ErrorKind.CONFLICT, reason)
        return evolve(head.parts, folder=sections)

    return edit


def drain_edit(target: str, drain: bool) -> Edit:
    """Return the edit that sets or ends the drain of one target."""
    override = {"targets": {target: {"drain": drain}}}

    def edit(head: HeadState) -> Parts | Failure:
        parts = head.parts
        return evolve(parts, overrides=merge_sections(parts.overrides, override))

    return edit


def describe_record(record: VersionRecord) -> str:
    """Return one line about a published version."""
    at = datetime.fromtimestamp(record.published_wall_ms / MS_PER_S, UTC)
    return (
        f"version {record.version} by {record.operator} at {at:%Y-%m-%dT%H:%M:%SZ}: "
        f"{record.message}"
    )


def _conflict(head: HeadState, base_version: int, publisher: Publisher) -> Failure:
    count = min(head.version - base_version, NAMED_VERSIONS_MAX)
    records = publisher.read_versions(head.version, count)
    if isinstance(records, Failure):
        records = [head.document.record]
    changed = [record for record in records if record.folder_version == record.version]
    lines = "; ".join(describe_record(record) for record in changed)
    return Failure(
        ErrorKind.CONFLICT,
        f"the folder is based on version {base_version}, but others changed it since: "
        f"{lines}. Look at diff, take their changes into the folder, and publish "
        f"again with --base {head.version}",
    )
