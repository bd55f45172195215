"""Background greenlets of the daemon; their exceptions are logged, not fatal."""

import traceback
from collections.abc import Callable

import gevent

from rattanloom.clock import MS_PER_S
from rattanloom.decision_log import DecisionLog

log = DecisionLog("background")

RESTART_PAUSE_MS = 100


def spawn_restarting(
    function: Callable[..., None], *arguments: object
) -> gevent.Greenlet:
    """Run a function in a new greenlet; call it again after an exception.

    The greenlet ends when the function returns.
    """
    return gevent.spawn(_run_until_success, function, arguments)


def _run_until_success(
    function: Callable[..., None], arguments: tuple[object, ...]
) -> None:
    while not run_and_log_failure(function, *arguments):
        gevent.sleep(RESTART_PAUSE_MS / MS_PER_S)


def run_and_log_failure(function: Callable[..., None], *arguments: object) -> bool:
    """Run a function and return True; log an exception and return False."""
    try:
        function(*arguments)
    except Exception as error:
        log.error(
            "task_failed",
            task=function.__qualname__,
            reason=f"{type(error).__name__}: {error}",
            where=raised_at(error),
        )
        return False
    return True


def raised_at(error: BaseException) -> str:
    """Return the file and the line, ``file:line``, at which an error was raised."""
    where = traceback.extract_tb(error.__traceback__)[-1]
    return f"{where.filename.rpartition('/')[2]}:{where.lineno}"
