"""Digest of a job's content: a resubmission of a ticket must have the same one."""

from hashlib import blake2b

from rattanloom.job import Job

DIGEST_BYTES = 16


def digest_of(job: Job) -> bytes:
    """Return a digest of all fields of the job except ticket and deadline."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (job.team, job.key, str(job.idempotent)):
        _add(digest, text)
    for task in job.tasks:
        _add(digest, task.kind)
        _add(digest, task.payload)
        _add(digest, f"{task.size_slots} {task.run_ms} {task.accelerator}")
    return digest.digest()


def _add(digest: blake2b, text: str) -> None:
    content = text.encode(errors="surrogatepass")
    digest.update(b"%d:" % len(content))
    digest.update(content)
