"""The imports of a daemon's start, each in a fresh interpreter."""

import json
import os
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).parent.parent
# None of them does anything in a daemon; each costs a start time and memory.
UNUSED_MODULES = {"asyncio.events", "concurrent.futures", "fire", "hypothesis"}
UNUSED_MODULES |= {"_hashlib", "gevent.events", "multiprocessing", "subprocess"}
UNUSED_MODULES |= {"_ssl", "importlib.metadata", "tenacity", "urllib3"}


def run_after_start(statements: str) -> object:
    """Import what a daemon imports, then run statements that print JSON."""
    # Without ``site``, as the deploy file starts it.
    command = [sys.executable, "-S", "-c", f"import dispatcher, sys\n{statements}"]
    path = os.pathsep.join([str(ROOT), sysconfig.get_paths()["purelib"]])
    environment = dict(os.environ) | {"PYTHONPATH": path}
    output = subprocess.check_output(command, env=environment, cwd=ROOT)
    return json.loads(output)


def test_start_loads_no_unused_modules():
    loaded = run_after_start("import json\nprint(json.dumps(list(sys.modules)))")
    assert "rattanloom.daemon" in loaded
    assert UNUSED_MODULES.isdisjoint(loaded)


def test_sockets_of_a_daemon_do_not_block_other_greenlets():
    statements = """
import gevent.socket, socket
patched = socket.socket is gevent.socket.socket
print("true" if patched and socket.create_connection.__module__[:7] == "gevent."
      else "false")
"""
    assert run_after_start(statements) is True


def test_deferred_module_is_loaded_when_it_is_used():
    statements = """
deferred = sys.modules["asyncio"]
deferred.Event, deferred.get_event_loop_policy
import asyncio, asyncio.events
print("true" if asyncio is not deferred and asyncio.events.__file__ else "false")
"""
    assert run_after_start(statements) is True


def test_openssl_can_be_imported_after_the_start():
    statements = """
import gc, hashlib, _hashlib
print("true" if gc.isenabled() and hashlib.sha1(b"").name == "sha1" else "false")
"""
    assert run_after_start(statements) is True


def test_requests_of_concurrent_greenlets_are_not_mixed():
    # bottle keeps the current request in thread-local data.
    statements = """
import bottle, gevent
paths = {}
def handle(path):
    bottle.request.bind({"PATH_INFO": path})
    gevent.sleep(0.01)
    paths[path] = bottle.request.path
gevent.joinall([gevent.spawn(handle, path) for path in ("/a", "/b")])
print("true" if paths == {"/a": "/a", "/b": "/b"} else "false")
"""
    assert run_after_start(statements) is True
