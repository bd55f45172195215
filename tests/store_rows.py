"""Rows that the platform writes into the stand-in for its metadata store."""

import json
from base64 import b64encode

from standins.store import Store
from standins.table_rows import RowRef


def write_configuration(store: Store, version: int, prefixes: tuple[str, ...]) -> None:
    """Write a configuration with one queue at host ``h`` for each path prefix."""
    routes = [
        {"name": prefix, "host": "h", "path_prefix": prefix, "service": "s"}
        for prefix in prefixes
    ]
    write_row(store, "op", "config", {"version": version, "routes": routes})


def write_worker(
    store: Store,
    worker_id: str,
    state: str = "ready",
    service: str = "s",
    cpu_millicores: int = 32_000,
    incarnation_ms: int = 0,
) -> None:
    """Write the entry of a worker in zone ``a``."""
    entry = {
        "born": incarnation_ms,
        "service": service,
        "addr": "127.0.0.1:1",
        "zone": "a",
        "state": state,
        "capacity": {"cpu": cpu_millicores, "mem_mb": 64_000},
    }
    write_row(store, "servers", worker_id, entry)


def write_row(store: Store, table: str, key: str, document: dict) -> None:
    """Write one row and wake the polls for changes."""
    value = b64encode(json.dumps(document).encode()).decode()
    store.write([(RowRef(table, "", key), value)])
