"""The errors that end a send or a request: one class for each cause."""

from .._errors import RequestError, WaxwingError
from .._verdict import Ran


class SendError(WaxwingError):
    """Base class of the failures of one send to one target.

    Attributes:
        ran: Whether the target may have run the request.
        blames_target: Whether the failure counts against the target's health.
    """

    code = "send_failed"
    ran = Ran.MAY_HAVE_RUN
    blames_target = True


class ConnectError(SendError):
    """No connection could be opened, so nothing was sent."""

    code = "connect_failed"
    ran = Ran.NOT_RUN


class ConnectionLostError(SendError):
    """The connection ended before the answer was complete."""

    code = "connection_lost"


class WithdrawnTargetError(SendError):
    """The target asked for no more requests before this one was sent."""

    code = "target_withdrawn"
    ran = Ran.NOT_RUN
    blames_target = False


class MalformedAnswerError(SendError):
    """The target sent bytes that are no valid answer to this request."""

    code = "malformed_answer"


class DoubtfulAnswerError(SendError):
    """The body may be that of two answers; a new connection brings one only."""

    code = "doubtful_answer"
    blames_target = False


class AnswerTooLongError(SendError):
    """Base class of answers that exceed a limit of their size.

    Args:
        what: The part of the answer that is too long.
        limit: The limit with its unit, for log lines.
    """

    code = "answer_too_long"

    def __init__(self, *, what, limit):
        super().__init__(f"answer too long: {what} exceeds {limit}")
        self.what = what
        self.limit = limit


class HeadTooLongError(AnswerTooLongError):
    """The head of an answer exceeds a limit."""

    code = "head_too_long"


class BodyTooLongError(AnswerTooLongError):
    """The body of an answer, or its framing, exceeds a limit."""

    code = "body_too_long"


class SkippedAnswerTooLongError(AnswerTooLongError):
    """The answers that are read only to be dropped exceed a limit."""

    code = "skipped_answer_too_long"


class SlowTargetError(SendError):
    """The target is far slower than its group, which waits for it; not its failure."""

    code = "slow_target"


class SilentTargetError(SendError):
    """Nothing arrived from the target within the time limit of the send."""

    code = "silent_target"


class NotExecutedError(SendError):
    """The target answered that it did not run the request.

    Args:
        status: The HTTP status of the answer.
        culprit: Name of another target that it names as the cause, or an empty
            string.
    """

    code = "not_executed"
    ran = Ran.NOT_RUN
    blames_target = False

    def __init__(self, *, status, culprit=""):
        super().__init__(f"the target answered {status} and did not run the request")
        self.status = status
        self.culprit = culprit


class FailedAnswerError(SendError):
    """The target answered with an error; the caller gets that answer.

    Args:
        head: The answer's ``AnswerHead``.
        body: The answer's body, as bytes.
    """

    code = "failed_answer"
    ran = Ran.RAN
    blames_target = False

    def __init__(self, *, head, body):
        super().__init__(f"the target answered {head.status}")
        self.head = head
        self.body = body


class BrokenStreamError(SendError):
    """A stream was begun, and the next target answered with an error."""

    code = "broken_stream"
    ran = Ran.RAN


class UnconfiguredError(RequestError):
    """This gateway has no configuration yet, or one that is too old."""

    code = "unconfigured"
    status = 503


class NoTargetError(RequestError):
    """The service has no target that the request was not sent to already."""

    code = "no_target"
    status = 503


class NoFreeSlotError(RequestError):
    """No free slot is expected in time, or no target accepted the request."""

    code = "no_room"
    status = 503


class EvacuatedTargetsError(RequestError):
    """The operator evacuates the data centres of all targets of the service."""

    code = "targets_evacuated"
    status = 503


class PausedTargetsError(RequestError):
    """All targets of the service have asked for a pause."""

    code = "targets_paused"
    status = 503


class LimitedTargetsError(RequestError):
    """Targets of the service have reached their limits, and all others paused."""

    code = "targets_limited"
    status = 503


class StoppingError(RequestError):
    """This gateway is stopping."""

    code = "stopping"
    status = 503


class AnswerLostError(RequestError):
    """The answer was lost; the request may have run."""

    code = "answer_lost"
    status = 502
    ran = Ran.MAY_HAVE_RUN


class TimedOutError(RequestError):
    """The deadline or the route's time-out passed after a send."""

    code = "timed_out"
    status = 504
    ran = Ran.MAY_HAVE_RUN


class CrashingRequestError(RequestError):
    """The request crashed several targets and is rejected."""

    code = "crashes_targets"
    status = 502
    ran = Ran.MAY_HAVE_RUN


class SuspectedRequestError(RequestError):
    """Requests like it were lost as targets crashed, and one of them runs now."""

    code = "suspected"
    status = 503
    retry_after_ms = 1000


class HeadersTooLargeError(RequestError):
    """The request's headers exceed the limit."""

    code = "headers_too_large"
    status = 431


class BodyTimeoutError(RequestError):
    """The body did not arrive in time."""

    code = "body_timeout"
    status = 408
