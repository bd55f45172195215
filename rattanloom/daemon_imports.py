"""Saves a daemon the import of what its libraries load and it never uses."""

import gc
import socket
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module
from importlib.util import find_spec
from types import ModuleType

# Names of the module ``socket`` that the daemon and its libraries use.
SOCKET_NAMES = ("SocketType", "create_connection", "fromfd", "getaddrinfo", "socket")

OPENSSL = "_hashlib"
# Without OpenSSL, ``hashlib`` and ``random`` use these modules of the standard library.
HASH_MODULES = ("_blake2", "_md5", "_sha1", "_sha256", "_sha3", "_sha512")


class DeferredModule(ModuleType):
    """Stands for a module that is imported when one of its attributes is needed."""

    def __getattr__(self, attribute: str) -> object:
        # Modules are searched for special attributes, such as ``__file__``; only
        # ``__path__`` shows that a part of the module is about to be imported.
        if attribute.startswith("__") and attribute != "__path__":
            raise AttributeError(attribute)
        return getattr(self._load(), attribute)

    def _load(self) -> ModuleType:
        name = self.__name__
        if sys.modules.get(name) is self:
            del sys.modules[name]
        return import_module(name)


def defer_unused_modules() -> None:
    """Defer ``ssl`` and ``asyncio``, unless they are loaded already.

    ``http.client`` and ``logbook`` import ``ssl`` for connections that a daemon never
    opens. ``pycapnp`` imports ``asyncio`` for RPC, and derives a class from
    ``BufferedProtocol``; this process then can't use that class.
    """
    for name in ("ssl", "asyncio"):
        sys.modules.setdefault(name, DeferredModule(name))
    placeholder = sys.modules["asyncio"]
    if isinstance(placeholder, DeferredModule):
        placeholder.BufferedProtocol = type("BufferedProtocol", (), {"__slots__": ()})


@contextmanager
def omitting_openssl() -> Iterator[None]:
    """Make ``hashlib`` do without OpenSSL if it is imported in the block.

    OpenSSL is for algorithms and a speed that a daemon does not need.
    """
    if OPENSSL in sys.modules or not all(map(find_spec, HASH_MODULES)):
        yield
        return
    sys.modules[OPENSSL] = None
    try:
        yield
    finally:
        del sys.modules[OPENSSL]


@contextmanager
def deferring_collection() -> Iterator[None]:
    """Collect no garbage during the block, and exempt its objects from collections.

    Nearly all objects that an import creates live as long as the process.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def patch_standard_library() -> None:
    """Make the sockets, thread-local data and locks of this process gevent's.

    ``bottle`` keeps the current request in thread-local data: without the patch, the
    requests of all greenlets would share it.

    ``monkey.patch_all`` takes longer than all other imports of gevent: it also
    searches the installed packages for plugins. The daemon uses gevent's functions for
    all other calls that wait.
    """
    from gevent import monkey
    from gevent import socket as gevent_socket
    from gevent.local import local
    from gevent.lock import RLock

    for name in SOCKET_NAMES:
        monkey.patch_item(socket, name, getattr(gevent_socket, name))
    monkey.patch_item(threading, "local", local)
    monkey.patch_item(threading, "RLock", RLock)


@contextmanager
def lean_imports() -> Iterator[None]:
    """Import the daemon's libraries in this block, for use by greenlets."""
    defer_unused_modules()
    with omitting_openssl(), deferring_collection():
        patch_standard_library()
        yield
