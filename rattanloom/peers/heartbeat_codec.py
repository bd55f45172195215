"""Encodes and decodes heartbeats: sealed, packed capnp in one datagram."""

from collections.abc import Iterable

from capnp import KjException

from rattanloom.keys import Keyring
from rattanloom.peers.messages import (
    Heartbeat,
    LoadName,
    LoadUpdate,
    MemberRecord,
    RelayedHeartbeat,
    TargetUpdate,
    TeamUpdate,
)
from rattanloom.peers.schema import SCHEMA, BadMessageError, seal, unseal

SLOTS_WIRE_MAX = 0xFFFF  # slots per team and target are 16-bit; more are clipped


def encode_heartbeat(key: Keyring, heartbeat: Heartbeat) -> bytes:
    """Return the datagram of a heartbeat."""
    message = SCHEMA.Heartbeat.new_message()
    message.sender = heartbeat.sender
    message.beat = heartbeat.beat
    message.intervalMs = heartbeat.interval_ms
    message.configVersion = heartbeat.config_version
    message.leaving = heartbeat.leaving
    _put_relayed(message, heartbeat.told)
    if heartbeat.unheard:
        message.unheard = list(heartbeat.unheard)
    if heartbeat.asks:
        message.asks = list(heartbeat.asks)
    if heartbeat.introductions:
        records = message.init("introductions", len(heartbeat.introductions))
        for slot, record in zip(records, heartbeat.introductions, strict=True):
            put_record(slot, record)
    _put_load(message, heartbeat.load)
    return seal(key, message.to_bytes_packed())


def decode_heartbeat(key: Keyring, datagram: bytes) -> Heartbeat:
    """Return the heartbeat in a datagram; raises ``BadMessageError``."""
    content = unseal(key, datagram)
    try:
        return _read_heartbeat(SCHEMA.Heartbeat.from_bytes_packed(content))
    except (KjException, ValueError) as error:
        raise BadMessageError(str(error)) from error


def put_record(slot: object, record: MemberRecord) -> None:
    """Write a record into a capnp ``MemberRecord``."""
    slot.host = record.host
    slot.zone = record.zone
    slot.address = record.address
    slot.incarnation = record.incarnation
    slot.startedWallMs = record.started_wall_ms


def read_record(slot: object) -> MemberRecord:
    """Read a record from a capnp ``MemberRecord``."""
    return MemberRecord(
        slot.host, slot.zone, slot.address, slot.incarnation, slot.startedWallMs
    )


def _put_relayed(message: object, heartbeats: tuple[RelayedHeartbeat, ...]) -> None:
    if not heartbeats:
        return
    slots = message.init("told", len(heartbeats))
    for slot, relayed in zip(slots, heartbeats, strict=True):
        slot.key = relayed.key
        slot.beat = relayed.beat
        slot.leaving = relayed.leaving


def _put_load(message: object, load: LoadUpdate) -> None:
    part = message.init("load")
    part.generation = load.generation
    part.queuedSlots = load.queued_slots
    part.runningSlots = load.running_slots
    if load.teams:
        part.teamNumbers = [team.number for team in load.teams]
        part.teamRunningSlots = _bounded(team.running_slots for team in load.teams)
        part.teamQueuedSlots = _bounded(team.queued_slots for team in load.teams)
    if load.targets:
        part.targetNumbers = [target.number for target in load.targets]
        part.targetSlots = _bounded(target.slots for target in load.targets)
    if load.names:
        slots = part.init("names", len(load.names))
        for slot, name in zip(slots, load.names, strict=True):
            slot.number = name.number
            slot.isTarget = name.is_target
            slot.name = name.name


def _bounded(values: Iterable[int]) -> list[int]:
    return [min(value, SLOTS_WIRE_MAX) for value in values]


def _read_heartbeat(message: object) -> Heartbeat:
    return Heartbeat(
        message.sender,
        message.beat,
        message.intervalMs,
        message.configVersion,
        message.leaving,
        tuple(
            [
                RelayedHeartbeat(relayed.key, relayed.beat, relayed.leaving)
                for relayed in message.told
            ]
        ),
        tuple(message.unheard),
        tuple(message.asks),
        tuple([read_record(slot) for slot in message.introductions]),
        _read_load(message.load),
    )


def _read_load(part: object) -> LoadUpdate:
    teams = map(
        TeamUpdate, part.teamNumbers, part.teamRunningSlots, part.teamQueuedSlots
    )
    targets = map(TargetUpdate, part.targetNumbers, part.targetSlots)
    return LoadUpdate(
        part.generation,
        part.queuedSlots,
        part.runningSlots,
        tuple(teams),
        tuple(targets),
        tuple([LoadName(name.number, name.isTarget, name.name) for name in part.names]),
    )
