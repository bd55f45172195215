"""Saves a daemon the import of what its libraries load and it never uses.

To be called before the libraries are imported.
"""

import socket
import sys
from importlib import import_module
from types import ModuleType

# Names of the module ``socket`` that the daemon and its libraries use.
SOCKET_NAMES = ("SocketType", "create_connection", "fromfd", "getaddrinfo", "socket")


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


def patch_sockets() -> None:
    """Make the sockets of this process gevent's.

    ``monkey.patch_all`` takes longer than all other imports of gevent: it also
    searches the installed packages for plugins. The daemon uses gevent's functions for
    all other calls that wait.
    """
    from gevent import monkey
    from gevent import socket as gevent_socket

    for name in SOCKET_NAMES:
        monkey.patch_item(socket, name, getattr(gevent_socket, name))
