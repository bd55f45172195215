"""Serves the daemon's readiness check to the platform's load balancer."""

from collections.abc import Callable

from rattanloom.serving.http_connection import Application


def readiness_page(is_ready: Callable[[], bool]) -> Application:
    """Return an application that serves 200 while ``is_ready`` is true, else 503."""

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        start_response("200 OK" if is_ready() else "503 Service Unavailable", [])
        return []

    return application
