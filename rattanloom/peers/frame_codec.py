"""Encodes and decodes the frames on connections between entry hosts."""

from collections.abc import Callable

from capnp import KjException

from rattanloom.errors import ErrorKind, Failure, Ran
from rattanloom.job import Job, JobResult, ResultKind, Task
from rattanloom.keys import Keyring
from rattanloom.peers.heartbeat_codec import put_record, read_record
from rattanloom.peers.messages import (
    Ask,
    Cancel,
    Document,
    FetchConfig,
    FetchTargets,
    Frame,
    Hello,
    Ping,
    Pong,
    Submit,
    TargetList,
)
from rattanloom.peers.schema import (
    SCHEMA,
    BadMessageError,
    UnsendableError,
    seal,
    unseal,
)

NONE = -1  # stands for None in ``retryAfterMs`` and ``failedTask``


def encode_frame(key: Keyring, frame: Frame) -> bytes:
    """Return the sealed frame without length prefix; raises ``UnsendableError``."""
    message = SCHEMA.Frame.new_message()
    message.requestId = frame.request_id
    try:
        _WRITERS[type(frame.body)](message, frame.body)
    except (KjException, ValueError, TypeError, OverflowError) as error:
        name = type(frame.body).__name__
        raise UnsendableError(f"a {name} holds a value out of range") from error
    return seal(key, message.to_bytes())


def decode_frame(key: Keyring, content: bytes) -> Frame:
    """Return the frame in ``content``; raises ``BadMessageError``."""
    plain = unseal(key, content)
    try:
        with SCHEMA.Frame.from_bytes(plain) as message:
            read = _READERS[message.which()]
            return Frame(read(message), message.requestId)
    except (KjException, ValueError, KeyError) as error:
        raise BadMessageError(str(error)) from error


def _put_hello(message: object, hello: Hello) -> None:
    put_record(message.init("hello"), hello.record)


def _put_submit(message: object, submit: Submit) -> None:
    job = submit.job
    slot = message.init("submit")
    slot.jobId = job.job_id
    slot.team = job.team
    slot.deadlineMs = int(job.deadline_ms)
    slot.idempotent = job.idempotent
    slot.key = _to_data(job.key)
    tasks = slot.init("tasks", len(job.tasks))
    for task_slot, task in zip(tasks, job.tasks, strict=True):
        task_slot.kind = task.kind
        task_slot.payload = _to_data(task.payload)
        task_slot.sizeSlots = task.size_slots
        task_slot.runMs = task.run_ms
        task_slot.accelerator = task.accelerator


def _read_submit(message: object) -> Submit:
    slot = message.submit
    tasks = tuple(
        Task(
            task.kind,
            _to_text(task.payload),
            task.sizeSlots,
            task.runMs,
            task.accelerator,
        )
        for task in slot.tasks
    )
    key = _to_text(slot.key)
    return Submit(
        Job(slot.jobId, slot.team, tasks, slot.deadlineMs, slot.idempotent, key)
    )


def _put_ask(message: object, ask: Ask) -> None:
    slot = message.init("ask")
    slot.jobId = ask.job_id
    slot.waitMs = ask.wait_ms


def _put_failure(slot: object, failure: Failure) -> None:
    retry_after_ms = failure.retry_after_ms
    slot.kind = failure.kind.value
    slot.reason = _to_data(failure.reason)
    slot.retryAfterMs = NONE if retry_after_ms is None else int(retry_after_ms)
    slot.ran = failure.ran.value if failure.ran else ""


def _read_failure(slot: object) -> Failure:
    return Failure(
        ErrorKind(slot.kind),
        _to_text(slot.reason),
        None if slot.retryAfterMs == NONE else slot.retryAfterMs,
        Ran(slot.ran) if slot.ran else None,
    )


def _put_answer(message: object, answer: JobResult) -> None:
    slot = message.init("answer")
    slot.jobId = answer.job_id
    slot.outcome = answer.outcome.value
    slot.runMs = answer.run_ms
    slot.failedTask = NONE if answer.failed_task is None else answer.failed_task
    if answer.outputs:
        slot.outputs = [_to_data(output) for output in answer.outputs]
    if answer.failure is not None:
        _put_failure(slot.init("failure"), answer.failure)


def _read_answer(message: object) -> JobResult:
    slot = message.answer
    return JobResult(
        slot.jobId,
        ResultKind(slot.outcome),
        tuple(_to_text(output) for output in slot.outputs),
        _read_failure(slot.failure) if slot._has("failure") else None,
        None if slot.failedTask == NONE else slot.failedTask,
        slot.runMs,
    )


def _put_document(message: object, document: Document) -> None:
    message.document = _to_data(document.text)


def _put_targets(message: object, targets: TargetList) -> None:
    message.targets = _to_data(targets.text)


def _to_data(text: str) -> bytes:
    """Encode text; text from JSON may hold lone surrogates."""
    return text.encode(errors="surrogatepass")


def _to_text(data: bytes) -> str:
    return data.decode(errors="surrogatepass")


def _setter(name: str, attribute: str = "") -> Callable[[object, object], None]:
    """Return a writer that sets field ``name`` to an attribute of the body or void."""

    def put(message: object, body: object) -> None:
        setattr(message, name, getattr(body, attribute) if attribute else None)

    return put


_WRITERS = {
    Hello: _put_hello,
    Ping: _setter("ping"),
    Pong: _setter("pong"),
    Submit: _put_submit,
    Ask: _put_ask,
    Cancel: _setter("cancel", "job_id"),
    FetchConfig: _setter("fetchConfig", "version"),
    JobResult: _put_answer,
    Document: _put_document,
    FetchTargets: _setter("fetchTargets"),
    TargetList: _put_targets,
    Failure: lambda message, body: _put_failure(message.init("failure"), body),
}

_READERS = {
    "hello": lambda message: Hello(read_record(message.hello)),
    "ping": lambda message: Ping(),
    "pong": lambda message: Pong(),
    "submit": _read_submit,
    "ask": lambda message: Ask(message.ask.jobId, message.ask.waitMs),
    "cancel": lambda message: Cancel(message.cancel),
    "fetchConfig": lambda message: FetchConfig(message.fetchConfig),
    "answer": _read_answer,
    "document": lambda message: Document(_to_text(message.document)),
    "fetchTargets": lambda message: FetchTargets(),
    "targets": lambda message: TargetList(_to_text(message.targets)),
    "failure": lambda message: _read_failure(message.failure),
}
