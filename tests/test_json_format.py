"""The daemon's JSON: what is refused, and equality with the standard library."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rattanloom.platform.json_format import FormatError, decode_object, encode, parse
from rattanloom.platform.workers import OrderBody

texts = st.text(st.characters(codec="utf-8"), max_size=8)
documents = st.dictionaries(
    texts,
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.integers(min_value=1 << 60)
        | st.floats(allow_nan=False, allow_infinity=False)
        | texts,
        lambda inner: st.lists(inner) | st.dictionaries(texts, inner),
        max_leaves=8,
    ),
)


@given(documents)
def test_documents_are_those_of_the_standard_library(document):
    assert decode_object(json.dumps(document).encode()) == document
    assert json.loads(encode(document)) == document


@pytest.mark.parametrize(
    "text", ["\ud800", "a\0\n\x1f\x7f", "\u2028\u00e9\U0001f600", '"\\/']
)
def test_any_text_is_encoded(text):
    assert json.loads(encode({text: [text]})) == {text: [text]}


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"1,",
        b"NaN",
        b"-Infinity",
        b"1e999",
        b"01",
        b'"\xff"',
        b'"\x01"',
        b'"\\ud800"',
        b"[" * 100_000,
        b"[" * 5_000 + b"]" * 5_000,
        b"1" * 5_000,
    ],
    ids=lambda value: repr(value[:20]),
)
def test_body_that_is_not_valid_json_is_refused(value):
    with pytest.raises(FormatError):
        decode_object(b'{"unknown":' + value + b"}")
    with pytest.raises(FormatError):
        parse(b'{"clock_ms":' + value + b"}", OrderBody)


@pytest.mark.parametrize(
    "body", [b'{"unknown":"\xff"}', b'{"unknown":', b"\xff\xfe", b"[]"]
)
def test_body_that_is_not_an_object_or_not_unicode_is_refused(body):
    with pytest.raises(FormatError):
        parse(body, OrderBody)


@pytest.mark.parametrize("value", ["1", True, 1.0, None, [1], {}])
@pytest.mark.parametrize("name", ["clock_ms", "born"])
def test_value_of_wrong_type_is_refused_by_its_name(name, value):
    with pytest.raises(FormatError, match=f"^{name}: "):
        parse(json.dumps({name: value}).encode(), OrderBody)


def test_unknown_fields_are_ignored_and_the_last_of_equal_ones_counts():
    body = b'{"clock_ms":1,"incarnation_ms":7,"clock_ms":%d}' % (1 << 70)
    assert parse(body, OrderBody) == OrderBody(clock_ms=1 << 70)
