"""Serves the daemon's metrics in the Prometheus text format."""

from collections.abc import Callable

from rattanloom.clock import Clock
from rattanloom.serving.http_connection import Application

# Also set in deploy/system.toml; keep both equal.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
# A page is rendered again after this time; that takes some milliseconds.
PAGE_MAX_AGE_MS = 250


def metrics_page(render: Callable[[], str], clock: Clock) -> Application:
    """Return an application that serves what ``render`` returns at its path."""
    page, rendered_ms = b"", float("-inf")

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        if environ["PATH_INFO"] != METRICS_PATH:
            start_response("404 Not Found", [])
            return []
        nonlocal page, rendered_ms
        now_ms = clock.now_ms()
        if now_ms - rendered_ms >= PAGE_MAX_AGE_MS:
            page, rendered_ms = render().encode(), now_ms
        start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
        return [page]

    return application
