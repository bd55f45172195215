"""Serves the requests that other entry hosts forward over TCP."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from attrs import define, field
from gevent.pool import Group
from gevent.server import StreamServer
from gevent.socket import socket

from rattanloom.clock import MS_PER_S
from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import JobResult, ResultKind
from rattanloom.keys import Keyring
from rattanloom.link_filter import LinkFilter
from rattanloom.logs import get_log
from rattanloom.metrics import Metrics
from rattanloom.peers.addresses import parse_address
from rattanloom.peers.frame_stream import (
    FrameStream,
    write_with_timeout,
)
from rattanloom.peers.messages import (
    Ask,
    Cancel,
    Document,
    FetchConfig,
    FetchTargets,
    Frame,
    Hello,
    MemberRecord,
    Ping,
    Pong,
    Reply,
    Request,
    Submit,
    TargetList,
)
from rattanloom.peers.protocol import JobRequests
from rattanloom.peers.schema import BadMessageError, UnsendableError
from rattanloom.serving.budget import ClientBudget
from rattanloom.serving.budget import Listener as AcceptedConnections

log = get_log("peers")

CONNECTIONS_MAX = 512
HELLO_MAX_BYTES = 65_536  # a longer first frame is refused unread
REQUESTS_MAX = 2_048  # running at once, over all connections
HELLO_TIMEOUT_MS = 2_000
IDLE_TIMEOUT_MS = 120_000  # without data from the peer
WRITE_TIMEOUT_MS = 5_000
LAST_REPLIES_TIMEOUT_MS = 1_000  # for running requests when this host stops


@define(eq=False)
class Listener:
    """Accepts connections; one greenlet reads each, one runs each request.

    A request continues when its connection is lost: its job must not be
    interrupted, and the other host repeats the request on a new connection.
    ``own`` returns this host's current record. Connections share ``budget`` with
    clients, and may be closed for them before the hello: anyone may connect.
    """

    own: Callable[[], MemberRecord]
    seal_key: Keyring
    link_filter: LinkFilter
    config_document: Callable[[int], str | Failure]
    target_list: Callable[[], str | Failure]
    metrics: Metrics
    budget: ClientBudget = field(factory=ClientBudget)
    connections_max: int = CONNECTIONS_MAX
    _accepted: AcceptedConnections = field(init=False)
    _requests: JobRequests | None = None
    _streams: set[FrameStream] = field(factory=set)
    _request_greenlets: Group = field(factory=Group)

    def __attrs_post_init__(self) -> None:
        self._accepted = self.budget.add_listener(
            "hosts", self.connections_max, is_internal=True
        )

    @contextmanager
    def running(self, requests: JobRequests) -> Iterator[None]:
        """Serve connections; on exit, wait briefly for the running requests."""
        self._requests = requests
        address = parse_address(self.own().address)
        connections = Group()
        server = StreamServer(address, self._serve, spawn=connections.spawn)
        server.start()
        try:
            yield
        finally:
            self._request_greenlets.join(LAST_REPLIES_TIMEOUT_MS / MS_PER_S)
            server.stop(timeout=0)
            connections.kill()

    def _serve(self, connection: socket, _address: tuple) -> None:
        holding = self.budget.admit(self._accepted, connection.close)
        if holding is None:
            connection.close()
            return
        stream = FrameStream(
            connection, self.seal_key, self.link_filter, holding=holding
        )
        self._streams.add(stream)
        try:
            self._exchange_hellos(stream)
            self._read_all(stream)
        except BadMessageError as error:
            self.metrics.count("peer_frames_refused")
            self.budget.count_closed(self._accepted, "invalid_frame")
            log.debug("Closed a peer connection after an invalid frame: {}.", error)
        except OSError:
            self.metrics.count("peer_connections_lost")
        finally:
            self._streams.discard(stream)
            holding.release()
            stream.close()

    def _exchange_hellos(self, stream: FrameStream) -> None:
        """Exchange hellos; a peer that the link filter blocks gets no reply."""
        if not stream.holding.begin_request():
            raise OSError("no memory for a hello")
        with gevent.Timeout(HELLO_TIMEOUT_MS / MS_PER_S, TimeoutError("no hello")):
            frame = stream.read(HELLO_MAX_BYTES)
        if frame is None or not isinstance(frame.body, Hello):
            raise BadMessageError("the first frame is not a hello")
        if not stream.holding.begin_serving():
            raise OSError("closed for the memory of other connections")
        stream.peer_address = frame.body.record.address
        stream.socket.settimeout(IDLE_TIMEOUT_MS / MS_PER_S)
        if self.link_filter.may_receive(stream.peer_address):
            stream.write(Frame(Hello(self.own())))

    def _read_all(self, stream: FrameStream) -> None:
        while (frame := stream.read()) is not None:
            if isinstance(frame.body, Ping):
                self._reply(stream, Frame(Pong()))
            elif len(self._request_greenlets) >= REQUESTS_MAX:
                self._reply(
                    stream, Frame(_overloaded_reply(frame.body), frame.request_id)
                )
            else:
                self._request_greenlets.spawn(self._run, stream, frame)

    def _run(self, stream: FrameStream, frame: Frame) -> None:
        try:
            reply = self._handle(frame.body)
        except Exception as error:
            log.error("A forwarded request failed: {!r}.", error)
            reply = Failure(
                ErrorKind.INTERNAL,
                "internal error at the host that handled the request",
            )
        self._reply(stream, Frame(reply, frame.request_id))

    def _reply(self, stream: FrameStream, frame: Frame) -> None:
        try:
            write_with_timeout(stream, frame, WRITE_TIMEOUT_MS / MS_PER_S)
        except UnsendableError as error:
            reason = f"the reply cannot be sent: {error}; query the issuer itself"
            reply = Failure(ErrorKind.INTERNAL, reason)
            self._reply(stream, Frame(reply, frame.request_id))
        except OSError:
            self.metrics.count("peer_replies_lost")
            stream.close()

    def _handle(self, body: Request) -> Reply:
        match body:
            case Submit(job):
                return self._requests.submit_here(job)
            case Ask(job_id, wait_ms):
                return self._requests.ask_here(job_id, wait_ms)
            case Cancel(job_id):
                return self._requests.cancel_here(job_id)
            case FetchConfig(version):
                document = self.config_document(version)
                return document if _is_failure(document) else Document(document)
            case FetchTargets():
                targets = self.target_list()
                return targets if _is_failure(targets) else TargetList(targets)
        return Failure(
            ErrorKind.BAD_REQUEST, "this frame is not a request between hosts"
        )


def _is_failure(result: str | Failure) -> bool:
    return isinstance(result, Failure)


def _overloaded_reply(body: Request) -> Reply:
    """Return the reply to a request that is refused without being handled.

    A refused submission may repeat one that already runs, so its outcome is
    unknown.
    """
    failure = Failure(
        ErrorKind.OVERLOADED,
        "too many forwarded requests at once",
        ran=Ran.MAY_HAVE_RUN,
    )
    if isinstance(body, Submit):
        return JobResult(body.job.job_id, ResultKind.UNKNOWN, failure=failure)
    return failure
