"""Notifies entry hosts of a published version and waits until it is active."""

from collections.abc import Mapping

import gevent
from attrs import frozen
from gevent.pool import Pool
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.errors import Failure
from rattanloom.logs import get_log
from rattanloom.operators.hosts import CONCURRENT_REQUESTS_MAX, HostPage, fetch_pages

log = get_log("operators")

NOTIFY_TIMEOUT_MS = 300
POLL_INTERVAL_MS = 100


@frozen
class ActivationStatus:
    """The hosts on which a version is active, and the others, after ``elapsed_ms``."""

    active_hosts: tuple[str, ...]
    missing_hosts: tuple[str, ...]
    elapsed_ms: float


def notify_hosts(addresses: Mapping[str, str]) -> None:
    """Notify every entry host, best effort, that a new version was published.

    A host that misses the notification finds the version at its next poll.
    """
    timeout = Timeout(NOTIFY_TIMEOUT_MS / MS_PER_S)
    http = PoolManager(timeout=timeout, retries=False)

    def notify(address: str) -> None:
        try:
            http.request("POST", f"http://{address}/v1/config/look")
        except HTTPError as error:
            log.debug("Cannot notify {}: {}", address, error)

    Pool(CONCURRENT_REQUESTS_MAX).map(notify, addresses.values())


def wait_until_active(
    addresses: Mapping[str, str],
    version: int,
    within_ms: float,
    clock: Clock,
    timeout_ms: float,
) -> ActivationStatus:
    """Wait up to ``within_ms`` until all hosts activate ``version`` or a newer one."""
    started_ms = clock.now_ms()
    while True:
        pages = fetch_pages(addresses, "/v1/status", {}, clock, timeout_ms)
        missing = tuple(page.host for page in pages if not _has_version(page, version))
        elapsed_ms = clock.now_ms() - started_ms
        if not missing or elapsed_ms >= within_ms:
            hosts = tuple(page.host for page in pages if page.host not in missing)
            return ActivationStatus(hosts, missing, elapsed_ms)
        gevent.sleep(POLL_INTERVAL_MS / MS_PER_S)


def _has_version(page: HostPage, version: int) -> bool:
    if isinstance(page.content, Failure):
        return False
    return page.content.get("config_version", 0) >= version
