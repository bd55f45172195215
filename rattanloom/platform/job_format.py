"""Parses the jobs that clients post to the daemon; encodes the response bodies."""

from math import isfinite

from attrs import frozen
from msgspec import Struct

from rattanloom.ingress.queues import Queue
from rattanloom.placement.jobs import JobPolicy, Step, SubmittedJob
from rattanloom.placement.workers import Resources
from rattanloom.platform.json_format import FormatError, encode, parse

SPEC_MAX_BYTES = 4_000
STEPS_MAX = 100
TASKS_MAX = 1_000
JOB_ID_LENGTH = 16
LABEL_LENGTH_MAX = 100
# No worker has a label of this length; the rest of a longer one is not kept.
REQUIRED_LABEL_KEPT_CHARS = 201
# An hour; a longer estimate is an error of the client.
ESTIMATE_MAX_MS = 3_600_000
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class WireStep(
    Struct,
    frozen=True,
    rename={"estimate_ms": "est_ms", "per_worker_max": "anti_affinity"},
):
    """One step of a posted job: ``count`` equal tasks. Other fields may be omitted.

    ``cpu``, in thousandths of a core, ``mem_mb`` and ``gpu`` are the need of one task,
    ``after`` the numbers of the earlier steps that must finish first. ``affinity`` is
    the label of the rack that has the step's data.
    """

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    required_label: str = ""
    per_worker_max: int = 0
    affinity: str = ""


class WireJob(Struct, frozen=True, rename={"is_best_effort": "best_effort"}):
    """The body of a request that posts a job."""

    spec: str
    steps: tuple[WireStep, ...]
    is_best_effort: bool = False


@frozen
class PostedJob:
    """A parsed job; ``is_durable`` if it should outlive the request that posted it."""

    job: SubmittedJob
    is_durable: bool


def is_job_id(text: str) -> bool:
    """Return whether ``text``, from the path of a request, is a valid job id."""
    return len(text) == JOB_ID_LENGTH and HEX_DIGITS.issuperset(text)


def parse_job_request(
    job_id: str, body: bytes, queue: Queue, remaining_ms: float
) -> PostedJob:
    """Return the job in a request body; raise ``FormatError`` if it is invalid.

    Its policy is that of ``queue``; its client waits for ``remaining_ms``.
    """
    wire = parse(body, WireJob)
    if len(wire.spec.encode()) > SPEC_MAX_BYTES:
        raise FormatError(f"spec is longer than {SPEC_MAX_BYTES} bytes")
    _check_steps(wire.steps)
    policy = JobPolicy(
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.slack_factor,
        queue.latency_target_ms,
        queue.name,
        queue.guards_capacity,
    )
    steps = tuple(_to_step(step) for step in wire.steps)
    job = SubmittedJob(job_id, wire.spec, steps, policy, remaining_ms)
    return PostedJob(job, not wire.is_best_effort)


def encode_state(state: str) -> bytes:
    """Return the response body for the state of a finished job."""
    return encode({"state": state})


def encode_error(reason: str) -> bytes:
    """Return the response body for an error."""
    return encode({"error": reason})


def _check_steps(steps: tuple[WireStep, ...]) -> None:
    if not 1 <= len(steps) <= STEPS_MAX:
        raise FormatError(f"steps has {len(steps)} entries; expected 1 to {STEPS_MAX}")
    if sum(step.count for step in steps) > TASKS_MAX:
        raise FormatError(f"the steps have more than {TASKS_MAX} tasks in total")
    for number, step in enumerate(steps):
        amounts = (step.cpu, step.mem_mb, step.gpu, step.estimate_ms)
        if step.count < 1 or min(amounts) < 0 or step.per_worker_max < 0:
            raise FormatError(f"steps[{number}] has a negative amount or no tasks")
        if not isfinite(step.estimate_ms):
            raise FormatError(f"steps[{number}].est_ms is not a finite number")
        if step.estimate_ms > ESTIMATE_MAX_MS:
            raise FormatError(f"steps[{number}].est_ms is above {ESTIMATE_MAX_MS}")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise FormatError(f"steps[{number}].after must only list earlier steps")


def _is_label(text: str) -> bool:
    """Return whether ``text`` may be a worker's label; others are not sent on."""
    return len(text) <= LABEL_LENGTH_MAX and text.isprintable()


def _to_step(wire: WireStep) -> Step:
    return Step(
        wire.count,
        Resources(wire.cpu, wire.mem_mb, wire.gpu),
        wire.estimate_ms,
        tuple(dict.fromkeys(wire.after)),
        wire.required_label[:REQUIRED_LABEL_KEPT_CHARS],
        wire.per_worker_max,
        wire.affinity if _is_label(wire.affinity) else "",
    )
