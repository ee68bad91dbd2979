"""What can end one attempt at a request without an answer."""

from .._errors import RequestError, TargetUnreachableError, status_of
from .._verdict import Ran

RETRYABLE_CODES = frozenset(
    {
        "draining",
        "no_target",
        "overloaded",
        "target_crashed",
        "target_failed",
        "target_refused",
        "target_unreachable",
        "unknown_request",
    }
)


class AttemptError(RequestError):
    """What ended one attempt, with what that says of the attempt alone."""

    def __init__(self, *, code, reason, ran, retry_after_ms=None):
        super().__init__(reason, ran=ran, retry_after_ms=retry_after_ms)
        self.code = code
        self.status = status_of(code)


class AgentRejection(AttemptError):
    """The agent's own word on the request."""


class NothingSentError(AttemptError):
    """The link went down before anything was sent."""


def rejection(verdict):
    """Return an agent's verdict as the error that ended the attempt."""
    return AgentRejection(
        code=verdict.code,
        reason=verdict.reason,
        ran=verdict.ran,
        retry_after_ms=verdict.retry_after_ms,
    )


def unreachable(reason):
    """Return the error of an attempt that may still run somewhere."""
    return AttemptError(
        code=TargetUnreachableError.code,
        reason=reason,
        ran=Ran.MAY_HAVE_RUN,
        retry_after_ms=TargetUnreachableError.retry_after_ms,
    )


def nothing_sent(error):
    """Return a link that was down as the error that ended the attempt."""
    return NothingSentError(
        code=TargetUnreachableError.code,
        reason=str(error),
        ran=Ran.NOT_RUN,
        retry_after_ms=TargetUnreachableError.retry_after_ms,
    )
