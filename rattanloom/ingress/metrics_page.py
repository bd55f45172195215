"""Serves the daemon's metrics in the Prometheus text format."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent.pywsgi import WSGIServer

# Also set in deploy/system.toml; keep both equal.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"


@contextmanager
def serving_metrics(ip: str, render: Callable[[], str]) -> Iterator[None]:
    """Serve the text that ``render`` returns at ``METRICS_PATH``."""

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        if environ["PATH_INFO"] != METRICS_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return []
        body = render().encode()
        headers = [
            ("Content-Type", "text/plain; version=0.0.4"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    server = WSGIServer((ip, METRICS_PORT), application, log=None, error_log=None)
    server.start()
    try:
        yield
    finally:
        server.stop(timeout=0)
