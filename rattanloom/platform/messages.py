"""JSON bodies of requests to the platform's table and host list, and responses."""

import json
from typing import TypeVar

from attrs import frozen
from cattrs.errors import BaseValidationError

from rattanloom.platform.protocol import Change, ListedTarget, Row
from rattanloom.settings import CONVERTER

T = TypeVar("T")


class MessageError(ValueError):
    """A body that is not valid JSON or not of the expected message class."""


@frozen
class ReadRequest:
    """Requests the rows under ``keys``, from one snapshot."""

    keys: tuple[str, ...]


@frozen
class ScanRequest:
    """Requests up to ``limit`` rows whose key starts with ``prefix``."""

    prefix: str
    limit: int


@frozen
class TransactRequest:
    """Requests to apply all of ``changes`` or none."""

    changes: tuple[Change, ...]


@frozen
class RowsResponse:
    """The rows that were read or written, or that conflicted with a transaction."""

    rows: tuple[Row, ...]


@frozen
class HostsResponse:
    """The workers on the host list."""

    targets: tuple[ListedTarget, ...]


def encode_message(message: object) -> bytes:
    """Return a message as JSON bytes."""
    return json.dumps(CONVERTER.unstructure(message)).encode()


def decode_message(body: bytes, model: type[T]) -> T:
    """Decode ``body`` as ``model``; raise ``MessageError`` if it does not match."""
    try:
        return CONVERTER.structure(json.loads(body), model)
    except (ValueError, BaseValidationError) as error:
        raise MessageError(f"not a valid {model.__name__}: {error}") from error
