"""Base version of an operators' folder, stored in the folder."""

import json
from pathlib import Path

from attrs import asdict, field, frozen

from rattanloom.settings import in_range, load_settings

BASE_FILE = ".base.json"
VERSION_MAX = 2**53


@frozen
class FolderBase:
    """The latest version whose changes the folder contains; 0 if none."""

    version: int = field(default=0, validator=in_range(0, VERSION_MAX))


def read_base(folder: str | Path) -> int:
    """Return the folder's base version; raise ``SettingsError`` if unreadable."""
    path = Path(folder) / BASE_FILE
    return load_settings(path, FolderBase).version if path.exists() else 0


def write_base(folder: str | Path, version: int) -> None:
    """Record that the folder contains all changes up to ``version``."""
    path = Path(folder) / BASE_FILE
    partial = path.with_suffix(".new")
    partial.write_text(json.dumps(asdict(FolderBase(version))) + "\n")
    partial.replace(path)
