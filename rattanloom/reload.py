"""Reloads the daemon's settings file on SIGHUP or when its content changes."""

import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
from attrs import define

from rattanloom.background import spawn_restarting
from rattanloom.clock import MS_PER_S
from rattanloom.decision_log import DecisionLog
from rattanloom.platform.deployment import Deployment, load_deployment
from rattanloom.settings import SettingsError

log = DecisionLog("settings")

# Interval at which the file is read, since it may change without a signal.
POLL_MS = 1_000


@define(eq=False, repr=False)
class SettingsWatcher:
    """Reloads the settings file; an invalid file leaves the settings unchanged.

    ``apply`` is called with valid settings that differ from the active ones.
    """

    path: str
    deployment: Deployment
    apply: Callable[[Deployment], None]
    _content: bytes = b""

    @contextmanager
    def following(self) -> Iterator[None]:
        """Reload the settings on SIGHUP and when the file changes."""
        signals = gevent.signal_handler(signal.SIGHUP, self.reload, "SIGHUP")
        polling = spawn_restarting(self.run)
        try:
            yield
        finally:
            polling.kill()
            signals.cancel()

    def run(self) -> None:
        """Poll the file forever."""
        self._content = self._read()
        while True:
            gevent.sleep(POLL_MS / MS_PER_S)
            content = self._read()
            if content != self._content:
                self._content = content
                self.reload("the file changed")

    def reload(self, reason: str) -> None:
        """Read the file and apply its settings if valid; ``reason`` is logged."""
        try:
            deployment = load_deployment(self.path)
        except SettingsError as error:
            log.error(
                "settings_refused", reason=str(error), in_force="the previous settings"
            )
            return
        changed = deployment != self.deployment
        log.info("settings_reloaded", reason=reason, changed=changed)
        if changed:
            self.deployment = deployment
            self.apply(deployment)

    def _read(self) -> bytes:
        try:
            return Path(self.path).read_bytes()
        except OSError as error:
            log.warning("settings_unreadable", reason=str(error))
            return self._content
