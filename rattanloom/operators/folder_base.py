"""Base version of an operator's configuration folder, stored in the folder.

The base is the latest version whose changes the folder contains. Publishing fails if
others changed the folder part after it.
"""

import json
from pathlib import Path

from attrs import asdict, field, frozen

from rattanloom.settings import load_settings
from rattanloom.validation import in_range

BASE_FILE = ".base.json"
VERSION_MAX = 2**53


@frozen
class FolderBase:
    """Content of the base file; ``version`` 0 if nothing was published."""

    version: int = field(default=0, validator=in_range(0, VERSION_MAX))


def read_base(folder: str | Path) -> int:
    """Return the folder's base version, 0 without a base file.

    Raises ``SettingsError`` if the file is invalid.
    """
    path = Path(folder) / BASE_FILE
    return load_settings(path, FolderBase).version if path.exists() else 0


def write_base(folder: str | Path, version: int) -> None:
    """Record that the folder contains all changes up to ``version``."""
    path = Path(folder) / BASE_FILE
    new_file = path.with_suffix(".new")
    new_file.write_text(json.dumps(asdict(FolderBase(version))) + "\n")
    new_file.replace(path)
