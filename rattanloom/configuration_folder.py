"""The operators' folder: JSON files merged in the order of their names.

Later files override earlier ones field by field. ``null`` removes the entry or
field that an earlier file sets. Lists are replaced, not merged. Errors name the
file, the field and the reason.
"""

import json
from pathlib import Path
from re import fullmatch

from attrs import Factory, define, field
from cattrs import transform_error
from cattrs.errors import BaseValidationError

from rattanloom.rules import (
    DeploymentRule,
    KindRule,
    Rules,
    TargetRule,
    TeamRule,
)
from rattanloom.settings import CONVERTER, NAME_PATTERN, SettingsError, field_names

ENTRY_MODELS = {"kinds": KindRule, "teams": TeamRule, "targets": TargetRule}
SECTION_MODELS = {"deployment": DeploymentRule}
FILE_PATTERN = "*.json"
FILE_MAX_BYTES = 1_000_000
# Named in errors about sections that were not read from a file.
UNNAMED_FILE = "document"

FieldPath = tuple[str, ...]


@define(eq=False)
class MergedFolder:
    """The merged sections, and the file that last set or removed each field."""

    sections: dict = field(factory=dict)
    source_files: dict[FieldPath, str] = Factory(dict)

    def source_file(self, path: FieldPath) -> str:
        """Return the file that last set or removed ``path`` or its nearest parent."""
        while path and path not in self.source_files:
            path = path[:-1]
        return self.source_files.get(path, UNNAMED_FILE)


def load_folder(folder: str | Path) -> tuple[dict, Rules]:
    """Return the merged sections and the rules; raise ``SettingsError`` if invalid."""
    merged = read_folder(folder)
    return merged.sections, _structure_rules(merged)


def read_folder(folder: str | Path) -> MergedFolder:
    """Merge the folder's files in the order of their names, without checking them."""
    paths = _rules_files(Path(folder))
    merged = MergedFolder()
    for path in paths:
        _merge_file(merged, path.name, _read_file(path))
    return merged


def merge_sections(below: dict, above: dict) -> dict:
    """Return ``above`` merged over ``below``, as a new dict."""
    merged = dict(below)
    for name, value in above.items():
        current = merged.get(name)
        if isinstance(value, dict) and isinstance(current, dict):
            value = merge_sections(current, value)
        merged[name] = value
    return merged


def check_sections(sections: dict) -> Rules:
    """Return the rules in merged sections; raise ``SettingsError`` if invalid."""
    return _structure_rules(MergedFolder(sections))


def _rules_files(folder: Path) -> list[Path]:
    if not folder.is_dir():
        raise SettingsError(
            f"{folder}: is not a folder; pass the folder of the rules files"
        )
    paths = (path for path in folder.glob(FILE_PATTERN) if path.name[0] != ".")
    return sorted(paths, key=_file_name)


def _file_name(path: Path) -> str:
    return path.name


def _read_file(path: Path) -> dict:
    name = path.name
    try:
        content = path.read_bytes()
        if len(content) > FILE_MAX_BYTES:
            raise SettingsError(f"{name}: is larger than {FILE_MAX_BYTES} bytes")
        document = json.loads(
            content.decode(),
            object_pairs_hook=_reject_duplicates,
            parse_constant=_reject_constant,
        )
    except OSError as error:
        raise SettingsError(f"{name}: cannot be read: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{name}: not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise SettingsError(f"{name}: the top level must be an object")
    return document


def _reject_duplicates(pairs: list[tuple[str, object]]) -> dict:
    document = dict(pairs)
    if len(document) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"duplicate field {', '.join(duplicates)} in one object")
    return document


def _reject_constant(text: str) -> object:
    raise ValueError(f"{text} is not allowed as a number")


def _merge_file(merged: MergedFolder, name: str, document: dict) -> None:
    _merge_level(merged, name, merged.sections, document, ())


def _merge_level(
    merged: MergedFolder, name: str, below: dict, above: dict, path: FieldPath
) -> None:
    """Merge ``above``, found in file ``name`` at ``path``, into ``below``."""
    for key, value in above.items():
        here = (*path, key)
        if value is None:
            _remove(merged, name, below, here)
        elif key not in below:
            _set(merged, name, below, here, {} if isinstance(value, dict) else value)
        if isinstance(value, dict) and isinstance(below[key], dict):
            _merge_level(merged, name, below[key], value, here)
        elif value is not None:
            _replace(merged, name, below, here, value)


def _set(
    merged: MergedFolder, name: str, below: dict, path: FieldPath, value: object
) -> None:
    below[path[-1]] = value
    merged.source_files[path] = name


def _replace(
    merged: MergedFolder, name: str, below: dict, path: FieldPath, value: object
) -> None:
    if isinstance(value, dict) != isinstance(below[path[-1]], dict):
        earlier = merged.source_file(path)
        raise SettingsError(
            f"{name}: {_dotted_path(path)}: expected an object here and in {earlier}, "
            "or a plain value in both"
        )
    _set(merged, name, below, path, value)


def _remove(merged: MergedFolder, name: str, below: dict, path: FieldPath) -> None:
    if path[-1] not in below:
        raise SettingsError(
            f"{name}: {_dotted_path(path)}: null for a field that no earlier file sets"
        )
    del below[path[-1]]
    merged.source_files[path] = name


def _structure_rules(merged: MergedFolder) -> Rules:
    try:
        return CONVERTER.structure(merged.sections, Rules)
    except (BaseValidationError, ValueError, TypeError, AttributeError) as error:
        problems = _find_problems(merged) or [f"{UNNAMED_FILE}: {error!r}"]
        raise SettingsError("; ".join(problems)) from error


def _find_problems(merged: MergedFolder) -> list[str]:
    problems = []
    for section, content in merged.sections.items():
        if not isinstance(content, dict):
            problems.append(_problem_text(merged, (section,), "expected an object"))
        elif section in SECTION_MODELS:
            model = SECTION_MODELS[section]
            problems += _check_entry(merged, (section,), content, model)
        elif section in ENTRY_MODELS:
            problems += _check_entries(merged, section, content)
        else:
            problems.append(
                _problem_text(merged, (section,), _unknown_field_reason(Rules))
            )
    return problems


def _check_entries(merged: MergedFolder, section: str, content: dict) -> list[str]:
    problems = []
    for name, entry in content.items():
        path = (section, name)
        if not _is_valid_name(name):
            problems.append(_problem_text(merged, path, "is not a valid name"))
        elif not isinstance(entry, dict):
            problems.append(_problem_text(merged, path, "expected an object"))
        else:
            problems += _check_entry(merged, path, entry, ENTRY_MODELS[section])
    return problems


def _check_entry(
    merged: MergedFolder, path: FieldPath, entry: dict, model: type
) -> list[str]:
    known = field_names(model)
    problems = [
        _problem_text(merged, (*path, name), _unknown_field_reason(model))
        for name in entry
        if name not in known
    ]
    for name in entry:
        if name in known:
            problems += _check_field(merged, (*path, name), entry[name], model)
    return problems


def _check_field(
    merged: MergedFolder, path: FieldPath, value: object, model: type
) -> list[str]:
    try:
        CONVERTER.structure({path[-1]: value}, model)
    except BaseValidationError as error:
        messages = transform_error(error, format_exception=_error_reason)
        reasons = [message.rsplit(" @ ", 1)[0] for message in messages]
        return [_problem_text(merged, path, reason) for reason in reasons]
    return []


def _error_reason(error: BaseException, _: type | None) -> str:
    return str(error.args[0]) if error.args else repr(error)


def _unknown_field_reason(model: type) -> str:
    return f"unknown field, expected one of {', '.join(field_names(model))}"


def _problem_text(merged: MergedFolder, path: FieldPath, reason: str) -> str:
    return f"{merged.source_file(path)}: {_dotted_path(path)}: {reason}"


def _dotted_path(path: FieldPath) -> str:
    return ".".join(path)


def _is_valid_name(name: str) -> bool:
    return fullmatch(NAME_PATTERN, name) is not None
