"""Reloading the settings file of a running daemon on a signal."""

import json

from rattanloom.platform.deployment import load_deployment
from rattanloom.reload import SettingsWatcher
from tests.test_platform_adapter import SETTINGS


def make_watcher(tmp_path):
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(SETTINGS))
    applied = []
    watcher = SettingsWatcher(str(path), load_deployment(path), applied.append)
    return path, watcher, applied


def test_changed_settings_are_applied(tmp_path):
    path, watcher, applied = make_watcher(tmp_path)
    path.write_text(json.dumps(SETTINGS | {"platform": {"addr": "10.9.9.9:1"}}))
    watcher.reload("SIGHUP")
    assert [deployment.store.address for deployment in applied] == ["10.9.9.9:1"]


def test_unchanged_settings_are_not_applied(tmp_path):
    _, watcher, applied = make_watcher(tmp_path)
    watcher.reload("SIGHUP")
    assert not applied


def test_invalid_settings_keep_the_previous_ones_active(tmp_path):
    path, watcher, applied = make_watcher(tmp_path)
    before = watcher.deployment
    for content in ("{", "[]", json.dumps(SETTINGS | {"zone": 3})):
        path.write_text(content)
        watcher.reload("SIGHUP")
    path.unlink()
    watcher.reload("SIGHUP")
    assert not applied
    assert watcher.deployment == before
