"""Fetches pages and configuration documents from the entry hosts."""

import json
from collections.abc import Iterable, Iterator, Mapping
from http import HTTPStatus
from urllib.parse import urlencode

from attrs import frozen
from gevent.pool import Pool
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from rattanloom.clock import MS_PER_S, Clock
from rattanloom.errors import ErrorKind, Failure

CONCURRENT_REQUESTS_MAX = 50


@frozen
class HostPage:
    """The JSON page of one host, or the failure to get it.

    ``sent_wall_ms`` (of the request) and ``received_wall_ms`` (of the response) are
    times of the operator's clock.
    """

    host: str
    content: dict | Failure
    sent_wall_ms: float
    received_wall_ms: float

    @property
    def clock_ahead_ms(self) -> float:
        """Return how far the host's clock is ahead of the operator's.

        Assumes that the host read ``wall_ms`` half way through the round trip. Not
        defined for a failure.
        """
        midpoint_ms = (self.sent_wall_ms + self.received_wall_ms) / 2
        return self.content["wall_ms"] - midpoint_ms


def fetch_pages(
    addresses: Mapping[str, str],
    path: str,
    query: Mapping[str, str],
    clock: Clock,
    timeout_ms: float,
) -> list[HostPage]:
    """Fetch the page at ``path`` from all hosts concurrently, sorted by host name."""
    http = PoolManager(timeout=Timeout(timeout_ms / MS_PER_S), retries=False)
    full_path = f"{path}?{urlencode(query)}" if query else path

    def fetch(host: str) -> HostPage:
        sent_ms = clock.wall_ms()
        content = _get_json(http, f"http://{addresses[host]}{full_path}")
        return HostPage(host, content, sent_ms, clock.wall_ms())

    return Pool(CONCURRENT_REQUESTS_MAX).map(fetch, sorted(addresses))


def fetch_documents(addresses: Iterable[str], timeout_ms: float) -> Iterator[str]:
    """Yield the configuration document of each entry host that returns one."""
    http = PoolManager(timeout=Timeout(timeout_ms / MS_PER_S), retries=False)
    for address in addresses:
        try:
            response = http.request("GET", f"http://{address}/v1/config")
        except HTTPError:
            continue
        if response.status == HTTPStatus.OK:
            yield response.data.decode(errors="replace")


def _get_json(http: PoolManager, url: str) -> dict | Failure:
    try:
        response = http.request("GET", url)
        content = json.loads(response.data)
    except (HTTPError, ValueError) as error:
        return Failure(ErrorKind.HOME_UNREACHABLE, str(error))
    if response.status != HTTPStatus.OK or not isinstance(content, dict):
        return Failure(
            ErrorKind.INTERNAL,
            f"unexpected status or body from {url}: status {response.status}",
        )
    if not isinstance(content.get("wall_ms"), int | float):
        return Failure(ErrorKind.INTERNAL, f"no wall_ms in the response of {url}")
    return content
