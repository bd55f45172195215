"""HTTP servers of the stand-ins, and relays to daemons, workers and the store."""

import json
from urllib.parse import parse_qsl, urlsplit

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.server import StreamServer
from gevent.socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY, create_connection

# One way, between zones.
CROSS_ZONE_S = 0.0014
# What a partition has held up comes with the next retransmission, after about half as
# long as the partition lasted.
RETRANSMIT_S = 0.4


class _Handler(WSGIHandler):
    def handle(self):
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

    def get_environ(self):
        return super().get_environ() | {"stand-in.socket": self.socket}


def serve(address, handle):
    """Serve ``handle(method, path, query, headers, body)`` at host and port."""

    def application(environ, start_response):
        headers = {
            name[5:].lower().replace("_", "-"): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        headers["socket"] = environ["stand-in.socket"]
        url = urlsplit(environ["PATH_INFO"] + "?" + environ.get("QUERY_STRING", ""))
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        body = environ["wsgi.input"].read()
        answer = handle(environ["REQUEST_METHOD"], url.path, query, headers, body)
        if answer is None:
            environ["stand-in.socket"].shutdown(SHUT_RDWR)
            answer = 500, {}
        status, document = answer
        start_response(f"{status} X", [("Content-Type", "application/json")])
        return [json.dumps(document).encode()]

    server = WSGIServer(
        address, application, handler_class=_Handler, log=None, error_log=None
    )
    server.start()
    return server


class Network:
    """Relays between named parties; data of ``blocked`` pairs waits."""

    def __init__(self):
        """Start without blocked pairs; ``zones`` has the zone of each name."""
        self.blocked = set()
        self.name_by_ip = {}
        self.zones = {}

    def cut(self, name, others):
        """Partition one daemon from the others, in both directions."""
        for other in others:
            self.blocked |= {(name, other), (other, name)}

    def cut_zone(self, zone):
        """Partition a zone from the others and from the store."""
        inside = {name for name, other in self.zones.items() if other == zone}
        for name in inside:
            self.cut(name, {"store", *self.zones} - inside)

    def heal(self):
        """End all partitions."""
        self.blocked.clear()

    def relay(self, listen, target, name):
        """Relay connections from ``listen`` to the party ``name`` at ``target``."""

        def accept(near, address):
            source = self.name_by_ip.get(address[0], "")
            self._wait((source, name))
            try:
                far = create_connection(target, 1.0)
            except OSError:
                near.close()
                return
            far.settimeout(None)
            pipes = [
                gevent.spawn(self._pipe, near, far, (source, name)),
                gevent.spawn(self._pipe, far, near, (name, source)),
            ]
            gevent.joinall(pipes)

        server = StreamServer(listen, accept)
        server.start()
        return server

    def _wait(self, pair):
        if pair not in self.blocked:
            return
        while pair in self.blocked:
            gevent.sleep(0.005)
        gevent.sleep(RETRANSMIT_S)

    def _pipe(self, reader, writer, pair):
        try:
            while data := reader.recv(65_536):
                if self.zones.get(pair[0]) != self.zones.get(pair[1]):
                    gevent.sleep(CROSS_ZONE_S)
                self._wait(pair)
                writer.sendall(data)
        except OSError:
            pass
        finally:
            self._wait(pair)
            near_far = (reader, writer)
            for one in near_far:
                one.close()
