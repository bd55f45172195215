"""Line-by-line difference between two configurations."""

import json


def flatten(sections: dict, prefix: str = "") -> dict[str, object]:
    """Return the values by dotted path, for example ``kinds.crop.refuse``."""
    fields = {}
    for name, value in sections.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict) and value:
            fields |= flatten(value, f"{path}.")
        else:
            fields[path] = value
    return fields


def difference_lines(before: dict, after: dict) -> list[str]:
    """Return a ``-`` line per old value and ``+`` per new one, sorted by path."""
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
