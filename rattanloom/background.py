"""Greenlets that run as long as the process: an unforeseen failure ends none."""

import traceback
from collections.abc import Callable

import gevent

from rattanloom.clock import MS_PER_S
from rattanloom.decision_log import DecisionLog

log = DecisionLog("background")

RESTART_PAUSE_MS = 100


def keep_running(function: Callable[..., None], *arguments: object) -> gevent.Greenlet:
    """Run a function in the background; after a failure it runs again."""
    return gevent.spawn(_run_again, function, arguments)


def _run_again(function: Callable[..., None], arguments: tuple[object, ...]) -> None:
    while not run_logged(function, *arguments):
        gevent.sleep(RESTART_PAUSE_MS / MS_PER_S)


def run_logged(function: Callable[..., None], *arguments: object) -> bool:
    """Run a function; a failure becomes a log line, and False."""
    try:
        function(*arguments)
    except Exception as error:
        where = traceback.extract_tb(error.__traceback__)[-1]
        log.error(
            "task_failed",
            task=function.__qualname__,
            reason=f"{type(error).__name__}: {error}",
            where=f"{where.filename.rpartition('/')[2]}:{where.lineno}",
        )
        return False
    return True
