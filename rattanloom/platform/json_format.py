"""Encodes and decodes the platform's JSON documents, for the daemon.

Unknown fields are ignored; the types of known fields are checked. Frequent bodies are
decoded by ``parse`` into ``msgspec.Struct`` classes, other documents by ``structure``
into attrs classes. ``WIRE_NAMES`` of an attrs class maps its fields to the platform's
names where they differ.
"""

import json
from typing import Any, TypeVar

import msgspec
from attrs import fields, has
from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError
from cattrs.gen import make_dict_structure_fn, override
from cattrs.v import format_exception

from rattanloom.settings import forbid_type_coercion

T = TypeVar("T")
S = TypeVar("S", bound=msgspec.Struct)


class FormatError(ValueError):
    """A document that does not match the platform's specification."""


def _make_converter() -> Converter:
    converter = Converter()
    forbid_type_coercion(converter)
    converter.register_structure_hook_factory(has, _make_object_hook)
    return converter


def _make_object_hook(model: type, converter: Converter) -> Any:
    wire_names = getattr(model, "WIRE_NAMES", {})
    renamed = {
        attribute.name: override(rename=wire_names[attribute.name])
        for attribute in fields(model)
        if attribute.name in wire_names
    }
    structure_fields = make_dict_structure_fn(model, converter, **renamed)

    def structure_object(value: object, _: type) -> object:
        if not isinstance(value, dict):
            raise ValueError("expected an object")
        return structure_fields(value, model)

    return structure_object


CONVERTER = _make_converter()
DECODER = msgspec.json.Decoder()
ENCODER = msgspec.json.Encoder()


def is_number(value: object) -> bool:
    """Return whether a decoded value is a number; JSON has booleans apart from them."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def structure(document: object, model: type[T]) -> T:
    """Convert a decoded document to ``model``; ``FormatError`` names the field."""
    if not isinstance(document, dict):
        raise FormatError("not a JSON object")
    try:
        return CONVERTER.structure(document, model)
    except BaseValidationError as error:
        names = _wire_names(model)
        messages = (
            _with_wire_path(text, names)
            for text in transform_error(error, format_exception=_error_reason)
        )
        raise FormatError("; ".join(messages)) from error


def _error_reason(error: BaseException, cls: type | None) -> str:
    """Return the message of an invalid value, which says what would be valid."""
    if isinstance(error, ValueError) and error.args:
        return str(error.args[0])
    return format_exception(error, cls)


def _wire_names(model: type) -> dict[str, str]:
    """Return the ``WIRE_NAMES`` of a class and of the classes of its fields."""
    names = dict(getattr(model, "WIRE_NAMES", {}))
    for attribute in fields(model):
        if has(attribute.type):
            names |= _wire_names(attribute.type)
    return names


def _with_wire_path(message: str, names: dict[str, str]) -> str:
    """Convert cattrs' "REASON @ $.PATH" to "PATH: REASON" in the platform's names."""
    reason, _, path = message.rpartition(" @ $")
    segments = (names.get(segment, segment) for segment in path.split("."))
    return f"{'.'.join(segments).lstrip('.') or 'document'}: {reason}"


def decode_object(body: bytes) -> dict[str, object]:
    """Decode a JSON object; raise ``FormatError`` for anything else."""
    try:
        document = DECODER.decode(body)
    except (ValueError, RecursionError) as error:
        raise FormatError(f"not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise FormatError("not a JSON object")
    return document


def parse(body: bytes, model: type[S]) -> S:
    """Decode a JSON body as ``model``; ``FormatError`` names the field."""
    try:
        # Text, since the decoder does not check the encoding of unknown fields.
        return msgspec.json.decode(body.decode(), type=model)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        raise FormatError(f"{path.strip('.`') or 'document'}: {reason}") from error
    except (ValueError, RecursionError) as error:
        raise FormatError(f"not valid JSON: {error}") from error


def encode(document: object) -> bytes:
    """Return ``document`` as compact JSON."""
    try:
        return ENCODER.encode(document)
    except UnicodeEncodeError:
        # A lone surrogate has an escaped form only.
        return json.dumps(document, separators=(",", ":")).encode()
