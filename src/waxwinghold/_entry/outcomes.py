"""Errors that end one attempt at a request."""

from .._errors import RequestError, TargetUnreachableError, status_of
from .._verdict import Ran

RETRYABLE_CODES = frozenset(
    {
        "draining",
        "no_target",
        "overloaded",
        "target_crashed",
        "target_failed",
        "target_limited",
        "target_paused",
        "target_refused",
        "target_unreachable",
        "unknown_request",
    }
)


class AttemptError(RequestError):
    """The error that ended one attempt; ``ran`` covers this attempt only."""

    def __init__(self, *, code, reason, ran, retry_after_ms=None):
        super().__init__(reason, ran=ran, retry_after_ms=retry_after_ms)
        self.code = code
        self.status = status_of(code)


class AgentRejection(AttemptError):
    """The agent rejected the request with a verdict."""


class NothingSentError(AttemptError):
    """The link was down, so that nothing was sent."""


def rejection(verdict):
    """Return the error for an agent's ``verdict``."""
    return AgentRejection(
        code=verdict.code,
        reason=verdict.reason,
        ran=verdict.ran,
        retry_after_ms=verdict.retry_after_ms,
    )


def unreachable(reason):
    """Return the error of an attempt that may still be running at its target."""
    return AttemptError(
        code=TargetUnreachableError.code,
        reason=reason,
        ran=Ran.MAY_HAVE_RUN,
        retry_after_ms=TargetUnreachableError.retry_after_ms,
    )


def nothing_sent(error):
    """Return the error of an attempt that was not sent, from a ``LinkDownError``."""
    return NothingSentError(
        code=TargetUnreachableError.code,
        reason=str(error),
        ran=Ran.NOT_RUN,
        retry_after_ms=TargetUnreachableError.retry_after_ms,
    )
