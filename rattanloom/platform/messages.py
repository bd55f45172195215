"""The JSON bodies that go between the platform's services and their clients."""

import json
from typing import TypeVar

from attrs import frozen
from cattrs.errors import BaseValidationError

from rattanloom.platform.protocol import Change, ListedTarget, Row
from rattanloom.settings import CONVERTER

T = TypeVar("T")


class MessageError(ValueError):
    """A body that is not the message expected."""


@frozen
class ReadRequest:
    """Asks for the rows under ``keys``, from one snapshot."""

    keys: tuple[str, ...]


@frozen
class ScanRequest:
    """Asks for up to ``limit`` rows whose key starts with ``prefix``."""

    prefix: str
    limit: int


@frozen
class TransactRequest:
    """Asks to apply all of ``changes`` or none."""

    changes: tuple[Change, ...]


@frozen
class RowsResponse:
    """Rows read, written, or found in conflict."""

    rows: tuple[Row, ...]


@frozen
class HostsResponse:
    """The platform's list of workers."""

    targets: tuple[ListedTarget, ...]


def encode_message(message: object) -> bytes:
    """Return a message as JSON bytes."""
    return json.dumps(CONVERTER.unstructure(message)).encode()


def decode_message(body: bytes, model: type[T]) -> T:
    """Return the message in ``body``; raise ``MessageError`` if it is another."""
    try:
        return CONVERTER.structure(json.loads(body), model)
    except (ValueError, BaseValidationError) as error:
        raise MessageError(f"not a valid {model.__name__}: {error}") from error
