"""Tests of the pings on links, and of links that are closed as lost."""

import socket
from itertools import pairwise

import gevent
from attrs import define, field

from rattanloom.links.codec import encode_message
from rattanloom.links.keepalive import PING_EARLY_MS, LinkKeepalive
from rattanloom.links.link import (
    PING,
    PING_FRAME,
    PING_INTERVAL_MS,
    RECEIVE_TIMEOUT_MS,
    Link,
    encode_frame,
    send_to_all,
)
from rattanloom.links.messages import Cancel, Hello, TakeZones
from tests.dispatcher_fakes import CLOCK, wait_for
from tests.test_links import make_hub


@define(eq=False)
class FakeSocket:
    """Takes ``room`` bytes of each write, and records when."""

    clock: "ManualClock"
    room: int = 1_000
    sent_ms: list[float] = field(factory=list)

    def send(self, content: bytes, timeout: float) -> int:
        if not self.room:
            raise BlockingIOError
        self.sent_ms.append(self.clock.now_ms())
        return min(self.room, len(content))

    def close(self) -> None:
        """Do nothing."""


@define(eq=False)
class ManualClock:
    """A clock that the test advances."""

    time_ms: float = 1_000

    def now_ms(self) -> float:
        return self.time_ms


def make_link(clock: ManualClock, room: int = 1_000) -> Link:
    link = Link(FakeSocket(clock, room), clock, Hello("n1", "a", "", 1), None)
    link.last_received_ms = clock.now_ms()
    return link


def test_idle_links_are_pinged_in_time_with_few_wake_ups():
    # Each link had a timer of its own: an owner woke up for each ping on each link.
    clock = ManualClock()
    links = [make_link(clock) for _ in range(30)]
    for number, link in enumerate(links):
        link.ping_due_ms = clock.now_ms() + 5 * number
    keepalive = LinkKeepalive(clock, lambda: links)
    wake_ups = 0
    while clock.now_ms() < 4_000:
        clock.time_ms += keepalive.serve_links()
        wake_ups += 1
        for link in links:
            link.last_received_ms = clock.now_ms()
    # At most one group of pings in PING_EARLY_MS.
    assert wake_ups <= 3_000 / PING_EARLY_MS
    for link in links:
        sent_ms = [1_000, *link.socket.sent_ms]
        gaps = [after - before for before, after in pairwise(sent_ms)]
        assert max(gaps) <= PING_INTERVAL_MS
        assert min(gaps[1:]) >= PING_INTERVAL_MS - PING_EARLY_MS


def test_link_without_data_is_closed_when_its_time_is_over():
    clock = ManualClock()
    link = make_link(clock)
    keepalive = LinkKeepalive(clock, lambda: [link])
    wait_ms = keepalive.serve_links()
    while not link.closed:
        clock.time_ms += wait_ms
        wait_ms = keepalive.serve_links()
    assert clock.now_ms() == 1_000 + RECEIVE_TIMEOUT_MS + 1


def test_link_is_kept_if_data_arrived_while_this_process_was_delayed():
    clock = ManualClock()
    link = make_link(clock)
    keepalive = LinkKeepalive(clock, lambda: [link])
    keepalive.serve_links()
    clock.time_ms += 2 * RECEIVE_TIMEOUT_MS
    clock.time_ms += keepalive.serve_links()
    # The reader gets its turn.
    link.last_received_ms = clock.now_ms()
    keepalive.serve_links()
    assert not link.closed


def test_ping_that_the_socket_does_not_take_is_queued():
    clock = ManualClock()
    for room, rest in ((0, PING_FRAME), (5, PING_FRAME[5:]), (1_000, b"")):
        link = make_link(clock, room)
        link.send_ping()
        assert b"".join(frame for _, frame in link._outgoing) == rest
        # No second ping behind data that waits.
        link.send_ping()
        assert link.unsent() in ((), (PING,))


def test_messages_written_at_once_do_not_overtake_queued_ones():
    first, second = [], []
    one, two = make_hub("n1", first), make_hub("n2", second)
    with one.serving(), two.serving():
        one.keep_link("n2", two.own_hello.address, CLOCK.now_ms() + 60_000)
        assert wait_for(lambda: one.link("n2") and two.link("n1"))
        send_to_all([one.link("n2")], Cancel("w"))
        one.link("n2").send(Cancel("x"))
        send_to_all([one.link("n2")], Cancel("y"))
        assert wait_for(lambda: len(second) == 4)
        assert [message.job_id for _, message in second[1:]] == ["w", "x", "y"]


def test_link_is_lost_if_its_peer_sends_but_does_not_read():
    events = []
    hub = make_hub("n1", events)
    hello = encode_frame(Hello("n2", "a", "127.0.0.1:1", 1))
    with hub.serving(), socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        hub.keep_link("n2", address, CLOCK.now_ms() + 60_000)
        connection, _ = server.accept()
        connection.sendall(hello)
        assert wait_for(lambda: ("n2", "open") in events)

        def send_pings():
            while ("n2", "lost") not in events:
                connection.sendall(PING_FRAME)
                gevent.sleep(0.05)

        pinging = gevent.spawn(send_pings)
        message = TakeZones((), ("w" * 500_000,))
        assert len(encode_message(message)) < 1_000_000
        for _ in range(40):
            hub.link("n2").send(message)
        assert wait_for(lambda: ("n2", "lost") in events)
        pinging.kill()
        connection.close()
