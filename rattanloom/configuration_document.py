"""Configuration documents: the content and author of one published version.

A document is stored as canonical JSON that includes its own digest, so that a
copy fetched from a peer can be verified without the platform. It has two parts:
``folder``, the merged files of the operators' folder, and ``overrides``, changes
made by the operator commands ``drain`` and ``undrain``. ``overrides`` are merged
on top of ``folder``; publishing a folder does not change them.
"""

import json
from hashlib import blake2b

from attrs import asdict, field, frozen

from rattanloom.configuration_folder import check_sections, merge_sections
from rattanloom.errors import ErrorKind, Failure
from rattanloom.rules import Rules
from rattanloom.settings import SettingsError, structure_document

HEAD_KEY = "config/head"
VERSION_KEY_PREFIX = "config/version/"
OBJECT_PREFIX = "config/"
VERSION_DIGITS = 10
DIGEST_BYTES = 20


@frozen
class VersionRecord:
    """Metadata of a published version.

    ``folder_version`` is the last version that changed the document's ``folder``.
    After a lost reply, ``publish_id`` shows whether the publication was committed.
    """

    version: int
    folder_version: int
    publish_id: str
    operator: str
    message: str
    published_wall_ms: float


@frozen
class Document:
    """One version: its metadata, its two parts and the rules made from them."""

    record: VersionRecord
    folder: dict = field(repr=False)
    overrides: dict = field(repr=False)
    rules: Rules = field(repr=False)
    digest: str
    text: str = field(repr=False)

    @property
    def version(self) -> int:
        """Return the version number."""
        return self.record.version


@frozen
class Head:
    """Metadata and digest of a version, as its row holds them.

    The head row (``HEAD_KEY``) holds those of the newest version.
    """

    record: VersionRecord
    digest: str


def make_document(record: VersionRecord, folder: dict, overrides: dict) -> Document:
    """Build a document; raise ``SettingsError`` if its parts are invalid."""
    rules = check_sections(merge_sections(folder, overrides))
    content = {"record": asdict(record), "folder": folder, "overrides": overrides}
    digest = _digest(content)
    text = _canonical(content | {"digest": digest})
    return Document(record, folder, overrides, rules, digest, text)


def parse_document(text: str) -> Document | Failure:
    """Parse a document and check its digest and rules."""
    try:
        content = json.loads(text)
        digest = content.pop("digest")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        return _unusable(f"not a configuration document: {error!r}")
    if digest != _digest(content):
        return _unusable("digest does not match the content")
    try:
        record = structure_document("record", content["record"], VersionRecord)
        return make_document(record, content["folder"], content["overrides"])
    except (SettingsError, KeyError) as error:
        return _unusable(f"document is invalid: {error}")


def encode_head(head: Head) -> str:
    """Return the value of a head or version row."""
    return _canonical(asdict(head))


def parse_head(text: str) -> Head | Failure:
    """Parse the value of a head or version row."""
    try:
        return structure_document("head row", json.loads(text), Head)
    except (ValueError, SettingsError) as error:
        return _unusable(str(error))


def object_name(digest: str) -> str:
    """Return the name in the object store of the document with this digest."""
    return f"{OBJECT_PREFIX}{digest}"


def version_key(version: int) -> str:
    """Return the key of a version's row; keys sort by version."""
    return f"{VERSION_KEY_PREFIX}{version:0{VERSION_DIGITS}d}"


def _unusable(reason: str) -> Failure:
    return Failure(ErrorKind.INTERNAL, reason)


def _canonical(content: dict) -> str:
    return json.dumps(content, sort_keys=True, separators=(",", ":"))


def _digest(content: dict) -> str:
    text = _canonical(content)
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
