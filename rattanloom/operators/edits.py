"""The edits that operators publish: a folder, a drain, the end of a drain."""

from datetime import UTC, datetime

from attrs import evolve

from rattanloom.clock import MS_PER_S
from rattanloom.configuration_document import VersionRecord
from rattanloom.configuration_publish import DocumentParts, Edit, HeadState, Publisher
from rattanloom.errors import ErrorKind, Failure

NAMED_VERSIONS_MAX = 10


def folder_edit(sections: dict, base_version: int, publisher: Publisher) -> Edit:
    """Return the edit that replaces the folder part.

    It is a conflict if the folder part changed after ``base_version``, unless
    it changed to the very same content.
    """

    def edit(head: HeadState) -> DocumentParts | Failure:
        if head.parts.folder == sections:
            return head.parts
        if head.folder_version > base_version:
            return _conflict(head, base_version, publisher)
        if base_version > head.version:
            reason = f"base {base_version} is newer than the head {head.version}"
            return Failure(ErrorKind.CONFLICT, reason)
        return evolve(head.parts, folder=sections)

    return edit


def drain_edit(target: str) -> Edit:
    """Return the edit that drains one target, whatever the folder says."""

    def edit(head: HeadState) -> DocumentParts:
        return _with_override(head.parts, target, {"drain": True})

    return edit


def undrain_edit(target: str) -> Edit:
    """Return the edit that ends the drain of one target.

    The override is taken away, or set to false where the folder drains it.
    """

    def edit(head: HeadState) -> DocumentParts:
        in_folder = head.parts.folder.get("targets", {}).get(target, {})
        override = {"drain": False} if in_folder.get("drain") else {}
        return _with_override(head.parts, target, override)

    return edit


def _with_override(parts: DocumentParts, target: str, override: dict) -> DocumentParts:
    targets = dict(parts.overrides.get("targets", {}))
    targets.pop(target, None)
    if override:
        targets[target] = override
    return evolve(parts, overrides={"targets": targets} if targets else {})


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
