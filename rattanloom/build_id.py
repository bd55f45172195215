"""Identifies the build that runs, for logs of several builds."""

from pathlib import Path
from zlib import crc32

PACKAGE_FOLDER = Path(__file__).parent


def build_id(folder: Path = PACKAGE_FOLDER) -> str:
    """Return 8 hexadecimal digits, the CRC-32 of the sources of the package.

    The line endings of a checkout and the order of its files do not matter.
    """
    checksum = 0
    for path in sorted(folder.rglob("*.py")):
        checksum = crc32(path.read_bytes().replace(b"\r\n", b"\n"), checksum)
    return f"{checksum:08x}"
