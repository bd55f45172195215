"""All kinds of errors, and how the HTTP API reports each.

Errors are returned as ``Failure`` values, not raised: a function that can fail
returns either its result or a ``Failure``.
"""

from enum import Enum
from http import HTTPStatus

from attrs import frozen


class Ran(Enum):
    """Whether any task of the job has started; MAY_HAVE_RUN if that is unknown."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorKind(Enum):
    """Every reason why a request can end without a complete result.

    HOME is the entry host that issued the job's ticket.
    """

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_FOUND = "not_found"
    BAD_TICKET = "bad_ticket"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_TEAM = "unknown_team"
    FORBIDDEN_BY_RULE = "forbidden_by_rule"
    NEVER_RUNNABLE = "never_runnable"
    KEY_REUSED = "key_reused"
    QUOTA_EXCEEDED = "quota_exceeded"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_TARGETS = "no_targets"
    NO_CONFIGURATION = "no_configuration"
    LEAVING = "leaving"
    HOME_UNREACHABLE = "home_unreachable"
    HOME_GONE = "home_gone"
    TICKET_EXPIRED = "ticket_expired"
    PLATFORM_UNREACHABLE = "platform_unreachable"
    REPLY_LOST = "reply_lost"
    HISTORY_GONE = "history_gone"
    CONFLICT = "conflict"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    DEADLINE_PASSED = "deadline_passed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


@frozen
class ErrorResponse:
    """How one error kind is reported to the caller.

    ``ran`` is what the kind alone implies; ``retryable`` is whether the same request
    may be sent again; ``retry_after_ms`` is the default delay before a retry, 0 for
    none.
    """

    http_status: HTTPStatus
    ran: Ran
    retryable: bool
    retry_after_ms: int


_NOT_RUN, _MAY_HAVE_RUN, _RAN = Ran.NOT_RUN, Ran.MAY_HAVE_RUN, Ran.RAN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(HTTPStatus.BAD_REQUEST, _NOT_RUN, False, 0),
    ErrorKind.TOO_LARGE: ErrorResponse(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, _NOT_RUN, False, 0
    ),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(
        HTTPStatus.METHOD_NOT_ALLOWED, _NOT_RUN, False, 0
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(HTTPStatus.NOT_FOUND, _NOT_RUN, False, 0),
    ErrorKind.BAD_TICKET: ErrorResponse(HTTPStatus.BAD_REQUEST, _NOT_RUN, False, 0),
    ErrorKind.UNKNOWN_KIND: ErrorResponse(
        HTTPStatus.UNPROCESSABLE_ENTITY, _NOT_RUN, False, 0
    ),
    ErrorKind.UNKNOWN_TEAM: ErrorResponse(HTTPStatus.FORBIDDEN, _NOT_RUN, False, 0),
    ErrorKind.FORBIDDEN_BY_RULE: ErrorResponse(
        HTTPStatus.FORBIDDEN, _NOT_RUN, False, 0
    ),
    ErrorKind.NEVER_RUNNABLE: ErrorResponse(
        HTTPStatus.UNPROCESSABLE_ENTITY, _NOT_RUN, False, 0
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(HTTPStatus.CONFLICT, _NOT_RUN, False, 0),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(
        HTTPStatus.TOO_MANY_REQUESTS, _NOT_RUN, True, 500
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, True, 1000
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, True, 1000
    ),
    ErrorKind.NO_TARGETS: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, True, 2000
    ),
    ErrorKind.NO_CONFIGURATION: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, True, 2000
    ),
    ErrorKind.LEAVING: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, True, 100
    ),
    ErrorKind.HOME_UNREACHABLE: ErrorResponse(
        HTTPStatus.GATEWAY_TIMEOUT, _MAY_HAVE_RUN, True, 2000
    ),
    ErrorKind.HOME_GONE: ErrorResponse(HTTPStatus.GONE, _MAY_HAVE_RUN, False, 0),
    ErrorKind.TICKET_EXPIRED: ErrorResponse(HTTPStatus.GONE, _MAY_HAVE_RUN, False, 0),
    ErrorKind.PLATFORM_UNREACHABLE: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, True, 2000
    ),
    ErrorKind.REPLY_LOST: ErrorResponse(
        HTTPStatus.GATEWAY_TIMEOUT, _MAY_HAVE_RUN, True, 1000
    ),
    ErrorKind.HISTORY_GONE: ErrorResponse(
        HTTPStatus.SERVICE_UNAVAILABLE, _NOT_RUN, True, 1000
    ),
    ErrorKind.CONFLICT: ErrorResponse(HTTPStatus.CONFLICT, _NOT_RUN, True, 0),
    ErrorKind.CANCELLED: ErrorResponse(HTTPStatus.OK, _MAY_HAVE_RUN, False, 0),
    ErrorKind.TASK_FAILED: ErrorResponse(HTTPStatus.OK, _RAN, False, 0),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(HTTPStatus.OK, _MAY_HAVE_RUN, False, 0),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(HTTPStatus.OK, _MAY_HAVE_RUN, True, 1000),
    ErrorKind.INTERNAL: ErrorResponse(
        HTTPStatus.INTERNAL_SERVER_ERROR, _MAY_HAVE_RUN, True, 1000
    ),
}


@frozen
class Failure:
    """A failed operation: its kind and a readable reason.

    ``retry_after_ms`` and ``ran``, where set, override the defaults of the kind.
    """

    kind: ErrorKind
    reason: str
    retry_after_ms: int | None = None
    ran: Ran | None = None

    @property
    def response(self) -> ErrorResponse:
        """Return how failures of this kind are reported to the caller."""
        return ERROR_RESPONSES[self.kind]

    @property
    def effective_ran(self) -> Ran:
        """Return whether the job ran: ``ran``, or the default of the kind."""
        return self.ran or self.response.ran

    @property
    def effective_retry_after_ms(self) -> int:
        """Return the retry delay: ``retry_after_ms``, or the default of the kind."""
        if self.retry_after_ms is None:
            return self.response.retry_after_ms
        return self.retry_after_ms
