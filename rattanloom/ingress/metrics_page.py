"""Serves the daemon's metrics in the Prometheus text format."""

from collections.abc import Callable

from rattanloom.serving.http_connection import Application

# Also set in deploy/system.toml; keep both equal.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"


def metrics_page(render: Callable[[], str]) -> Application:
    """Return an application that serves what ``render`` returns at its path."""

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        if environ["PATH_INFO"] != METRICS_PATH:
            start_response("404 Not Found", [])
            return []
        start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
        return [render().encode()]

    return application
