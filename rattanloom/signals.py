"""Signals that stop a program gracefully."""

import signal
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent.event import Event


@contextmanager
def stop_signals(stop: Event) -> Iterator[None]:
    """Set ``stop`` on SIGTERM or SIGINT while the block runs."""
    watchers = [
        gevent.signal_handler(number, stop.set)
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    try:
        yield
    finally:
        for watcher in watchers:
            watcher.cancel()
