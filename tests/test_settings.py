"""Settings files are checked completely; errors name file, field and reason."""

import json

import pytest

from rattanloom.settings import EntrySettings, SettingsError, load_settings

GOOD = {
    "host": "adum-1",
    "zone": "Adum",
    "http_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "platform_address": "127.0.0.1:8082",
    "ticket_key": "0123456789abcdef",
}


def write(tmp_path, document):
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(document))
    return path


def test_good_file_is_loaded_with_defaults(tmp_path):
    settings = load_settings(write(tmp_path, GOOD), EntrySettings)
    assert settings.host == "adum-1"
    assert settings.epoch_ms == 60_000


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"epoch_ms": "soon"}, ["epoch_ms", "expected int"]),
        ({"epoch_ms": 1}, ["epoch_ms", ">= 100"]),
        ({"epoch_ms": True}, ["epoch_ms", "expected int"]),
        ({"color": "blue"}, ["color"]),
        ({"ticket_key": "short"}, ["ticket_key"]),
        ({"ticket_key": "ключ" * 10}, ["ticket_key"]),
        ({"accepted_keys": ["short"]}, ["accepted_keys"]),
        ({"seeds": [{"host": "a", "zone": 3, "address": "x:1"}]}, ["seeds", "zone"]),
    ],
)
def test_bad_field_is_refused_with_file_field_and_reason(tmp_path, change, words):
    path = write(tmp_path, GOOD | change)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, EntrySettings)
    for word in [str(path), *words]:
        assert word in str(caught.value)


def test_missing_field_is_named(tmp_path):
    document = dict(GOOD)
    del document["zone"]
    with pytest.raises(SettingsError, match="zone"):
        load_settings(write(tmp_path, document), EntrySettings)


def test_malformed_json_is_refused(tmp_path):
    path = tmp_path / "entry.json"
    path.write_text("{")
    with pytest.raises(SettingsError, match="not valid JSON"):
        load_settings(path, EntrySettings)
