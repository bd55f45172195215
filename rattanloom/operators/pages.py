"""HTTP pages that an entry host serves to operators and the load balancer."""

from http import HTTPStatus

from attrs import asdict, define, field
from bottle import Bottle, HTTPResponse, request

from rattanloom.callers.api import JSON_CONTENT_TYPE, failure_response, json_response
from rattanloom.callers.submission import parse_body
from rattanloom.configuration import Configuration
from rattanloom.environment import Environment
from rattanloom.errors import Failure
from rattanloom.metrics import Metrics
from rattanloom.peers.protocol import Member
from rattanloom.peers.service import PeerService
from rattanloom.quota import JOIN_MS
from rattanloom.resources import own_usage
from rattanloom.serving.budget import ClientBudget
from rattanloom.settings import EntrySettings
from rattanloom.targets.directory import TargetDirectory
from rattanloom.timeline import Timeline, event_to_json

PROMETHEUS_TEXT = "text/plain; version=0.0.4"


@define
class HostState:
    """Whether this host is leaving, for the health page."""

    leaving: bool = False


@define(frozen=True)
class BlockedAddresses:
    """Body of ``POST /v1/test/blocked``: peer addresses to cut this host off from."""

    addresses: tuple[str, ...] = ()


@define(eq=False)
class OperatorPages:
    """Health, metrics, status, timeline and configuration pages of a host."""

    settings: EntrySettings
    environment: Environment
    incarnation: str
    state: HostState
    configuration: Configuration
    peers: PeerService
    directory: TargetDirectory
    metrics: Metrics
    timeline: Timeline
    client_budget: ClientBudget
    started_ms: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_ms = self.environment.clock.now_ms()

    def add_routes(self, app: Bottle) -> None:
        """Add the routes of the pages to an application."""
        app.get("/health", callback=self.get_health)
        app.get("/metrics", callback=self.get_metrics)
        app.get("/v1/status", callback=self.get_status)
        app.get("/v1/timeline", callback=self.get_timeline)
        app.get("/v1/config", callback=self.get_config)
        app.post("/v1/config/look", callback=self.post_config_look)
        if self.settings.test_aids:
            app.post("/v1/test/blocked", callback=self.post_blocked)

    def get_health(self) -> HTTPResponse:
        """Return 200 if the load balancer should send requests to this host, or 503.

        A host reports "starting" for ``JOIN_MS`` after its start, the time in which it
        receives its peers' messages and learns its shares of the quotas.
        """
        health = self._health()
        status = HTTPStatus.OK if health == "ok" else HTTPStatus.SERVICE_UNAVAILABLE
        return json_response({"health": health}, status)

    def _health(self) -> str:
        if self.state.leaving:
            return "leaving"
        if self.configuration.rules() is None:
            return "no_configuration"
        if self.environment.clock.now_ms() - self.started_ms < JOIN_MS:
            return "starting"
        return "ok"

    def get_metrics(self) -> HTTPResponse:
        """Return the metrics as Prometheus text."""
        usage = own_usage()
        self.metrics.gauge("memory_bytes", usage.memory_bytes)
        self.metrics.gauge("processor_seconds", usage.processor_s)
        self.metrics.gauge("config_version", self.configuration.version())
        self.client_budget.update_gauges()
        return HTTPResponse(
            self.metrics.render(), headers={"Content-Type": PROMETHEUS_TEXT}
        )

    def get_status(self) -> HTTPResponse:
        """Return this host's active version, usage, and view of members and targets."""
        return json_response(
            {
                "host": self.settings.host,
                "zone": self.settings.zone,
                "region": self.settings.region,
                "incarnation": self.incarnation,
                "health": self._health(),
                "wall_ms": self.environment.clock.wall_ms(),
                "config_version": self.configuration.version(),
                "config": asdict(self.configuration.status()),
                "members": [_member_to_json(m) for m in self.peers.members()],
                "targets": self.directory.describe(),
                "capacity": asdict(self.directory.capacity()),
                "usage": asdict(own_usage()),
            }
        )

    def get_timeline(self) -> HTTPResponse:
        """Return this host's events, filtered by job, task and target."""
        events = self.timeline.events(
            job_id=request.query.get("job", ""), target=request.query.get("target", "")
        )
        task = request.query.get("task", "")
        if task:
            events = [event for event in events if str(event.task) == task]
        return json_response(
            {
                "process": self.settings.host,
                "wall_ms": self.environment.clock.wall_ms(),
                "events": [event_to_json(event) for event in events],
            }
        )

    def get_config(self) -> HTTPResponse:
        """Return the newest configuration document held here, active or not."""
        document = self.configuration.document(0)
        if isinstance(document, Failure):
            return failure_response(document)
        return HTTPResponse(document, headers={"Content-Type": JSON_CONTENT_TYPE})

    def post_config_look(self) -> HTTPResponse:
        """Handle a notification that a new configuration version was published."""
        self.configuration.poll_on_hint()
        version = self.configuration.version()
        return json_response({"config_version": version}, HTTPStatus.ACCEPTED)

    def post_blocked(self) -> HTTPResponse:
        """Cut this host off from the given peer addresses, and from no others."""
        raw = request.environ["wsgi.input"].read(self.settings.body_max_bytes)
        body = parse_body(raw, BlockedAddresses)
        if isinstance(body, Failure):
            return failure_response(body)
        self.peers.unblock()
        self.peers.block(body.addresses)
        return json_response({"blocked": list(body.addresses)})


def _member_to_json(member: Member) -> dict:
    return asdict(member) | {"state": member.state.value}
