"""Serves the daemon's readiness check to the platform's load balancer."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent.pywsgi import WSGIServer


@contextmanager
def serving_readiness(address: str, is_ready: Callable[[], bool]) -> Iterator[None]:
    """Serve status 200 while ``is_ready`` returns true, 503 otherwise."""
    host, _, port = address.rpartition(":")

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        status = "200 OK" if is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []

    server = WSGIServer((host, int(port)), application, log=None, error_log=None)
    server.start()
    try:
        yield
    finally:
        server.stop(timeout=0)
