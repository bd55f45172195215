"""Exit statuses of all programs of the project."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Process exit statuses, shared by servers, daemons and command lines."""

    OK = 0
    ERROR = 1
    USAGE = 2
    SETTINGS = 3
    REFUSED = 4
    MAY_HAVE_RUN = 5
    CONFLICT = 6
    UNREACHABLE = 7
    STOP_TIMEOUT = 8
