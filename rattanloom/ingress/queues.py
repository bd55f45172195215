"""The queues that operators configure, and the matching of requests to queues."""

from attrs import define, field, frozen

from rattanloom.serving.limits import RequestLimits


@frozen
class Queue:
    """One queue of jobs, posted to ``host`` (a DNS name) under ``path_prefix``.

    Its tasks run on the workers of ``service``; ``priority`` 0 is the highest. A
    job's latency objective is ``slack_factor`` times its critical path plus
    ``latency_target_ms``. ``timeout_ms`` is the deadline of a job posted without one.
    ``guards_capacity`` is that of ``JobPolicy``.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    latency_target_ms: float = 0
    timeout_ms: float = 1_500
    guards_capacity: bool = True


@frozen
class Configuration:
    """One version of the operator's queues and limits."""

    version: int
    queues: tuple[Queue, ...]
    limits: RequestLimits = field(factory=RequestLimits)


@define(eq=False, repr=False)
class QueueTable:
    """Finds the queue of a request by host and longest matching path prefix."""

    configuration: Configuration | None = None
    _by_host: dict[str, list[Queue]] = field(factory=dict)

    def replace(self, configuration: Configuration) -> bool:
        """Activate a configuration if its version is newer than the active one.

        Return whether it was activated.
        """
        if self.configuration and configuration.version <= self.configuration.version:
            return False
        by_host: dict[str, list[Queue]] = {}
        for queue in configuration.queues:
            by_host.setdefault(queue.host, []).append(queue)
        for queues in by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        self._by_host = by_host
        self.configuration = configuration
        return True

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue for a ``Host`` header and a path; None if none matches."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for queue in self._by_host.get(name.lower(), ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None
