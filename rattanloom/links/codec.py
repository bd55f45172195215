"""Encodes and decodes the messages between daemons (``links.capnp``).

In the functions, ``slot`` is the Cap'n Proto struct of a message or of a part of it.
"""

from collections.abc import Callable
from math import isfinite
from pathlib import Path

import capnp

from rattanloom.links.messages import (
    AnnouncedLoad,
    Cancel,
    FreeCapacity,
    Hello,
    JobCancelled,
    JobReleased,
    JobsHeld,
    JobsReturned,
    LeaseProbe,
    LeaseProbeReply,
    Message,
    Outcome,
    OwnedZones,
    OwnerLivenessQuery,
    OwnerLivenessReply,
    Ping,
    ReleaseJob,
    RunLosses,
    Submit,
    SubmitRejected,
    TakeZones,
    Withdraw,
    WorkersInUse,
    ZoneClaims,
)
from rattanloom.placement.crash_records import LossState, RunLoss
from rattanloom.placement.jobs import (
    JobOutcome,
    JobPolicy,
    OutcomeKind,
    ReturnedJob,
    Step,
    SubmittedJob,
)
from rattanloom.placement.workers import Resources
from rattanloom.scheduling.zone_load import PriorityLoad, ZoneLoad

SCHEMA = capnp.load(str(Path(__file__).with_name("links.capnp")))
# Highest value of the field ``priority``, which has 16 bits.
PRIORITY_MAX = 65_535


class BadMessageError(Exception):
    """Raised for bytes that are not a valid message."""


def encode_message(message: Message) -> bytes:
    """Return the Cap'n Proto bytes of a message."""
    builder = SCHEMA.Message.new_message()
    _WRITERS[type(message)](builder, message)
    return builder.to_bytes()


def decode_message(content: bytes) -> Message:
    """Decode ``content``; raise ``BadMessageError`` if it is invalid."""
    try:
        with SCHEMA.Message.from_bytes(content) as reader:
            return _READERS[reader.which()](reader)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise BadMessageError(str(error)) from error


def _write_hello(builder: object, hello: Hello) -> None:
    slot = builder.init("hello")
    slot.node = hello.node
    slot.zone = hello.zone
    slot.address = hello.address
    slot.startedWallMs = hello.started_wall_ms
    slot.protocolVersion = hello.protocol_version
    slot.zones = list(hello.zones)
    slot.tokens = list(hello.tokens)


def _read_hello(reader: object) -> Hello:
    slot = reader.hello
    return Hello(
        slot.node,
        slot.zone,
        slot.address,
        slot.startedWallMs,
        slot.protocolVersion,
        *_read_owned(slot),
    )


def _read_owned(slot: object) -> tuple[tuple[str, ...], tuple[int, ...]]:
    """Return the zones and their tokens; raise ``ValueError`` if some lack a token."""
    zones, tokens = tuple(slot.zones), tuple(slot.tokens)
    if len(zones) != len(tokens):
        raise ValueError(f"{len(zones)} zones with {len(tokens)} fencing tokens")
    return zones, tokens


def _write_submit(builder: object, submit: Submit) -> None:
    slot = builder.init("submit")
    job, policy = submit.job, submit.job.policy
    slot.jobId = job.job_id
    slot.spec = job.spec.encode(errors="surrogatepass")
    slot.service = policy.service
    slot.priority = _wire_priority(policy.priority)
    slot.maxAttempts = policy.max_attempts
    slot.slackFactor = policy.slack_factor
    slot.latencyTargetMs = policy.latency_target_ms
    slot.remainingMs = job.remaining_ms
    slot.waitedMs = job.waited_ms
    slot.formerPlacers = list(submit.former_placers)
    slot.completedBy = submit.completed_by
    slot.submission = submit.submission
    slot.queue = policy.queue
    slot.guardsCapacity = policy.guards_capacity
    step_slots = slot.init("steps", len(job.steps))
    for step_slot, step in zip(step_slots, job.steps, strict=True):
        _write_step(step_slot, step)


def _wire_priority(priority: int) -> int:
    """Return a priority in the range of the field; configurations have no limit."""
    return min(max(priority, 0), PRIORITY_MAX)


def _write_step(slot: object, step: Step) -> None:
    slot.count = step.count
    slot.cpuMillicores = step.need.cpu_millicores
    slot.memoryMb = step.need.memory_mb
    slot.gpus = step.need.gpus
    slot.estimateMs = step.estimate_ms
    slot.after = list(step.after)
    slot.requiredLabel = step.required_label
    slot.perWorkerMax = step.per_worker_max
    slot.affinity = step.affinity


def _read_submit(reader: object) -> Submit:
    slot = reader.submit
    policy = JobPolicy(
        slot.service,
        slot.priority,
        slot.maxAttempts,
        slot.slackFactor,
        slot.latencyTargetMs,
        slot.queue,
        slot.guardsCapacity,
    )
    job = SubmittedJob(
        slot.jobId,
        bytes(slot.spec).decode(errors="surrogatepass"),
        tuple(_read_step(step) for step in slot.steps),
        policy,
        slot.remainingMs,
        slot.waitedMs,
    )
    _check_job(job)
    return Submit(job, tuple(slot.formerPlacers), slot.completedBy, slot.submission)


def _check_job(job: SubmittedJob) -> None:
    """Raise ``ValueError`` for a job that clients can't have posted."""
    policy = job.policy
    amounts = (
        job.remaining_ms,
        job.waited_ms,
        policy.slack_factor,
        policy.latency_target_ms,
        *(step.estimate_ms for step in job.steps),
    )
    if not all(map(isfinite, amounts)):
        raise ValueError(f"job {job.job_id} has an amount that is not finite")
    if not job.steps or min(step.count for step in job.steps) < 1:
        raise ValueError(f"job {job.job_id} has no steps, or one without tasks")
    for number, step in enumerate(job.steps):
        if any(earlier >= number for earlier in step.after):
            raise ValueError(f"a step of job {job.job_id} is after a later one")


def _read_step(slot: object) -> Step:
    return Step(
        slot.count,
        Resources(slot.cpuMillicores, slot.memoryMb, slot.gpus),
        slot.estimateMs,
        tuple(slot.after),
        slot.requiredLabel,
        slot.perWorkerMax,
        slot.affinity,
    )


def _write_outcome(builder: object, message: Outcome) -> None:
    slot = builder.init("outcome")
    outcome = message.outcome
    slot.jobId = outcome.job_id
    slot.kind = outcome.kind.value
    slot.reason = outcome.reason
    slot.retryAfterMs = outcome.retry_after_ms
    slot.submission = message.submission


def _read_outcome(reader: object) -> Outcome:
    slot = reader.outcome
    return Outcome(
        JobOutcome(slot.jobId, OutcomeKind(slot.kind), slot.reason, slot.retryAfterMs),
        slot.submission,
    )


def _write_load(builder: object, message: AnnouncedLoad) -> None:
    load, slot = message.load, builder.init("zoneLoad")
    slot.freeMillicores = load.free_millicores
    slot.capacityMillicores = load.capacity_millicores
    slot.ownArrivingMillicores = load.own_arriving_millicores
    priority_slots = slot.init("priorities", len(load.priorities))
    for priority_slot, priority_load in zip(
        priority_slots, load.priorities, strict=True
    ):
        priority_slot.priority = _wire_priority(priority_load.priority)
        priority_slot.waitingMillicoreMs = priority_load.waiting_millicore_ms
        priority_slot.arrivingMillicores = priority_load.arriving_millicores


def _read_load(reader: object) -> AnnouncedLoad:
    slot = reader.zoneLoad
    priorities = tuple(
        PriorityLoad(load.priority, load.waitingMillicoreMs, load.arrivingMillicores)
        for load in slot.priorities
    )
    return AnnouncedLoad(
        ZoneLoad(
            slot.freeMillicores,
            slot.capacityMillicores,
            slot.ownArrivingMillicores,
            priorities,
        )
    )


def _write_liveness_reply(builder: object, reply: OwnerLivenessReply) -> None:
    slot = builder.init("ownerAnswer")
    slot.owner = reply.owner
    slot.hears = reply.is_alive
    slot.zones = list(reply.zones)


def _read_liveness_reply(reader: object) -> OwnerLivenessReply:
    slot = reader.ownerAnswer
    return OwnerLivenessReply(slot.owner, slot.hears, tuple(slot.zones))


def _write_attribute(
    union_member: str, attribute: str
) -> Callable[[object, Message], None]:
    """Return a writer for a message of which only one attribute is sent."""

    def write(builder: object, message: Message) -> None:
        setattr(builder, union_member, getattr(message, attribute))

    return write


def _write_rejected(builder: object, message: SubmitRejected) -> None:
    if not message.submission:
        builder.submitRejected = message.job_id
        return
    slot = builder.init("submissionRejected")
    slot.jobId, slot.submission = message.job_id, message.submission


def _write_withdraw(builder: object, message: Withdraw) -> None:
    slot = builder.init("withdraw")
    slot.jobId, slot.submission = message.job_id, message.submission
    slot.moved = message.moved


def _read_withdraw(reader: object) -> Withdraw:
    slot = reader.withdraw
    return Withdraw(slot.jobId, slot.submission, slot.moved)


def _write_jobs_held(builder: object, message: JobsHeld) -> None:
    slot = builder.init("jobsHeld")
    slot.jobIds, slot.endedIds = list(message.job_ids), list(message.ended_ids)
    slot.isComplete = message.is_complete


def _write_release(builder: object, message: ReleaseJob) -> None:
    slot = builder.init("releaseJob")
    slot.jobId, slot.ageMs = message.job_id, message.age_ms
    slot.submission, slot.moves = message.submission, message.moves
    slot.isWithdrawn = message.is_withdrawn


def _read_release(reader: object) -> ReleaseJob:
    slot = reader.releaseJob
    return ReleaseJob(
        slot.jobId, slot.ageMs, slot.submission, slot.moves, slot.isWithdrawn
    )


def _write_released(builder: object, message: JobReleased) -> None:
    slot = builder.init("jobReleased")
    slot.jobId, slot.released = message.job_id, message.released


def _write_claims(builder: object, message: ZoneClaims) -> None:
    slot = builder.init("zoneClaims")
    slot.owner = message.owner
    slot.claim = message.claim
    slot.zones = list(message.zones)
    slot.epochs = list(message.epochs)


def _read_claims(reader: object) -> ZoneClaims:
    slot = reader.zoneClaims
    return ZoneClaims(slot.owner, slot.claim, tuple(slot.zones), tuple(slot.epochs))


def _write_zones(builder: object, message: TakeZones) -> None:
    slot = builder.init("takeZones")
    slot.zones = list(message.zones)
    slot.workers = list(message.workers)


def _write_owned_zones(builder: object, message: OwnedZones) -> None:
    slot = builder.init("ownedZones")
    slot.zones = list(message.zones)
    slot.tokens = list(message.tokens)


def _write_losses(builder: object, message: RunLosses) -> None:
    slots = builder.init("runLosses", len(message.losses))
    for slot, loss in zip(slots, message.losses, strict=True):
        slot.task = loss.task
        slot.worker = loss.worker_id
        slot.incarnationMs = loss.incarnation_ms
        slot.alone = loss.alone
        slot.state = loss.state.value


def _read_losses(reader: object) -> RunLosses:
    return RunLosses(
        tuple(
            RunLoss(
                slot.task,
                slot.worker,
                slot.incarnationMs,
                slot.alone,
                LossState(slot.state),
            )
            for slot in reader.runLosses
        )
    )


def _write_returned_jobs(builder: object, message: JobsReturned) -> None:
    slots = builder.init("jobsReturned", len(message.jobs))
    for slot, job in zip(slots, message.jobs, strict=True):
        slot.jobId = job.job_id
        slot.submits = job.submits
        slot.retryAfterMs = job.retry_after_ms
        slot.submission = job.submission


def _read_returned_jobs(reader: object) -> JobsReturned:
    return JobsReturned(
        tuple(
            ReturnedJob(slot.jobId, slot.submits, slot.retryAfterMs, slot.submission)
            for slot in reader.jobsReturned
        )
    )


_WRITERS: dict[type, Callable[[object, Message], None]] = {
    Hello: _write_hello,
    Ping: lambda builder, _: setattr(builder, "ping", None),
    LeaseProbe: _write_attribute("probe", "sent_ms"),
    LeaseProbeReply: _write_attribute("probeReply", "sent_ms"),
    FreeCapacity: _write_attribute("room", "millicores"),
    AnnouncedLoad: _write_load,
    Submit: _write_submit,
    SubmitRejected: _write_rejected,
    Cancel: _write_attribute("cancel", "job_id"),
    Withdraw: _write_withdraw,
    JobCancelled: _write_attribute("jobCancelled", "job_id"),
    JobsHeld: _write_jobs_held,
    ReleaseJob: _write_release,
    JobReleased: _write_released,
    Outcome: _write_outcome,
    RunLosses: _write_losses,
    JobsReturned: _write_returned_jobs,
    OwnerLivenessQuery: _write_attribute("askOwner", "owner"),
    OwnerLivenessReply: _write_liveness_reply,
    TakeZones: _write_zones,
    ZoneClaims: _write_claims,
    OwnedZones: _write_owned_zones,
    WorkersInUse: lambda builder, message: setattr(
        builder, "workersInUse", list(message.workers)
    ),
}

_READERS: dict[str, Callable[[object], Message]] = {
    "hello": _read_hello,
    "ping": lambda reader: Ping(),
    "probe": lambda reader: LeaseProbe(reader.probe),
    "probeReply": lambda reader: LeaseProbeReply(reader.probeReply),
    "room": lambda reader: FreeCapacity(reader.room),
    "zoneLoad": _read_load,
    "submit": _read_submit,
    "submitRejected": lambda reader: SubmitRejected(reader.submitRejected),
    "submissionRejected": lambda reader: SubmitRejected(
        reader.submissionRejected.jobId, reader.submissionRejected.submission
    ),
    "cancel": lambda reader: Cancel(reader.cancel),
    "withdraw": _read_withdraw,
    "jobCancelled": lambda reader: JobCancelled(reader.jobCancelled),
    "jobsHeld": lambda reader: JobsHeld(
        tuple(reader.jobsHeld.jobIds),
        tuple(reader.jobsHeld.endedIds),
        reader.jobsHeld.isComplete,
    ),
    "releaseJob": _read_release,
    "jobReleased": lambda reader: JobReleased(
        reader.jobReleased.jobId, reader.jobReleased.released
    ),
    "outcome": _read_outcome,
    "runLosses": _read_losses,
    "jobsReturned": _read_returned_jobs,
    "askOwner": lambda reader: OwnerLivenessQuery(reader.askOwner),
    "ownerAnswer": _read_liveness_reply,
    "takeZones": lambda reader: TakeZones(
        tuple(reader.takeZones.zones), tuple(reader.takeZones.workers)
    ),
    "zoneClaims": _read_claims,
    "ownedZones": lambda reader: OwnedZones(*_read_owned(reader.ownedZones)),
    "workersInUse": lambda reader: WorkersInUse(tuple(reader.workersInUse)),
}
