"""The difference between two configurations, one line a changed field."""

import json


def flatten(sections: dict, prefix: str = "") -> dict[str, object]:
    """Return the fields of nested sections under dotted names."""
    fields = {}
    for name, value in sections.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict) and value:
            fields |= flatten(value, f"{path}.")
        else:
            fields[path] = value
    return fields


def difference_lines(before: dict, after: dict) -> list[str]:
    """Return ``-`` and ``+`` lines for every field that differs, by name."""
    old, new = flatten(before), flatten(after)
    lines = []
    for path in sorted(old.keys() | new.keys()):
        if path in old and path in new and old[path] == new[path]:
            continue
        if path in old:
            lines.append(f"- {path} = {json.dumps(old[path])}")
        if path in new:
            lines.append(f"+ {path} = {json.dumps(new[path])}")
    return lines
