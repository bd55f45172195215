"""The operators' folder: files are merged by name, and errors name the file."""

import json

import pytest

from rattanloom.configuration_document import (
    Document,
    VersionRecord,
    make_document,
    parse_document,
)
from rattanloom.configuration_folder import load_folder
from rattanloom.errors import Failure
from rattanloom.rules import KindRule
from rattanloom.settings import SettingsError

RECORD = VersionRecord(3, 3, "ab", "ama", "why", 1.5)


def write(folder, **files):
    for name, content in files.items():
        text = content if isinstance(content, str) else json.dumps(content)
        (folder / f"{name}.json").write_text(text)
    return folder


def test_later_files_override_fields_and_null_removes_them(tmp_path):
    write(
        tmp_path,
        b_second={"kinds": {"crop": {"retries_max": 2}, "swatch": None}},
        a_first={
            "kinds": {
                "crop": {"retries_max": 9, "targets": ["a", "b"], "refuse": "no"},
                "swatch": {},
            }
        },
        c_third={"kinds": {"crop": {"targets": ["c"], "refuse": None}}},
    )
    (tmp_path / ".hidden.json").write_text("{")
    sections, rules = load_folder(tmp_path)
    assert sections == {"kinds": {"crop": {"retries_max": 2, "targets": ["c"]}}}
    assert rules.kinds == {"crop": KindRule(targets=("c",), retries_max=2)}


@pytest.mark.parametrize(
    ("content", "words"),
    [
        ({"kinds": {"crop": {"retries_max": 101}}}, ["crop.retries_max", "<= 100"]),
        ({"kinds": {"crop": {"retries_max": "1"}}}, ["crop.retries_max", "expected"]),
        ({"kinds": {"crop": {"targets": "abc"}}}, ["crop.targets", "a list"]),
        ({"kinds": {"crop": {"color": 1}}}, ["crop.color", "unknown", "retries_max"]),
        ({"kinds": {"a b": {}}}, ["kinds.a b", "not a valid name"]),
        ({"kinds": {"crop": 1}}, ["kinds.crop", "expected an object"]),
        ({"kinds": []}, ["kinds", "expected an object"]),
        ({"deployment": {"response_weight": 2}}, ["deployment.response_weight"]),
        ({"rules": {}}, ["rules", "unknown", "kinds, teams"]),
        ({"kinds": {"gone": None}}, ["kinds.gone", "no earlier file"]),
        ('{"kinds": {}, "kinds": {}}', ["duplicate field kinds in one object"]),
        ('{"deployment": {"response_weight": NaN}}', ["NaN"]),
        ("{", ["not valid JSON"]),
        ("[" * 100_000, ["not valid JSON"]),
        ("3", ["must be an object"]),
    ],
)
def test_bad_file_is_named_with_field_and_reason(tmp_path, content, words):
    good = {"kinds": {"crop": {"refuse": "closed"}}}
    write(tmp_path, a_good=good, b_bad=content, c_good=good)
    with pytest.raises(SettingsError) as caught:
        load_folder(tmp_path)
    for word in words:
        assert word in str(caught.value)
    assert str(caught.value).startswith("b_bad.json: ")
    assert "; " not in str(caught.value)


def test_all_problems_are_reported_at_once(tmp_path):
    write(tmp_path, a={"kinds": {"x": {"b": 1}}}, b={"teams": {"y": {"c": 1}}})
    with pytest.raises(SettingsError, match=r"a\.json: .*; b\.json: "):
        load_folder(tmp_path)


def test_missing_folder_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="is not a folder"):
        load_folder(tmp_path / "none")


def test_document_round_trips_and_a_changed_text_is_refused():
    folder = {"teams": {"clubs": {"quota_slots": 64}}}
    document = make_document(RECORD, folder, {"targets": {"w": {"drain": True}}})
    parsed = parse_document(document.text)
    assert parsed == document
    assert isinstance(parsed, Document)
    assert parsed.rules.targets["w"].drain
    for bad in ("", "{}", "[]", "null", document.text.replace("64", "65")):
        assert isinstance(parse_document(bad), Failure)
