"""Stand-in for the services of the stand-alone version's platform.

``python -m standins.platform --help`` explains its use. Serves a transactional table,
an object store and the host list (the platform's list of workers) from memory. For
tests, ``POST /switches`` injects faults, ``PUT /hosts`` sets the host list and
``GET /counts`` returns the numbers of requests and rows.
"""

if __name__ == "__main__":
    from gevent.monkey import patch_all

    patch_all()

import json
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

import gevent
from attrs import asdict
from bottle import Bottle, HTTPResponse, request
from fire import Fire
from gevent.pywsgi import WSGIServer

from rattanloom.clock import MS_PER_S
from rattanloom.platform.messages import (
    HostsResponse,
    MessageError,
    ReadRequest,
    RowsResponse,
    ScanRequest,
    TransactRequest,
    decode_message,
    encode_message,
)
from rattanloom.platform.protocol import Conflicted, ListedTarget
from standins.handler import drop_connection, serving_at
from standins.platform_state import PlatformState, RateLimit

STALL_CHECK_S = 0.05
BODY_MAX_BYTES = 64_000_000


def make_application(state: PlatformState) -> Bottle:
    """Return the WSGI application that serves ``state``."""
    application = Bottle()
    _add_table_routes(application, state)
    _add_object_routes(application, state)
    _add_host_routes(application, state)
    _add_control_routes(application, state)
    return application


def _add_table_routes(application: Bottle, state: PlatformState) -> None:
    @application.post("/table/read")
    def read() -> HTTPResponse:
        _admit_read(state)
        rows = state.table.read(_decode_body(ReadRequest).keys)
        state.counts.rows_read += len(rows)
        return _json_response(RowsResponse(rows))

    @application.post("/table/scan")
    def scan() -> HTTPResponse:
        _admit_read(state)
        scan_request = _decode_body(ScanRequest)
        rows = state.table.scan(scan_request.prefix, scan_request.limit)
        state.counts.rows_read += len(rows)
        return _json_response(RowsResponse(rows))

    @application.post("/table/transact")
    def transact() -> HTTPResponse:
        _admit_write(state)
        outcome = state.table.transact(_decode_body(TransactRequest).changes)
        conflicted = isinstance(outcome, Conflicted)
        if not conflicted:
            state.counts.rows_written += len(outcome.rows)
        _maybe_lose_reply(state)
        status = HTTPStatus.CONFLICT if conflicted else HTTPStatus.OK
        return _json_response(RowsResponse(outcome.rows), status)


def _add_object_routes(application: Bottle, state: PlatformState) -> None:
    @application.get("/objects/<name:path>")
    def get(name: str) -> HTTPResponse:
        _admit_read(state)
        content = state.objects.get(name)
        if content is None:
            return HTTPResponse(status=HTTPStatus.NOT_FOUND)
        return HTTPResponse(content, status=HTTPStatus.OK)

    @application.put("/objects/<name:path>")
    def put(name: str) -> HTTPResponse:
        _admit_write(state)
        content = request.body.read(BODY_MAX_BYTES)
        if state.objects.setdefault(name, content) != content:
            return HTTPResponse(status=HTTPStatus.CONFLICT)
        _maybe_lose_reply(state)
        return HTTPResponse(status=HTTPStatus.OK)


def _add_host_routes(application: Bottle, state: PlatformState) -> None:
    @application.get("/hosts")
    def hosts() -> HTTPResponse:
        _admit_read(state)
        return _json_response(HostsResponse(state.hosts.read()))

    @application.put("/hosts")
    def replace_hosts() -> HTTPResponse:
        targets = _decode_body(tuple[ListedTarget, ...])
        state.hosts.replace(targets, state.switches.host_list_lag_ms)
        return _json_response(HostsResponse(targets))


def _add_control_routes(application: Bottle, state: PlatformState) -> None:
    @application.get("/switches")
    def switches() -> dict:
        return asdict(state.switches)

    @application.post("/switches")
    def switch() -> dict:
        try:
            return asdict(state.switch(json.loads(request.body.read())))
        except (TypeError, ValueError) as error:
            raise HTTPResponse(str(error), status=HTTPStatus.BAD_REQUEST) from error

    @application.get("/counts")
    def counts() -> dict:
        return asdict(state.counts)


def _decode_body(model: type) -> object:
    try:
        return decode_message(request.body.read(BODY_MAX_BYTES), model)
    except MessageError as error:
        raise HTTPResponse(str(error), status=HTTPStatus.BAD_REQUEST) from error


def _json_response(message: object, status: HTTPStatus = HTTPStatus.OK) -> HTTPResponse:
    headers = {"Content-Type": "application/json"}
    return HTTPResponse(encode_message(message), status=status, headers=headers)


def _admit_read(state: PlatformState) -> None:
    _admit(state, state.read_rate, state.switches.read_limit_per_s)
    state.counts.reads += 1


def _admit_write(state: PlatformState) -> None:
    _admit(state, state.write_rate, state.switches.write_limit_per_s)
    state.counts.writes += 1


def _admit(state: PlatformState, rate: RateLimit, limit_per_s: int) -> None:
    """Apply the faults that come before the request's effect; raise 503 if refused."""
    if state.switches.latency_ms:
        gevent.sleep(state.switches.latency_ms / MS_PER_S)
    if state.switches.stall:
        _stall(state)
    if state.switches.down or not rate.allow(limit_per_s):
        state.counts.refused += 1
        raise HTTPResponse(status=HTTPStatus.SERVICE_UNAVAILABLE)


def _stall(state: PlatformState) -> None:
    while state.switches.stall:
        gevent.sleep(STALL_CHECK_S)
    drop_connection()


def _maybe_lose_reply(state: PlatformState) -> None:
    if state.switches.lose_replies:
        drop_connection()


@contextmanager
def serving(
    state: PlatformState, address: str, log: object = None
) -> Iterator[WSGIServer]:
    """Serve ``state`` at ``address`` (host:port; port 0 selects a free one)."""
    with serving_at(address, make_application(state), log) as server:
        yield server


def main(address: str) -> None:
    """Serve the platform stand-in at ``address`` (host:port) until terminated."""
    with serving(PlatformState(), address) as server:
        print(f"platform stand-in at {address}", flush=True)
        server.serve_forever()


if __name__ == "__main__":
    Fire(main)
