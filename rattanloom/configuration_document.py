"""Configuration documents: what one published version says, and by whom.

The text of a document is canonical JSON that carries its own digest, so that
a copy fetched from a peer can be checked without the platform. The document
has two parts: ``folder``, the merged files of the operators' folder, and
``overrides``, the changes that operators made by single commands (drains).
``overrides`` go on top, and publishing a folder leaves them as they are.
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
    """Who published which version.

    ``folder_version`` is the version that last changed the folder part;
    ``publish_id`` is unique to one publication.
    """

    version: int
    folder_version: int
    publish_id: str
    operator: str
    message: str
    published_wall_ms: float


@frozen
class Document:
    """One configuration: its record, its two parts, and the checked rules."""

    record: VersionRecord
    folder: dict = field(repr=False)
    overrides: dict = field(repr=False)
    rules: Rules = field(repr=False)
    digest: str
    text: str = field(repr=False)

    @property
    def version(self) -> int:
        """Return the version that this document is."""
        return self.record.version


@frozen
class Head:
    """The value of the table's head and version rows."""

    record: VersionRecord
    digest: str


def make_document(record: VersionRecord, folder: dict, overrides: dict) -> Document:
    """Return the document of these parts; raise ``SettingsError`` if refused."""
    rules = check_sections(merge_sections(folder, overrides))
    content = {"record": asdict(record), "folder": folder, "overrides": overrides}
    digest = _digest(content)
    text = _canonical(content | {"digest": digest})
    return Document(record, folder, overrides, rules, digest, text)


def parse_document(text: str) -> Document | Failure:
    """Return the checked document in ``text``, or say why it can't be used."""
    try:
        content = json.loads(text)
        digest = content.pop("digest")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        return _unusable(f"not a configuration document: {error!r}")
    if digest != _digest(content):
        return _unusable("its digest does not match its content")
    try:
        record = structure_document("record", content["record"], VersionRecord)
        return make_document(record, content["folder"], content["overrides"])
    except (SettingsError, KeyError) as error:
        return _unusable(f"it fails the checks here: {error}")


def encode_head(head: Head) -> str:
    """Return the text of a head or version row."""
    return _canonical(asdict(head))


def parse_head(text: str) -> Head | Failure:
    """Return the head in a row's value."""
    try:
        return structure_document("head row", json.loads(text), Head)
    except (ValueError, SettingsError) as error:
        return _unusable(str(error))


def object_name(digest: str) -> str:
    """Return the object's name for a document's digest."""
    return f"{OBJECT_PREFIX}{digest}"


def version_key(version: int) -> str:
    """Return the key of the row that records one version."""
    return f"{VERSION_KEY_PREFIX}{version:0{VERSION_DIGITS}d}"


def _unusable(reason: str) -> Failure:
    return Failure(ErrorKind.INTERNAL, reason)


def _canonical(content: dict) -> str:
    return json.dumps(content, sort_keys=True, separators=(",", ":"))


def _digest(content: dict) -> str:
    text = _canonical(content)
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
