"""Edits that operators publish: replace the folder, drain and undrain a target.

A configuration document has two parts: the content of the operators' folder, and
overrides of it. An ``Edit`` returns new parts for the latest published document,
the head, or a failure.
"""

from datetime import UTC, datetime

from attrs import evolve

from rattanloom.clock import MS_PER_S
from rattanloom.configuration_document import VersionRecord
from rattanloom.configuration_publish import DocumentParts, Edit, HeadState, Publisher
from rattanloom.errors import ErrorKind, Failure

# A conflict lists the changes by others among at most this many versions.
CONFLICT_VERSIONS_MAX = 10


def folder_edit(sections: dict, base_version: int, publisher: Publisher) -> Edit:
    """Return the edit that replaces the folder part by ``sections``.

    The edit returns CONFLICT if the folder part changed after ``base_version``,
    unless its content already equals ``sections``.
    """

    def edit(head: HeadState) -> DocumentParts | Failure:
        if head.parts.folder == sections:
            return head.parts
        if head.folder_version > base_version:
            return _conflict(head, base_version, publisher)
        if base_version > head.version:
            reason = (
                f"base {base_version} is newer than the latest version {head.version}"
            )
            return Failure(ErrorKind.CONFLICT, reason)
        return evolve(head.parts, folder=sections)

    return edit


def drain_edit(target: str) -> Edit:
    """Return the edit that drains a target by an override."""

    def edit(head: HeadState) -> DocumentParts:
        return _with_override(head.parts, target, {"drain": True})

    return edit


def undrain_edit(target: str) -> Edit:
    """Return the edit that ends the drain of a target.

    The edit removes the target's override, or replaces it by ``drain: false`` if the
    folder drains the target.
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
    """Return a one-line description of a published version."""
    at = datetime.fromtimestamp(record.published_wall_ms / MS_PER_S, UTC)
    return (
        f"version {record.version} by {record.operator} at {at:%Y-%m-%dT%H:%M:%SZ}: "
        f"{record.message}"
    )


def _conflict(head: HeadState, base_version: int, publisher: Publisher) -> Failure:
    count = min(head.version - base_version, CONFLICT_VERSIONS_MAX)
    records = publisher.read_versions(head.version, count)
    if isinstance(records, Failure):
        records = [head.document.record]
    changed = [record for record in records if record.folder_version == record.version]
    summary = "; ".join(describe_record(record) for record in changed)
    return Failure(
        ErrorKind.CONFLICT,
        f"others changed the folder after its base version {base_version}: {summary}; "
        "see the command diff, merge their changes into the folder and publish again "
        f"with --base {head.version}",
    )
