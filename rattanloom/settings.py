"""Settings files: JSON, checked whole before anything starts.

A refused file raises ``SettingsError`` naming the file, the field and the
reason; nothing of a refused file is applied.
"""

import json
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar, get_args, get_origin

from attrs import Attribute, field, fields, frozen
from attrs.validators import (
    and_,
    deep_iterable,
    ge,
    instance_of,
    le,
    matches_re,
    max_len,
)
from cattrs import Converter, transform_error
from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError
from cattrs.strategies import configure_union_passthrough
from cattrs.v import format_exception

T = TypeVar("T")

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
EXCERPT_MAX_CHARS = 60
ACCEPTED_KEYS_MAX = 4
ADDRESS_PATTERN = r"[0-9A-Za-z.:\[\]_-]+:\d{1,5}"


class SettingsError(Exception):
    """A settings file that cannot be used: file, field and reason."""


def make_converter() -> Converter:
    """Return a converter that refuses unknown fields and wrong types."""
    converter = Converter(forbid_extra_keys=True)
    forbid_type_coercion(converter)
    return converter


def forbid_type_coercion(converter: Converter) -> None:
    """Make a converter refuse values of another type instead of casting them."""
    configure_union_passthrough(str | int | float | bool | None, converter)
    for kind in (int, float, str, bool):
        converter.register_structure_hook(kind, _strict_hook(kind))
    converter.register_structure_hook_factory(_is_homogeneous_tuple, _list_hook)


def _is_homogeneous_tuple(model: type) -> bool:
    return get_origin(model) is tuple and get_args(model)[-1:] == (Ellipsis,)


def _list_hook(model: type, converter: Converter) -> Callable:
    structure_items = homogenous_tuple_structure_factory(model, converter)

    def structure(value: object, _: type) -> object:
        if not isinstance(value, list | tuple):
            raise ValueError(f"expected a list, found {json.dumps(value)}")
        return structure_items(value, model)

    return structure


def _strict_hook(kind: type) -> Callable[[object, type], object]:
    def structure(value: object, _: type) -> object:
        wrong_bool = isinstance(value, bool) and kind is not bool
        accepted = (int, float) if kind is float else kind
        if wrong_bool or not isinstance(value, accepted):
            raise ValueError(f"expected {kind.__name__}, found {_excerpt(value)}")
        if isinstance(value, str):
            _check_text(value)
        return kind(value)

    return structure


def _excerpt(value: object) -> str:
    text = json.dumps(value)
    return text if len(text) <= EXCERPT_MAX_CHARS else f"{text[:EXCERPT_MAX_CHARS]}..."


def _check_text(value: str) -> None:
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise ValueError("text is not valid Unicode") from error


CONVERTER = make_converter()


def load_settings(path: str | Path, model: type[T]) -> T:
    """Read a JSON file into the attrs class ``model``."""
    try:
        document = json.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not valid JSON: {error}") from error
    return structure_document(str(path), document, model)


def structure_document(name: str, document: object, model: type[T]) -> T:
    """Turn a parsed JSON document into ``model``, or say which field is wrong."""
    if not isinstance(document, dict):
        raise SettingsError(f"{name}: the top level must be an object")
    try:
        return CONVERTER.structure(document, model)
    except ClassValidationError as error:
        raise SettingsError(_error_text(name, error)) from error


def _error_text(name: str, error: ClassValidationError) -> str:
    messages = transform_error(error, format_exception=_reason)
    return "; ".join(f"{name}: {message.replace('$.', '')}" for message in messages)


def _reason(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return "required field missing"
    if isinstance(error, ForbiddenExtraKeysError):
        return f"unknown fields {', '.join(sorted(error.extra_fields))}"
    if isinstance(error, ValueError) and error.args:
        return str(error.args[0])
    return format_exception(error, kind)


def in_range(low: float, high: float) -> Callable[[object, Attribute, object], None]:
    """Return a validator for a closed range."""
    return and_(ge(low), le(high))


is_key = matches_re(r"[ -~]{16,64}")
is_name = and_(instance_of(str), matches_re(NAME_PATTERN))
is_address = and_(instance_of(str), matches_re(ADDRESS_PATTERN))


def field_names(model: type) -> tuple[str, ...]:
    """Return the names of the fields of an attrs class."""
    return tuple(attribute.name for attribute in fields(model))


@frozen
class Seed:
    """An entry host to contact first."""

    host: str
    zone: str
    address: str


@frozen
class EntrySettings:
    """Settings of one entry host.

    ``http_address`` serves callers and operators, ``peer_address`` (TCP and
    UDP) the other entry hosts. ``ticket_key`` is shared by all entry hosts
    of a deployment and signs; ``accepted_keys`` are accepted beside it while
    it is being replaced. ``epoch_ms`` bounds how long tickets and answers live.
    A stopping host reports unhealthy for ``leave_grace_ms`` before it refuses
    new work, so that the balancer takes it out first. ``test_aids`` opens the
    switches that failure tests use; never set it in service.
    """

    host: str = field(validator=is_name)
    zone: str = field(validator=is_name)
    http_address: str = field(validator=is_address)
    peer_address: str = field(validator=is_address)
    platform_address: str = field(validator=is_address)
    ticket_key: str = field(validator=is_key)
    seeds: tuple[Seed, ...] = ()
    accepted_keys: tuple[str, ...] = field(
        default=(), validator=deep_iterable(is_key, max_len(ACCEPTED_KEYS_MAX))
    )
    region: str = field(default="home", validator=is_name)
    epoch_ms: int = field(default=60_000, validator=in_range(100, 3_600_000))
    body_max_bytes: int = field(
        default=1_000_000, validator=in_range(1_000, 16_000_000)
    )
    stop_within_ms: int = field(default=10_000, validator=in_range(0, 600_000))
    leave_grace_ms: int = field(default=1_000, validator=in_range(0, 60_000))
    header_timeout_ms: int = field(default=5_000, validator=in_range(100, 60_000))
    connections_max: int = field(default=2_000, validator=in_range(1, 100_000))
    config_poll_ms: int = field(default=2_000, validator=in_range(50, 60_000))
    host_list_poll_ms: int = field(default=2_000, validator=in_range(50, 60_000))
    heartbeat_ms: int = field(default=250, validator=in_range(20, 10_000))
    test_aids: bool = False
    log_level: str = field(
        default="INFO", validator=matches_re("DEBUG|INFO|NOTICE|WARNING|ERROR")
    )
