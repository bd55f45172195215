"""Decides whether it is certain that a start order had no effect and will have none.

A job is refused (503) only if that is certain for all of its start orders; otherwise it
is given up (504). Silence is not evidence, nor is the absence of a run from a report if
another placer may have controlled the worker since the order was sent: a worker forgets
a finished run once any placer has taken note of its end.
"""

from enum import Enum

from rattanloom.errors import ErrorKind, Failure
from rattanloom.fencing import ownership_of
from rattanloom.placement.runs import Run
from rattanloom.placement.workers import Refused, Started


class NoEffect(Enum):
    """Evidence that a start order had no effect and will have none.

    NOT_SENT: the worker received nothing of it. REFUSED: the worker refused it.
    FENCED_OFF: the worker accepts no more orders under its token, and has no trace of
    the run.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    FENCED_OFF = "fenced_off"


def evidence_in_reply(reply: Started | Refused | Failure) -> NoEffect | None:
    """Return the evidence in the reply to a start order, or None without any."""
    if isinstance(reply, Refused):
        return NoEffect.REFUSED
    if isinstance(reply, Failure) and reply.kind is ErrorKind.PLATFORM_UNREACHABLE:
        return NoEffect.NOT_SENT
    return None


def evidence_in_absence(run: Run, report_token: int) -> NoEffect | None:
    """Return the evidence in a report that does not list a run, or None without any.

    ``report_token`` is the fencing token of the request for the report. The start order
    was fenced off if the token is higher. Until then, another placer can have used the
    worker only under a token between the two, which no other ownership than that of
    the order has if it is that of the request, too.
    """
    is_fenced_off = report_token >= run.start_fence_token > run.order_token
    is_same_ownership = ownership_of(report_token) == ownership_of(run.order_token)
    if is_fenced_off and is_same_ownership and not run.worker_restarted:
        return NoEffect.FENCED_OFF
    return None
