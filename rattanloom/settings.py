"""Settings files: JSON, validated completely before anything starts.

An invalid file raises ``SettingsError`` with the file, the field and the reason;
none of its settings are applied.
"""

import json
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar, get_args, get_origin

from attrs import field, fields, frozen
from attrs.validators import (
    and_,
    deep_iterable,
    instance_of,
    matches_re,
    max_len,
)
from cattrs import Converter, transform_error
from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError
from cattrs.strategies import configure_union_passthrough
from cattrs.v import format_exception

from rattanloom.serving.limits import ClientLimits
from rattanloom.validation import in_range

T = TypeVar("T")

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
EXCERPT_MAX_CHARS = 60  # of an invalid value in an error message
ACCEPTED_KEYS_MAX = 4
ADDRESS_PATTERN = r"[0-9A-Za-z.:\[\]_-]+:\d{1,5}"


class SettingsError(Exception):
    """Invalid settings or rules; the message names file, field and reason."""


def make_converter() -> Converter:
    """Return a converter that rejects unknown fields and wrong types."""
    converter = Converter(forbid_extra_keys=True)
    forbid_type_coercion(converter)
    return converter


def forbid_type_coercion(converter: Converter) -> None:
    """Make a converter reject values of the wrong type; int is accepted as float."""
    configure_union_passthrough(str | int | float | bool | None, converter)
    for cls in (int, float, str, bool):
        converter.register_structure_hook(cls, _strict_hook(cls))
    converter.register_structure_hook_factory(_is_homogeneous_tuple, _tuple_hook)


def _is_homogeneous_tuple(cls: type) -> bool:
    return get_origin(cls) is tuple and get_args(cls)[-1:] == (Ellipsis,)


def _tuple_hook(cls: type, converter: Converter) -> Callable:
    structure_items = homogenous_tuple_structure_factory(cls, converter)

    def structure(value: object, _: type) -> object:
        if not isinstance(value, list | tuple):
            raise ValueError(f"expected a list, found {json.dumps(value)}")
        return structure_items(value, cls)

    return structure


def _strict_hook(cls: type) -> Callable[[object, type], object]:
    def structure(value: object, _: type) -> object:
        is_unexpected_bool = isinstance(value, bool) and cls is not bool
        accepted = (int, float) if cls is float else cls
        if is_unexpected_bool or not isinstance(value, accepted):
            raise ValueError(f"expected {cls.__name__}, found {_excerpt(value)}")
        if isinstance(value, str):
            _check_text(value)
        return cls(value)

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
    """Load a JSON file as an instance of the attrs class ``model``."""
    try:
        document = json.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not valid JSON: {error}") from error
    return structure_document(str(path), document, model)


def structure_document(name: str, document: object, model: type[T]) -> T:
    """Structure a parsed JSON document; raise ``SettingsError`` if it is invalid."""
    if not isinstance(document, dict):
        raise SettingsError(f"{name}: the top level must be an object")
    try:
        return CONVERTER.structure(document, model)
    except ClassValidationError as error:
        raise SettingsError(_error_text(name, error)) from error


def _error_text(name: str, error: ClassValidationError) -> str:
    messages = transform_error(error, format_exception=_error_reason)
    return "; ".join(f"{name}: {message.replace('$.', '')}" for message in messages)


def _error_reason(error: BaseException, cls: type | None) -> str:
    if isinstance(error, KeyError):
        return "required field is missing"
    if isinstance(error, ForbiddenExtraKeysError):
        return f"unknown fields {', '.join(sorted(error.extra_fields))}"
    if isinstance(error, ValueError) and error.args:
        return str(error.args[0])
    return format_exception(error, cls)


validate_key = matches_re(r"[ -~]{16,64}")
validate_name = and_(instance_of(str), matches_re(NAME_PATTERN))
validate_address = and_(instance_of(str), matches_re(ADDRESS_PATTERN))


def field_names(model: type) -> tuple[str, ...]:
    """Return the field names of an attrs class."""
    return tuple(attribute.name for attribute in fields(model))


@frozen
class Seed:
    """An entry host to contact at startup; ``address`` is its peer address."""

    host: str
    zone: str
    address: str


@frozen
class EntrySettings:
    """Settings of one entry host of the stand-alone version.

    ``http_address`` serves callers and operators, ``peer_address`` (TCP and
    UDP) the other entry hosts. ``ticket_key`` is shared by all entry hosts of
    a deployment and signs tickets and peer messages; signatures by ``accepted_keys``
    are also accepted, for key rotation. An epoch lasts ``epoch_ms``; tickets are
    valid, and results kept, until the end of the next epoch. A stopping host reports
    itself as unhealthy for ``leave_grace_ms`` before it refuses new work, so that the
    load balancer removes it first.
    ``test_aids`` enables fault injection for tests; never set it in production.
    """

    host: str = field(validator=validate_name)
    zone: str = field(validator=validate_name)
    http_address: str = field(validator=validate_address)
    peer_address: str = field(validator=validate_address)
    platform_address: str = field(validator=validate_address)
    ticket_key: str = field(validator=validate_key)
    seeds: tuple[Seed, ...] = ()
    accepted_keys: tuple[str, ...] = field(
        default=(), validator=deep_iterable(validate_key, max_len(ACCEPTED_KEYS_MAX))
    )
    region: str = field(default="home", validator=validate_name)
    epoch_ms: int = field(default=60_000, validator=in_range(100, 3_600_000))
    body_max_bytes: int = field(
        default=1_000_000, validator=in_range(1_000, 16_000_000)
    )
    stop_within_ms: int = field(default=10_000, validator=in_range(0, 600_000))
    leave_grace_ms: int = field(default=1_000, validator=in_range(0, 60_000))
    header_timeout_ms: int = field(default=5_000, validator=in_range(100, 60_000))
    connections_max: int = field(default=2_000, validator=in_range(1, 100_000))
    header_max_bytes: int = field(default=16_384, validator=in_range(1_000, 1_000_000))
    client_limits: ClientLimits = field(factory=ClientLimits)
    config_poll_ms: int = field(default=2_000, validator=in_range(50, 60_000))
    host_list_poll_ms: int = field(default=2_000, validator=in_range(50, 60_000))
    heartbeat_ms: int = field(default=250, validator=in_range(20, 10_000))
    test_aids: bool = False
    log_level: str = field(
        default="INFO", validator=matches_re("DEBUG|INFO|NOTICE|WARNING|ERROR")
    )
