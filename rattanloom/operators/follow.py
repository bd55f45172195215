"""Follows an accepted version until it is in force on the entry hosts."""

from collections.abc import Mapping

import gevent
from attrs import frozen
from gevent.pool import Pool
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.errors import Failure
from rattanloom.logs import get_log
from rattanloom.operators.hosts import HOSTS_AT_ONCE, HostPage, fetch_pages

log = get_log("operators")

HINT_TIMEOUT_MS = 300
LOOK_EVERY_MS = 100


@frozen
class InForce:
    """Where a version was in force, and where not, after ``took_ms``."""

    hosts: tuple[str, ...]
    missing: tuple[str, ...]
    took_ms: float


def hint_hosts(addresses: Mapping[str, str]) -> None:
    """Tell every entry host to look for a newer version; failures don't matter.

    A host that gets no hint finds the version at its next poll.
    """
    timeout = Timeout(HINT_TIMEOUT_MS / MS_PER_S)
    http = PoolManager(timeout=timeout, retries=False)

    def hint(address: str) -> None:
        try:
            http.request("POST", f"http://{address}/v1/config/look")
        except HTTPError as error:
            log.debug("{} got no hint: {}", address, error)

    Pool(HOSTS_AT_ONCE).map(hint, addresses.values())


def await_in_force(
    addresses: Mapping[str, str],
    version: int,
    within_ms: float,
    clock: Clock,
    timeout_ms: float,
) -> InForce:
    """Wait until ``version`` or a newer one is in force on every entry host."""
    started_ms = clock.now_ms()
    while True:
        pages = fetch_pages(addresses, "/v1/status", {}, clock, timeout_ms)
        missing = tuple(page.host for page in pages if not _has(page, version))
        took_ms = clock.now_ms() - started_ms
        if not missing or took_ms >= within_ms:
            hosts = tuple(page.host for page in pages if page.host not in missing)
            return InForce(hosts, missing, took_ms)
        gevent.sleep(LOOK_EVERY_MS / MS_PER_S)


def _has(page: HostPage, version: int) -> bool:
    if isinstance(page.content, Failure):
        return False
    return page.content.get("config_version", 0) >= version
